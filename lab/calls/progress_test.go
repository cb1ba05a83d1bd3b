package calls

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
)

// trickling returns a handler that sends a number of equal pieces at an interval, until
// its caller disconnects.
func trickling(contentType, piece string, pieces int, interval time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", contentType)
		for range pieces {
			fmt.Fprint(w, piece)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
		}
		if contentType == "text/event-stream" {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	})
}

// stallTimeout is short, as the tests last many times as long.
const stallTimeout = 400 * time.Millisecond

// Guards against answers that never end because a few bytes arrive before each stall
// timeout: an engine that sends only comments, one that sends bytes without completing an
// event, and a service that sends its answer byte by byte.
func TestTricklingAnswerWithoutProgressEnds(t *testing.T) {
	const endlessPieces = 100_000
	for name, c := range map[string]struct {
		options routerOptions
		path    string
	}{
		"comments": {options: routerOptions{engines: []http.Handler{trickling("text/event-stream", ": waiting\n\n", endlessPieces, stallTimeout/20)}}},
		"bytes":    {options: routerOptions{engines: []http.Handler{trickling("text/event-stream", "x", endlessPieces, stallTimeout/20)}}},
		"service":  {options: routerOptions{services: []http.Handler{trickling("text/plain", "x", endlessPieces, stallTimeout/20)}}, path: "/booking/visit"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.options.relay = relay.Options{StallTimeout: stallTimeout}
			r := newRouter(t, c.options)
			answers := make(chan answer, 1)
			go func() {
				if c.path != "" {
					answers <- r.do(t, r.newRequest(t, http.MethodGet, c.path, ""))
					return
				}
				answers <- r.chat(t, streamBody)
			}()
			select {
			case got := <-answers:
				if got.err == nil && got.status == http.StatusOK {
					t.Errorf("got %d %.80q, which looks complete", got.status, got.body)
				}
			case <-time.After(40 * stallTimeout):
				t.Error("the answer did not end within 40 stall timeouts")
			}
		})
	}
}

// Guards against truncating answers that are slow but make progress: streams and a plain
// answer that take several stall timeouts, with an event or a block within each.
func TestSlowAnswerWithProgressIsComplete(t *testing.T) {
	const pieces = 12
	event := "data: {\"n\":1}\n\n"
	block := strings.Repeat("y", 600)
	r := newRouter(t, routerOptions{
		engines:  []http.Handler{trickling("text/event-stream", event, pieces, stallTimeout/3)},
		services: []http.Handler{trickling("text/plain", block, pieces, stallTimeout/3)},
		relay:    relay.Options{StallTimeout: stallTimeout},
	})
	if got := r.chat(t, streamBody); got.err != nil || got.body != strings.Repeat(event, pieces)+"data: [DONE]\n\n" {
		t.Errorf("engine's stream: error %v, %d bytes", got.err, len(got.body))
	}
	streamingRouter := newRouter(t, routerOptions{
		services: []http.Handler{trickling("text/event-stream", event, pieces, stallTimeout/3)},
		relay:    relay.Options{StallTimeout: stallTimeout},
	})
	if got := streamingRouter.do(t, streamingRouter.newRequest(t, http.MethodGet, "/booking/visit", "")); got.err != nil || !strings.HasPrefix(got.body, strings.Repeat(event, pieces)) {
		t.Errorf("service's stream: error %v, %d bytes", got.err, len(got.body))
	}
	if got := r.do(t, r.newRequest(t, http.MethodGet, "/booking/visit", "")); got.err != nil || got.body != strings.Repeat(block, pieces) {
		t.Errorf("service's plain answer: error %v, %d bytes", got.err, len(got.body))
	}
}
