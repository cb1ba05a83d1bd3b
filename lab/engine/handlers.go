package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// defaultTokens is the length of an answer, in tokens, if the request sets no
// max_tokens.
const defaultTokens = 16

// completionRequest holds the fields of a request body that the engine uses.
type completionRequest struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// prompt returns the encoded messages, or the encoded prompt if there are none.
func (c completionRequest) prompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// promptTokens returns the estimated length of the prompt in tokens.
func (c completionRequest) promptTokens() int { return request.PromptTokens(len(c.prompt())) }

// serveCompletion executes a completion request.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	if e.answersBeforeBody(w, r) {
		return
	}
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultTokens
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
	if e.options.DeadlyText != "" && bytes.Contains(body.prompt(), []byte(e.options.DeadlyText)) {
		time.Sleep(e.options.FirstToken)
		e.crashByPrompt()
		panic(http.ErrAbortHandler)
	}
	a := e.start(id, body)
	e.answer(w, r, a, body.Stream)
}

// start starts an attempt, which generates independently of its reader.
func (e *Engine) start(id string, body completionRequest) *attempt {
	a := newAttempt(id, body)
	e.mu.Lock()
	e.attempts[id] = a
	e.mu.Unlock()
	first := e.firstToken(request.Prefix(body.prompt()))
	go func() {
		a.generate(first, e.nextInterval, e.finishRun)
		time.AfterFunc(e.options.ResumeWindow, func() { e.drop(a) })
	}()
	return a
}

// answer sends an attempt's answer with the next answer's faults.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, a *attempt, stream bool) {
	faults := e.nextAnswerFaults()
	sleep(r.Context(), faults.delay)
	if faults.wrongAttempt {
		w.Header().Set(upstream.HeaderAttempt, uuid.NewString())
	}
	switch {
	case faults.fail:
		a.stopAndWait()
		http.Error(w, "internal error", http.StatusInternalServerError)
	case stream && faults.endless:
		writeEndlessEvent(w)
		a.stopAndWait()
	case stream:
		e.writeStream(w, r, a, 0, faults)
	default:
		e.writeWhole(w, r, a, faults)
	}
}

// writeStream sends an attempt's events, beginning with event number offset.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, a *attempt, offset int, faults answerFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	sent := offset
	for {
		generated, ended, changed := a.state()
		for ; sent < generated; sent++ {
			if faults.truncate && sent-offset >= faults.truncateAfter {
				e.truncateStream(w, a, sent, faults)
				return
			}
			fmt.Fprint(w, a.event(sent))
		}
		if err := control.Flush(); err != nil {
			e.stopAfterWindow(a)
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
			e.stopAfterWindow(a)
			return
		}
	}
}

// writeEndlessEvent writes lines of one event until the client disconnects.
func writeEndlessEvent(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	for {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
	}
}

// event returns event number n, counted from 0. The last one reports the usage.
func (a *attempt) event(n int) string {
	usage := ""
	if n == a.tokens-1 {
		usage = fmt.Sprintf(",\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}", a.prompt, a.tokens)
	}
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]%s}\n\n", a.model, n, usage)
}

// truncateStream truncates a stream before event number n.
func (e *Engine) truncateStream(w http.ResponseWriter, a *attempt, n int, faults answerFaults) {
	if faults.truncateMidEvent {
		event := a.event(n)
		fmt.Fprint(w, event[:len(event)/2])
	}
	// If the client has disconnected, there is nothing left to send.
	_ = http.NewResponseController(w).Flush()
	if faults.dropAttempt {
		e.drop(a)
	}
	if !faults.endEarly {
		panic(http.ErrAbortHandler)
	}
}

// writeWhole waits until the attempt has ended and sends its answer in one piece.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, a *attempt, faults answerFaults) {
	generated, ended, changed := a.state()
	for !ended {
		select {
		case <-changed:
		case <-r.Context().Done():
			e.stopAfterWindow(a)
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
	if faults.truncate {
		fmt.Fprint(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, body)
}

// stopAfterWindow stops an attempt that lost its reader, once the resume window
// has passed.
func (e *Engine) stopAfterWindow(a *attempt) {
	time.AfterFunc(e.options.ResumeWindow, a.stop)
}

// drop stops an attempt and removes it, so that it can no longer be resumed.
func (e *Engine) drop(a *attempt) {
	a.stopAndWait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}

// find returns the attempt with an identifier and whether there is one.
func (e *Engine) find(id string) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, present := e.attempts[id]
	return a, present
}

// serveResume sends an attempt's stream from the requested offset on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
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
	e.writeStream(w, r, a, offset, e.nextAnswerFaults())
}

// serveCancel stops an attempt and removes it.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	a, present := e.find(r.PathValue("id"))
	if !present {
		http.NotFound(w, r)
		return
	}
	e.drop(a)
	e.mu.Lock()
	e.counters.Cancelled++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveLoad sends the load as it was at least Options.LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if now.Sub(e.pending.at) >= e.options.LoadLag {
		e.published = e.pending
		e.pending = report{load: upstream.Load{Running: e.running, Cold: e.isCold()}, at: now}
	}
	load := e.published.load
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

// serveOrder accepts an operator's order. If Options.ChecksFencing is set, an order
// with a lower fencing number than the highest one so far is refused.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.Header.Get(upstream.HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "fencing number is missing", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := e.options.ChecksFencing && number < e.highestFencing
	e.highestFencing = max(e.highestFencing, number)
	e.mu.Unlock()
	if stale {
		http.Error(w, "fencing number is stale", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
