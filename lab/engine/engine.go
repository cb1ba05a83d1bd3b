// Package engine is a fake model engine with continuous batching, for tests and
// the demo: its token interval grows with load, it caches prompt prefixes, it
// crashes if it gets more concurrent requests than its limit while cold, and it
// resumes and cancels attempts. Tests can inject faults.
package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// Options configure an Engine. A zero value stands for the default.
type Options struct {
	Name string
	// FirstToken is the time to the first token of an uncached prompt;
	// default 20 ms.
	FirstToken time.Duration
	// TokenInterval is the time between tokens while a single request runs;
	// default 2 ms.
	TokenInterval time.Duration
	// Slowdown is the fraction of TokenInterval that each further running
	// request adds to the interval of all requests; default 0.05.
	Slowdown float64
	// ColdLimit is how many concurrent requests the engine can run before its
	// first answer. Each answer raises the limit by one until the engine is
	// warm; default 1.
	ColdLimit int
	// WarmAfter is how many answers it takes until the engine is warm and has
	// no limit; default 4.
	WarmAfter int
	// RestartTime is how long the engine refuses all requests after a crash;
	// default 200 ms.
	RestartTime time.Duration
	// CachedPrefixes is the greatest number of cached prompt prefixes; default
	// 64.
	CachedPrefixes int
	// LoadLag is the least age of a reported load; default 500 ms.
	LoadLag time.Duration
	// ResumeWindow is how long an attempt is kept after its reader disconnected,
	// and after its generation ended; default 5 s.
	ResumeWindow time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is
	// lower than that of an earlier order.
	ChecksFencing bool
	// DeadlyText crashes the engine when it begins to answer a prompt that contains it; empty
	// is none. OnCrash is then called, and may make the engine unreachable.
	DeadlyText string
	OnCrash    func()
	// Seed seeds the jitter of the token intervals.
	Seed uint64
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	o.FirstToken = orDefault(o.FirstToken, 20*time.Millisecond)
	o.TokenInterval = orDefault(o.TokenInterval, 2*time.Millisecond)
	o.Slowdown = orDefault(o.Slowdown, 0.05)
	o.ColdLimit = orDefault(o.ColdLimit, 1)
	o.WarmAfter = orDefault(o.WarmAfter, 4)
	o.RestartTime = orDefault(o.RestartTime, 200*time.Millisecond)
	o.CachedPrefixes = orDefault(o.CachedPrefixes, 64)
	o.LoadLag = orDefault(o.LoadLag, 500*time.Millisecond)
	o.ResumeWindow = orDefault(o.ResumeWindow, 5*time.Second)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Counters count what an engine has done since its start.
type Counters struct {
	// Runs counts the executed requests, those that crashed a cold engine
	// included.
	Runs int
	// Served counts the attempts that generated all their tokens.
	Served int
	// Overloads counts the crashes of a cold engine by overload, DeadlyPrompts those by
	// Options.DeadlyText.
	Overloads     int
	DeadlyPrompts int
	// Cancelled and Resumed count attempts.
	Cancelled int
	Resumed   int
	// Refused counts the requests refused before execution.
	Refused int
}

// Engine is the fake engine, an http.Handler. It is safe for concurrent use.
type Engine struct {
	options Options
	mux     *http.ServeMux

	mu     sync.Mutex
	random *rand.Rand
	// attempts holds the attempts that can be resumed or cancelled, by their
	// identifiers.
	attempts map[string]*attempt
	// runsByAttempt counts the executions of each attempt, by its identifier.
	runsByAttempt map[string]int
	running       int
	// answersSinceCold counts the answers since the engine was last made cold.
	answersSinceCold int
	// downUntil is when the restart after the last crash is complete.
	downUntil   time.Time
	prefixCache *prefixCache
	counters    Counters
	faults      Faults
	// highestFencing is the highest fencing number of an order so far.
	highestFencing uint64
	// published is the load report that callers get. pending replaces it once
	// pending is at least Options.LoadLag old.
	published report
	pending   report
}

// report is a load report with the time at which it was taken.
type report struct {
	load upstream.Load
	at   time.Time
}

// New returns a cold engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:       options,
		mux:           http.NewServeMux(),
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
		attempts:      make(map[string]*attempt),
		runsByAttempt: make(map[string]int),
		prefixCache:   newPrefixCache(options.CachedPrefixes),
	}
	cold := upstream.Load{Cold: true}
	e.published, e.pending = report{load: cold}, report{load: cold}
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET "+upstream.PathAttempts+"{id}", e.serveResume)
	e.mux.HandleFunc("DELETE "+upstream.PathAttempts+"{id}", e.serveCancel)
	e.mux.HandleFunc("GET "+upstream.PathLoad, e.serveLoad)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Counters returns what the engine has done so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Served returns the number of attempts that generated all their tokens.
func (e *Engine) Served() int { return e.Counters().Served }

// Overloads returns how often the engine crashed because it got more requests
// than its limit while cold.
func (e *Engine) Overloads() int { return e.Counters().Overloads }

// MaxRuns returns the highest number of executions of any one attempt.
func (e *Engine) MaxRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := 0
	for _, runs := range e.runsByAttempt {
		highest = max(highest, runs)
	}
	return highest
}

// Running returns the number of attempts that are generating.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// MakeCold makes the engine cold without a notice to its callers. Running
// attempts continue.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersSinceCold = 0
	e.prefixCache = newPrefixCache(e.options.CachedPrefixes)
}

// admission is the decision on a request.
type admission uint8

const (
	admitted admission = iota
	// refused means that the engine is restarting or has a fault that refuses
	// requests.
	refused
	// overloaded means that the request crashed the engine.
	overloaded
)

// admit decides on a request with an attempt identifier. It counts an admitted
// one as running, and crashes the engine if the request is over the cold limit.
func (e *Engine) admit(id string) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) || e.faults.consumeRefusal() {
		e.counters.Refused++
		return refused
	}
	e.counters.Runs++
	e.runsByAttempt[id]++
	if e.isCold() && e.running >= e.options.ColdLimit+e.answersSinceCold {
		e.counters.Overloads++
		e.crash()
		return overloaded
	}
	e.running++
	return admitted
}

// isCold requires e.mu.
func (e *Engine) isCold() bool { return e.answersSinceCold < e.options.WarmAfter }

// crash stops all attempts and restarts the engine cold. It requires e.mu.
func (e *Engine) crash() {
	e.answersSinceCold = 0
	e.downUntil = time.Now().Add(e.options.RestartTime)
	e.prefixCache = newPrefixCache(e.options.CachedPrefixes)
	for id, a := range e.attempts {
		a.stop()
		delete(e.attempts, id)
	}
}

// crashByPrompt crashes the engine because of a deadly prompt.
func (e *Engine) crashByPrompt() {
	e.mu.Lock()
	e.counters.DeadlyPrompts++
	e.running--
	e.crash()
	e.mu.Unlock()
	if e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}

// finishRun counts an attempt as no longer running, and as served if it generated
// all its tokens.
func (e *Engine) finishRun(allGenerated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if allGenerated {
		e.counters.Served++
		e.answersSinceCold++
	}
}

// nextInterval returns the time to the next token at the current load, with
// jitter.
func (e *Engine) nextInterval() time.Duration {
	// jitter is the greatest deviation, as a fraction of the interval.
	const jitter = 0.1
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := 1 + e.options.Slowdown*float64(max(e.running-1, 0))
	slow *= 1 + jitter*(2*e.random.Float64()-1)
	return time.Duration(slow * float64(e.options.TokenInterval))
}

// firstToken returns the time to the first token and caches the prefix. A prefix
// that was cached divides the time by cachedSpeedup.
func (e *Engine) firstToken(prefix uint64) time.Duration {
	const cachedSpeedup = 4
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefixCache.touch(prefix) {
		return e.options.FirstToken / cachedSpeedup
	}
	return e.options.FirstToken
}
