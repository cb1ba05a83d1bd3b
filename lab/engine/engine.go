// Package engine is a small stand-in for a model engine with continuous
// batching: its pace slows with load, it caches prompt prefixes, it falls over
// if it gets more than it bears while cold, and it resumes and cancels
// attempts. Faults are switched on by tests.
package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// Options set up an Engine.
type Options struct {
	Name string
	// FirstToken is the time to the first token of an uncached prompt;
	// default 20 ms.
	FirstToken time.Duration
	// TokenInterval is the time between tokens of a lone request; default
	// 2 ms.
	TokenInterval time.Duration
	// Slowdown is the part of TokenInterval that each further request adds to
	// the interval of all; default 0.05.
	Slowdown float64
	// ColdLimit is how many requests an engine bears that has answered
	// nothing yet. It bears one more for each answer; default 1.
	ColdLimit int
	// WarmAfter is how many answers warm the engine; default 4.
	WarmAfter int
	// RestartTime is how long an engine that fell over refuses everything;
	// default 200 ms.
	RestartTime time.Duration
	// CachedPrefixes bounds the prompt prefixes that are remembered; default
	// 64.
	CachedPrefixes int
	// LoadLag is how old a load report is at least; default 500 ms.
	LoadLag time.Duration
	// ResumeWindow is how long an attempt without a reader is kept; default
	// 5 s.
	ResumeWindow time.Duration
	// ChecksFencing lets the engine refuse an order with an old number.
	ChecksFencing bool
	// Seed feeds the jitter of the pace.
	Seed uint64
}

// withDefaults returns the options with every default in place.
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

// Counters tell what an engine has done.
type Counters struct {
	// Runs counts the requests that began to run.
	Runs int
	// Served counts the attempts that generated all their tokens.
	Served int
	// Overloads counts how often a cold engine fell over.
	Overloads int
	Cancelled int
	Resumed   int
	Refused   int
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options
	mux     *http.ServeMux

	mu       sync.Mutex
	random   *rand.Rand
	attempts map[string]*attempt
	// runs counts the runs of each attempt.
	runs    map[string]int
	running int
	// warmth counts the answers since the engine was last cold.
	warmth    int
	downUntil time.Time
	prefixes  *prefixes
	counters  Counters
	faults    Faults
	fence     uint64
	published report
	pending   report
}

// report is a load report with its time.
type report struct {
	load upstream.Load
	at   time.Time
}

// New returns a cold engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		mux:      http.NewServeMux(),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		attempts: make(map[string]*attempt),
		runs:     make(map[string]int),
		prefixes: newPrefixes(options.CachedPrefixes),
	}
	cold := upstream.Load{Cold: true}
	e.published, e.pending = report{load: cold}, report{load: cold}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET "+upstream.PathAttempts+"{id}", e.resume)
	e.mux.HandleFunc("DELETE "+upstream.PathAttempts+"{id}", e.cancel)
	e.mux.HandleFunc("GET "+upstream.PathLoad, e.load)
	e.mux.HandleFunc("POST /v1/orders", e.order)
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

// Served returns the number of complete answers.
func (e *Engine) Served() int { return e.Counters().Served }

// Overloads returns how often a cold engine got more than it bears.
func (e *Engine) Overloads() int { return e.Counters().Overloads }

// MaxRuns returns the highest number of runs of any one attempt.
func (e *Engine) MaxRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := 0
	for _, runs := range e.runs {
		highest = max(highest, runs)
	}
	return highest
}

// Running returns the number of attempts that generate.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// GoCold makes the engine cold without any notice. What runs goes on.
func (e *Engine) GoCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmth = 0
	e.prefixes = newPrefixes(e.options.CachedPrefixes)
}

// admission is whether a request may run.
type admission uint8

const (
	admitted admission = iota
	// refused is an engine that restarts or was told to refuse.
	refused
	// overloaded is a request that made the engine fall over.
	overloaded
)

// admit lets a request in, or makes the engine fall over.
func (e *Engine) admit(id string) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) || e.faults.takeRefusal() {
		e.counters.Refused++
		return refused
	}
	e.counters.Runs++
	e.runs[id]++
	if e.cold() && e.running >= e.options.ColdLimit+e.warmth {
		e.fallOver()
		return overloaded
	}
	e.running++
	return admitted
}

func (e *Engine) cold() bool { return e.warmth < e.options.WarmAfter }

// fallOver ends everything that runs and restarts the engine cold.
func (e *Engine) fallOver() {
	e.counters.Overloads++
	e.warmth = 0
	e.downUntil = time.Now().Add(e.options.RestartTime)
	e.prefixes = newPrefixes(e.options.CachedPrefixes)
	for id, a := range e.attempts {
		a.stop()
		delete(e.attempts, id)
	}
}

// leave ends a run.
func (e *Engine) leave(served bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if served {
		e.counters.Served++
		e.warmth++
	}
}

// pace returns the time to the next token at the present load.
func (e *Engine) pace() time.Duration {
	const jitter = 0.1
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := 1 + e.options.Slowdown*float64(max(e.running-1, 0))
	slow *= 1 + jitter*(2*e.random.Float64()-1)
	return time.Duration(slow * float64(e.options.TokenInterval))
}

// firstToken returns the time to the first token and remembers the prefix.
func (e *Engine) firstToken(prefix uint64) time.Duration {
	const cachedPart = 4
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefixes.touch(prefix) {
		return e.options.FirstToken / cachedPart
	}
	return e.options.FirstToken
}
