// Package service is a small stand-in for a plain HTTP service. It counts how
// often each call ran, and faults are switched on by tests.
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

// Faults are what goes wrong. Counts are used up.
type Faults struct {
	// Refuse is how many calls are refused before running.
	Refuse int
	// Vanish is how many calls run and get no answer: the connection is
	// closed.
	Vanish int
	// Cut is how many answers are cut in the midst of their body.
	Cut int
	// Cross is how many answers carry another attempt's identifier.
	Cross int
	// Unframed is how many answers tell no length and end with the connection.
	Unframed int
}

// Options set up a Service.
type Options struct {
	// Delay is how long a call runs; default none.
	Delay time.Duration
	// AnswerBytes is the length of an answer's body; default that of the
	// digest.
	AnswerBytes int
}

// Call is what ran.
type Call struct {
	Method  string
	URI     string
	Key     string
	Attempt string
	Header  http.Header
	Body    []byte
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	calls  []Call
	faults Faults
}

// New returns a service that ran nothing yet.
func New(options Options) *Service { return &Service{options: options} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns everything that ran, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Runs returns how often calls with an idempotency key ran.
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
	if s.takes(func(f *Faults) *int { return &f.Refuse }) {
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

func (s *Service) run(call Call) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	time.Sleep(s.options.Delay)
}

// answer answers with the digest of what was asked, padded.
func (s *Service) answer(w http.ResponseWriter, asked []byte) {
	sum := sha256.Sum256(asked)
	body := make([]byte, max(s.options.AnswerBytes, hex.EncodedLen(len(sum))))
	for i := range body {
		body[i] = '.'
	}
	hex.Encode(body, sum[:])
	switch {
	case s.takes(func(f *Faults) *int { return &f.Vanish }):
		panic(http.ErrAbortHandler)
	case s.takes(func(f *Faults) *int { return &f.Cross }):
		w.Header().Set(upstream.HeaderAttempt, "00000000-0000-4000-8000-000000000000")
	case s.takes(func(f *Faults) *int { return &f.Unframed }):
		s.unframed(w, body)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.takes(func(f *Faults) *int { return &f.Cut }) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// unframed answers without a length and closes the connection.
func (s *Service) unframed(w http.ResponseWriter, body []byte) {
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

// takes uses up one of a fault's count.
func (s *Service) takes(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}
