package calls

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// unframedEngine is an engine whose answers have neither a length nor chunks: each ends when
// its connection is closed. The first answer is cut to a part of its length, given as
// numerator and denominator; the others are whole.
func unframedEngine(contentType, body string, numerator, denominator int) (engine http.Handler, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := body
		if runs.Add(1) == 1 {
			text = body[:len(body)*numerator/denominator]
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
			contentType, upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt), text)
		_ = buffered.Flush()
	}), runs
}

const (
	unframedJSON   = `{"model":"polish-7b","choices":[{"message":{"content":"ok"}}]}`
	unframedStream = "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n"
)

// Guards against refusing a whole answer that ends with its connection, and against taking one
// for whole that broke off: a completion is whole if its JSON is, a stream if it ends with its
// last event.
func TestCompletionThatEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		request, contentType, body string
		numerator, denominator     int
		// runs is how often the engine has to run the request until the answer is whole.
		runs int64
	}{
		"whole JSON":      {unstreamedBody, "application/json", unframedJSON, 1, 1, 1},
		"cut JSON":        {unstreamedBody, "application/json", unframedJSON, 1, 2, 2},
		"empty JSON":      {unstreamedBody, "application/json", unframedJSON, 0, 1, 2},
		"whole stream":    {streamBody, "text/event-stream", unframedStream, 1, 1, 1},
		"stream, nothing": {streamBody, "text/event-stream", unframedStream, 0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			engine, runs := unframedEngine(c.contentType, c.body, c.numerator, c.denominator)
			r := newRouter(t, routerOptions{engines: []http.Handler{engine}})
			got := r.chat(t, c.request)
			if got.status != http.StatusOK || got.err != nil || got.body != c.body {
				t.Errorf("status %d, error %v, body %q, want the whole answer", got.status, got.err, got.body)
			}
			if runs.Load() != c.runs {
				t.Errorf("the engine ran the request %d times, want %d", runs.Load(), c.runs)
			}
		})
	}
}

// Guards against a stream that looks whole although it ended with its connection inside an
// event or between two.
func TestStreamThatBreaksOffWithItsConnectionIsNotWhole(t *testing.T) {
	for name, cut := range map[string]int{
		"inside an event":    strings.Index(unframedStream, `"n":2`),
		"between two events": strings.Index(unframedStream, "data: [DONE]"),
	} {
		engine, _ := unframedEngine("text/event-stream", unframedStream, cut, len(unframedStream))
		r := newRouter(t, routerOptions{engines: []http.Handler{engine}})
		if got := r.chat(t, streamBody); got.complete() || strings.Contains(got.body, "[DONE]") {
			t.Errorf("%s: body %q, error %v looks complete", name, got.body, got.err)
		}
	}
}
