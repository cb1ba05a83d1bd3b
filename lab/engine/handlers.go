package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// defaultTokens is the length of an answer if the request sets none.
const defaultTokens = 16

// completion is what the engine reads of a request.
type completion struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (c completion) prompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

func (c completion) promptTokens() int { return request.PromptTokens(len(c.prompt())) }

// complete runs a request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var asked completion
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if asked.MaxTokens <= 0 {
		asked.MaxTokens = defaultTokens
	}
	id := r.Header.Get(upstream.HeaderAttempt)
	w.Header().Set(upstream.HeaderAttempt, id)
	switch e.admit(id) {
	case refused:
		w.Header().Set(upstream.HeaderNotRun, "true")
		http.Error(w, "restarting", http.StatusServiceUnavailable)
		return
	case overloaded:
		http.Error(w, "out of memory", http.StatusInternalServerError)
		return
	}
	a := e.start(id, asked)
	e.answer(w, r, a, asked.Stream)
}

// start begins an attempt that generates on its own.
func (e *Engine) start(id string, asked completion) *attempt {
	a := newAttempt(id, asked)
	e.mu.Lock()
	e.attempts[id] = a
	e.mu.Unlock()
	first := e.firstToken(request.Prefix(asked.prompt()))
	go func() {
		a.generate(first, e.pace, e.leave)
		time.AfterFunc(e.options.ResumeWindow, func() { e.forget(a) })
	}()
	return a
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, a *attempt, stream bool) {
	faults := e.answerFaults()
	wait(r.Context(), faults.late)
	if faults.cross {
		w.Header().Set(upstream.HeaderAttempt, uuid.NewString())
	}
	switch {
	case faults.fail:
		a.end()
		http.Error(w, "internal error", http.StatusInternalServerError)
	case stream:
		e.stream(w, r, a, 0, faults)
	default:
		e.whole(w, r, a, faults)
	}
}

// stream sends an attempt's events from offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, offset int, faults answerFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	sent := offset
	for {
		generated, ended, changed := a.state()
		for ; sent < generated; sent++ {
			if faults.cut && sent-offset >= faults.cutAfter {
				e.cut(w, a, sent, faults)
				return
			}
			fmt.Fprint(w, a.event(sent))
		}
		if err := control.Flush(); err != nil {
			e.unread(a)
			return
		}
		if ended {
			if generated < a.tokens {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			e.unread(a)
			return
		}
	}
}

// event returns event number n.
func (a *attempt) event(n int) string {
	usage := ""
	if n == a.tokens-1 {
		usage = fmt.Sprintf(",\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}", a.prompt, a.tokens)
	}
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]%s}\n\n", a.model, n, usage)
}

// cut breaks a stream off before event number n.
func (e *Engine) cut(w http.ResponseWriter, a *attempt, n int, faults answerFaults) {
	if faults.cutInside {
		event := a.event(n)
		fmt.Fprint(w, event[:len(event)/2])
	}
	// A client that is gone needs no more.
	_ = http.NewResponseController(w).Flush()
	if faults.forgetAttemptAfterACut {
		e.forget(a)
	}
	if !faults.endEarly {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, a *attempt, faults answerFaults) {
	generated, ended, changed := a.state()
	for !ended {
		select {
		case <-changed:
		case <-r.Context().Done():
			e.unread(a)
			return
		}
		generated, ended, changed = a.state()
	}
	if generated < a.tokens {
		panic(http.ErrAbortHandler)
	}
	body := fmt.Sprintf("{\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"ok\"}}],"+
		"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n", a.model, a.prompt, a.tokens)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.cut {
		fmt.Fprint(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, body)
}

// unread stops an attempt that nobody resumes.
func (e *Engine) unread(a *attempt) {
	time.AfterFunc(e.options.ResumeWindow, a.stop)
}

// forget drops an attempt.
func (e *Engine) forget(a *attempt) {
	a.end()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}

func (e *Engine) find(id string) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, present := e.attempts[id]
	return a, present
}

// resume sends the rest of an attempt's stream.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a, present := e.find(id)
	offset, err := strconv.Atoi(r.URL.Query().Get(upstream.QueryOffset))
	if !present || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	e.counters.Resumed++
	e.mu.Unlock()
	w.Header().Set(upstream.HeaderAttempt, id)
	e.stream(w, r, a, offset, e.answerFaults())
}

// cancel stops an attempt.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	a, present := e.find(r.PathValue("id"))
	if !present {
		http.NotFound(w, r)
		return
	}
	e.forget(a)
	e.mu.Lock()
	e.counters.Cancelled++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// load reports the load, late.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if now.Sub(e.pending.at) >= e.options.LoadLag {
		e.published = e.pending
		e.pending = report{load: upstream.Load{Running: e.running, Cold: e.cold()}, at: now}
	}
	load := e.published.load
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

// order takes an operator's order. An engine that checks fencing refuses one
// with a lower number than it has seen.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.Header.Get(upstream.HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "fencing number is missing", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	old := e.options.ChecksFencing && number < e.fence
	e.fence = max(e.fence, number)
	e.mu.Unlock()
	if old {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// wait pauses unless ctx ends.
func wait(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
