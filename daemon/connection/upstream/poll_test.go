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

// answer is what a poll led to.
type answer struct {
	upstream version.UpstreamID
	load     slots.Load
	none     bool
}

type answers chan answer

func (a answers) Load(upstream version.UpstreamID, load slots.Load) {
	a <- answer{upstream: upstream, load: load}
}

func (a answers) NoLoad(upstream version.UpstreamID) { a <- answer{upstream: upstream, none: true} }

func TestPollReportsTheLoad(t *testing.T) {
	reporting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathLoad {
			t.Errorf("path %s", r.URL.Path)
		}
		_, _ = w.Write([]byte(`{"running":3,"waiting":1,"cold":true}`))
	}))
	defer reporting.Close()
	silent := httptest.NewServer(http.NotFoundHandler())
	defer silent.Close()
	ctx, cancel := context.WithCancel(t.Context())
	got := make(answers, 2)
	poller := NewPoller(PollerOptions{Handler: got, Log: slog.New(slog.DiscardHandler)})
	ended := make(chan error, 1)
	go func() { ended <- poller.Run(ctx) }()
	poller.Poll(1, strings.TrimPrefix(reporting.URL, "http://"))
	if want := (answer{upstream: 1, load: slots.Load{Running: 3, Waiting: 1, Cold: true}}); <-got != want {
		t.Errorf("want %+v", want)
	}
	poller.Poll(2, strings.TrimPrefix(silent.URL, "http://"))
	if want := (answer{upstream: 2, none: true}); <-got != want {
		t.Errorf("want %+v", want)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("Run ended without an error")
	}
}
