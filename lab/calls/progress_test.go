package calls

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
)

// dripping sends a piece again and again until its caller leaves or it has sent all.
func dripping(contentType, piece string, pieces int, every time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", contentType)
		for range pieces {
			fmt.Fprint(w, piece)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-time.After(every):
			case <-r.Context().Done():
				return
			}
		}
		if contentType == "text/event-stream" {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	})
}

const stall = 400 * time.Millisecond

// Guards against answers that never end because something is sent now and then: an engine
// that sends comments only, one that sends an event byte by byte, and a service whose
// answer drips.
func TestAnAnswerThatOnlyDripsEnds(t *testing.T) {
	const forever = 100_000
	for name, c := range map[string]struct {
		s    setup
		path string
	}{
		"comments": {s: setup{engines: []http.Handler{dripping("text/event-stream", ": waiting\n\n", forever, stall/20)}}},
		"bytes":    {s: setup{engines: []http.Handler{dripping("text/event-stream", "x", forever, stall/20)}}},
		"service":  {s: setup{services: []http.Handler{dripping("text/plain", "x", forever, stall/20)}}, path: "/booking/visit"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.s.relay = relay.Options{StallTimeout: stall}
			r := newRouter(t, c.s)
			ended := make(chan answer, 1)
			go func() {
				if c.path != "" {
					ended <- r.do(t, r.newRequest(t, http.MethodGet, c.path, ""))
					return
				}
				ended <- r.chat(t, streamBody)
			}()
			select {
			case got := <-ended:
				if got.err == nil && got.status == http.StatusOK {
					t.Errorf("got %d %.80q as if it were whole", got.status, got.body)
				}
			case <-time.After(40 * stall):
				t.Error("the answer does not end")
			}
		})
	}
}

// Guards against cutting what is slow and sound: a stream and an answer that take many
// times the stall timeout, with progress in each.
func TestASlowSoundAnswerIsWhole(t *testing.T) {
	const pieces = 12
	event := "data: {\"n\":1}\n\n"
	block := strings.Repeat("y", 600)
	r := newRouter(t, setup{
		engines:  []http.Handler{dripping("text/event-stream", event, pieces, stall/3)},
		services: []http.Handler{dripping("text/plain", block, pieces, stall/3)},
		relay:    relay.Options{StallTimeout: stall},
	})
	if got := r.chat(t, streamBody); got.err != nil || got.body != strings.Repeat(event, pieces)+"data: [DONE]\n\n" {
		t.Errorf("stream: %v, %d bytes", got.err, len(got.body))
	}
	feed := newRouter(t, setup{
		services: []http.Handler{dripping("text/event-stream", event, pieces, stall/3)},
		relay:    relay.Options{StallTimeout: stall},
	})
	if got := feed.do(t, feed.newRequest(t, http.MethodGet, "/booking/visit", "")); got.err != nil || !strings.HasPrefix(got.body, strings.Repeat(event, pieces)) {
		t.Errorf("a service's stream: %v, %d bytes", got.err, len(got.body))
	}
	if got := r.do(t, r.newRequest(t, http.MethodGet, "/booking/visit", "")); got.err != nil || got.body != strings.Repeat(block, pieces) {
		t.Errorf("answer: %v, %d bytes", got.err, len(got.body))
	}
}
