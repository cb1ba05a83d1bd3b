package upstream

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// pollResult is one call of the LoadHandler.
type pollResult struct {
	upstream    version.UpstreamID
	load        slots.Load
	unsupported bool
}

// pollResults is a LoadHandler that sends the results to a channel.
type pollResults chan pollResult

func (r pollResults) Load(upstream version.UpstreamID, load slots.Load) {
	r <- pollResult{upstream: upstream, load: load}
}

func (r pollResults) LoadUnsupported(upstream version.UpstreamID) {
	r <- pollResult{upstream: upstream, unsupported: true}
}

func TestPollerReportsLoad(t *testing.T) {
	reporting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathLoad {
			t.Errorf("polled path %s, which is not PathLoad", r.URL.Path)
		}
		_, _ = w.Write([]byte(`{"running":3,"waiting":1,"cold":true}`))
	}))
	defer reporting.Close()
	unsupporting := httptest.NewServer(http.NotFoundHandler())
	defer unsupporting.Close()
	ctx, cancel := context.WithCancel(t.Context())
	got := make(pollResults, 2)
	poller := NewPoller(PollerOptions{Handler: got, Log: slog.New(slog.DiscardHandler)})
	finished := make(chan error, 1)
	go func() { finished <- poller.Run(ctx) }()
	poller.Poll(1, strings.TrimPrefix(reporting.URL, "http://"))
	if want := (pollResult{upstream: 1, load: slots.Load{Running: 3, Waiting: 1, Cold: true}}); <-got != want {
		t.Errorf("poll result differs, want %+v", want)
	}
	poller.Poll(2, strings.TrimPrefix(unsupporting.URL, "http://"))
	if want := (pollResult{upstream: 2, unsupported: true}); <-got != want {
		t.Errorf("poll result differs, want %+v", want)
	}
	cancel()
	if err := <-finished; err == nil {
		t.Error("Run returned no error after its context was cancelled")
	}
}

// Guards against a load report that is taken for whole although its connection ended before its length:
// the decoder stopped at the end of the first value.
func TestPollerDropsReportsThatBreakOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"running":3,"waiting":1,"cold":true}`))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	poller := NewPoller(PollerOptions{Log: slog.New(slog.DiscardHandler)})
	if load, err := poller.fetchLoad(t.Context(), server.Listener.Addr().String()); err == nil {
		t.Errorf("a report that broke off was taken for the load %+v", load)
	}
}
