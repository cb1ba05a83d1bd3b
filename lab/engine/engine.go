// Package engine is a small stand-in for a model engine with continuous
// batching.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// Options set up an Engine.
type Options struct {
	Name string
	// FirstToken is the time to the first token; default 20 ms.
	FirstToken time.Duration
	// TokenInterval is the time between tokens; default 2 ms.
	TokenInterval time.Duration
	// ColdLimit is how many requests a cold engine bears; default 1.
	ColdLimit int
	// WarmAfter is how many answers warm the engine; default 4.
	WarmAfter int
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options
	mux     *http.ServeMux

	mu       sync.Mutex
	running  int
	served   int
	overload int
}

// New returns a cold engine.
func New(options Options) *Engine {
	if options.FirstToken == 0 {
		options.FirstToken = 20 * time.Millisecond
	}
	if options.TokenInterval == 0 {
		options.TokenInterval = 2 * time.Millisecond
	}
	if options.ColdLimit == 0 {
		options.ColdLimit = 1
	}
	if options.WarmAfter == 0 {
		options.WarmAfter = 4
	}
	e := &Engine{options: options, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET "+upstream.PathLoad, e.load)
	return e
}

// Served returns the number of complete answers.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Overloads returns how often a cold engine got more than it bears.
func (e *Engine) Overloads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overload
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// completion is what the engine reads of a request.
type completion struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

const defaultTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var asked completion
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if asked.MaxTokens <= 0 {
		asked.MaxTokens = defaultTokens
	}
	e.begin()
	defer e.end()
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	if asked.Stream {
		e.stream(w, r, asked)
		return
	}
	e.whole(w, r, asked)
}

func (e *Engine) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	if e.served < e.options.WarmAfter && e.running > e.options.ColdLimit {
		e.overload++
	}
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served++
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, asked completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	pause := e.options.FirstToken
	for i := range asked.MaxTokens {
		if !wait(r, pause) {
			return
		}
		pause = e.options.TokenInterval
		fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", asked.Model, i)
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, asked completion) {
	total := e.options.FirstToken + time.Duration(asked.MaxTokens)*e.options.TokenInterval
	if !wait(r, total) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"ok\"}}],"+
		"\"usage\":{\"completion_tokens\":%d}}\n", asked.Model, asked.MaxTokens)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := upstream.Load{Running: e.running, Cold: e.served < e.options.WarmAfter}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// wait pauses and reports false if the client went away.
func wait(r *http.Request, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
