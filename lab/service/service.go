// Package service is a fake plain HTTP service. It records the calls that it
// executed. Tests can inject faults.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// Faults are the faults to inject. The counts are decremented with each fault
// injected.
type Faults struct {
	// Refuse is how many calls are refused before execution.
	Refuse int
	// NoAnswer is how many calls are executed and get no answer: the connection
	// is closed.
	NoAnswer int
	// Truncate is how many answers are truncated in the middle of their body.
	Truncate int
	// WrongAttempt is how many answers carry another attempt's identifier.
	WrongAttempt int
	// NoLength is how many answers have no length and end when the connection
	// is closed.
	NoLength int
}

// Options configure a Service.
type Options struct {
	// Delay is the execution time of a call; default 0.
	Delay time.Duration
	// AnswerBytes is the length of an answer's body in bytes, but at least that
	// of the digest.
	AnswerBytes int
}

// Call is an executed call.
type Call struct {
	Method string
	URI    string
	// Key is the idempotency key; empty if there is none.
	Key string
	// Attempt is the attempt identifier.
	Attempt string
	Header  http.Header
	Body    []byte
}

// Service is the fake service, an http.Handler. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	calls  []Call
	faults Faults
}

// New returns a service that has executed no call.
func New(options Options) *Service { return &Service{options: options} }

// SetFaults replaces the faults to inject.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns the executed calls in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Runs returns how many calls with an idempotency key were executed.
func (s *Service) Runs(key string) int {
	runs := 0
	for _, call := range s.Calls() {
		if call.Key == key {
			runs++
		}
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(upstream.HeaderAttempt)
	w.Header().Set(upstream.HeaderAttempt, attempt)
	if s.consume(func(f *Faults) *int { return &f.Refuse }) {
		w.Header().Set(upstream.HeaderNotRun, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	s.run(Call{
		Method:  r.Method,
		URI:     r.RequestURI,
		Key:     r.Header.Get("Idempotency-Key"),
		Attempt: attempt,
		Header:  r.Header.Clone(),
		Body:    body,
	})
	s.answer(w, body)
}

// run records a call and takes the execution time.
func (s *Service) run(call Call) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	time.Sleep(s.options.Delay)
}

// answer sends the hexadecimal digest of the request body, padded with dots to
// Options.AnswerBytes.
func (s *Service) answer(w http.ResponseWriter, requestBody []byte) {
	sum := sha256.Sum256(requestBody)
	body := make([]byte, max(s.options.AnswerBytes, hex.EncodedLen(len(sum))))
	for i := range body {
		body[i] = '.'
	}
	hex.Encode(body, sum[:])
	switch {
	case s.consume(func(f *Faults) *int { return &f.NoAnswer }):
		panic(http.ErrAbortHandler)
	case s.consume(func(f *Faults) *int { return &f.WrongAttempt }):
		w.Header().Set(upstream.HeaderAttempt, "00000000-0000-4000-8000-000000000000")
	case s.consume(func(f *Faults) *int { return &f.NoLength }):
		s.answerWithoutLength(w, body)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.consume(func(f *Faults) *int { return &f.Truncate }) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// answerWithoutLength answers without a length and closes the connection.
func (s *Service) answerWithoutLength(w http.ResponseWriter, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	attempt := w.Header().Get(upstream.HeaderAttempt)
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n" + upstream.HeaderAttempt + ": " + attempt + "\r\n\r\n")
	_, _ = buffered.Write(body)
	_ = buffered.Flush()
}

// consume decrements a fault's count and reports whether one was left.
func (s *Service) consume(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := count(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}
