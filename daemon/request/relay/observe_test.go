package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// sendRecorder is an Observer that records what it is told.
type sendRecorder struct {
	deny bool

	mu   sync.Mutex
	sent int
	ends []End
}

func (r *sendRecorder) Send(request.Grant, string, *version.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deny {
		r.sent++
	}
	return !r.deny
}

func (r *sendRecorder) Ended(_ request.Grant, route string, end End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if route == "route" {
		r.ends = append(r.ends, end)
	}
}

const (
	observedEvent = "id: 1\ndata: x\n\n"
	observedPause = 20 * time.Millisecond
)

// Guards against a failure of a new software version that is not seen, and against one that is seen
// where the caller, the route or the order of the fleet is the cause.
func TestAttemptsAreObserved(t *testing.T) {
	stream := func(events int, broken bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for range events {
				_, _ = w.Write([]byte(observedEvent))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(observedPause)
			}
			if broken {
				panic(http.ErrAbortHandler)
			}
		}
	}
	answer := func(status int, header string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set(header, "1")
			}
			w.WriteHeader(status)
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		stream  bool
		// leave makes the caller go away after a moment.
		leave bool
		deny  bool
		// want is compared without the times, of which timed and paced say whether they are told.
		want         End
		timed, paced bool
	}{
		"answer":           {handler: answer(200, ""), timed: true},
		"caller's mistake": {handler: answer(404, ""), timed: true},
		"failure":          {handler: answer(500, ""), want: End{Failed: true}, timed: true},
		"not run":          {handler: answer(503, platformtest.HeaderNotExecuted)},
		"no answer":        {handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: End{Failed: true}},
		"overdue":          {handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, want: End{Failed: true, Overdue: true}},
		"stream":           {handler: stream(4, false), stream: true, timed: true, paced: true},
		"short stream":     {handler: stream(2, false), stream: true, timed: true},
		"broken stream":    {handler: stream(4, true), stream: true, want: End{Failed: true, Unfinished: true}, timed: true, paced: true},
		"caller left":      {handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, leave: true},
		"not permitted":    {handler: answer(200, ""), deny: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server notices that the caller has left only once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(platformtest.HeaderRequestID, r.Header.Get(platformtest.HeaderRequestID))
				c.handler(w, r)
			}))
			defer server.Close()
			target := &version.Upstream{ID: 1, Address: server.Listener.Addr().String(), DataCentre: "dc"}
			accounting := &fakeAccounting{}
			accounting.setConfig(configOf(target))
			transport := upstream.NewTransport(nil)
			defer transport.CloseIdleConnections()
			observer := &sendRecorder{deny: c.deny}
			relay := New(Options{Accounting: accounting, Transport: transport, General: true, Dialect: platform.Dialect{}, Observer: observer})
			kind := version.PoolService
			if c.stream {
				kind = version.PoolModel
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.leave {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			deadline := time.Now().Add(500 * time.Millisecond)
			result := relay.Do(httptest.NewRecorder(), Call{
				Grant: request.Grant{Upstream: 1}, Kind: kind, Route: "route", Resumable: c.stream, Stream: c.stream,
				Request:           httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx),
				Outgoing:          request.Outgoing{ID: "id"},
				FirstByteDeadline: deadline, CompletionDeadline: deadline,
			})
			result.Release()
			if c.deny {
				if observer.sent+len(observer.ends) > 0 || !result.NotExecuted || !result.Retryable {
					t.Errorf("%d sent, %d ended, result %+v", observer.sent, len(observer.ends), result)
				}
				return
			}
			if observer.sent != 1 || len(observer.ends) != 1 {
				t.Fatalf("%d sent and %d ended, want one of each", observer.sent, len(observer.ends))
			}
			end := observer.ends[0]
			if timed, paced := end.FirstByte > 0, end.EventPace >= observedPause/2; timed != c.timed || paced != c.paced {
				t.Errorf("first byte after %v, pace %v; want told: %t, %t", end.FirstByte, end.EventPace, c.timed, c.paced)
			}
			end.SinceSent, end.FirstByte, end.EventPace = 0, 0, 0
			if end != c.want {
				t.Errorf("ended as %+v, want %+v", end, c.want)
			}
		})
	}
}
