package engine

import (
	"sync"
	"time"
)

// attempt is one execution of a completion request. It generates its tokens
// whether or not a client reads them.
type attempt struct {
	id    string
	model string
	// tokens is the requested length of the answer in tokens.
	tokens int
	// prompt is the length of the prompt in tokens.
	prompt int
	// stop ends the generation. It may be called more than once.
	stop func()
	// stopped is closed by stop.
	stopped chan struct{}
	// finished is closed when the attempt no longer counts as running.
	finished chan struct{}

	mu sync.Mutex
	// generated counts the tokens generated so far.
	generated int
	// ended is set when no further token will be generated.
	ended bool
	// changed is closed and replaced whenever generated or ended changes.
	changed chan struct{}
}

func newAttempt(id string, body completionRequest) *attempt {
	a := &attempt{
		id:       id,
		model:    body.Model,
		tokens:   body.MaxTokens,
		prompt:   body.promptTokens(),
		stopped:  make(chan struct{}),
		finished: make(chan struct{}),
		changed:  make(chan struct{}),
	}
	a.stop = sync.OnceFunc(func() { close(a.stopped) })
	return a
}

// generate generates the tokens: the first one after first, each further one
// after an interval that pace returns. Before readers can observe the end, it
// calls onFinish with whether all tokens were generated.
func (a *attempt) generate(first time.Duration, pace func() time.Duration, onFinish func(all bool)) {
	all := a.generateTokens(first, pace)
	onFinish(all)
	a.advance(0, true)
	close(a.finished)
}

// generateTokens reports whether all tokens were generated.
func (a *attempt) generateTokens(first time.Duration, pace func() time.Duration) bool {
	pause := first
	for range a.tokens {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
			a.advance(1, false)
		case <-a.stopped:
			timer.Stop()
			return false
		}
		pause = pace()
	}
	return true
}

// stopAndWait stops the attempt and waits until it no longer counts as running.
func (a *attempt) stopAndWait() {
	a.stop()
	<-a.finished
}

// advance adds generated tokens, sets whether the attempt has ended, and wakes
// up the readers.
func (a *attempt) advance(tokens int, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generated += tokens
	a.ended = ended
	close(a.changed)
	a.changed = make(chan struct{})
}

// state returns how many tokens have been generated, whether the attempt has
// ended, and a channel that is closed at the next change of either.
func (a *attempt) state() (generated int, ended bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generated, a.ended, a.changed
}

// prefixCache is an LRU cache of prompt prefixes, identified by their hashes.
type prefixCache struct {
	// limit is the greatest number of cached prefixes.
	limit int
	// order holds the prefixes in order of use, the most recently used one last.
	order []uint64
}

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// touch marks a prefix as the most recently used one and reports whether it was
// cached before.
func (p *prefixCache) touch(prefix uint64) bool {
	found := false
	for i, cached := range p.order {
		if cached == prefix {
			p.order = append(p.order[:i], p.order[i+1:]...)
			found = true
			break
		}
	}
	p.order = append(p.order, prefix)
	if len(p.order) > p.limit {
		p.order = p.order[1:]
	}
	return found
}
