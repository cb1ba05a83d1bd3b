package engine

import (
	"sync"
	"time"
)

// attempt is one run. It generates whether or not anybody reads.
type attempt struct {
	id     string
	model  string
	tokens int
	prompt int
	stop   func()
	// stopped is closed by stop.
	stopped chan struct{}
	// left is closed when the attempt no longer counts as running.
	left chan struct{}

	mu sync.Mutex
	// generated counts the tokens that are ready.
	generated int
	// ended is set when no further token will come.
	ended bool
	// changed is closed and replaced at each token and at the end.
	changed chan struct{}
}

func newAttempt(id string, asked completion) *attempt {
	a := &attempt{
		id:      id,
		model:   asked.Model,
		tokens:  asked.MaxTokens,
		prompt:  asked.promptTokens(),
		stopped: make(chan struct{}),
		left:    make(chan struct{}),
		changed: make(chan struct{}),
	}
	a.stop = sync.OnceFunc(func() { close(a.stopped) })
	return a
}

// generate makes the tokens. It calls leave with whether all were made before
// anybody can see the end.
func (a *attempt) generate(first time.Duration, pace func() time.Duration, leave func(all bool)) {
	all := a.generateTokens(first, pace)
	leave(all)
	a.advance(0, true)
	close(a.left)
}

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

// end stops the attempt and waits until it no longer counts as running.
func (a *attempt) end() {
	a.stop()
	<-a.left
}

func (a *attempt) advance(tokens int, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generated += tokens
	a.ended = ended
	close(a.changed)
	a.changed = make(chan struct{})
}

// state returns the tokens that are ready, whether more may come, and a
// channel that is closed at the next change.
func (a *attempt) state() (generated int, ended bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generated, a.ended, a.changed
}

// prefixes remembers the most recently used prompt prefixes.
type prefixes struct {
	limit int
	// order holds the prefixes, the most recent one last.
	order []uint64
}

func newPrefixes(limit int) *prefixes { return &prefixes{limit: limit} }

// touch makes a prefix the most recent one and reports whether it was there.
func (p *prefixes) touch(prefix uint64) bool {
	found := false
	for i, other := range p.order {
		if other == prefix {
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
