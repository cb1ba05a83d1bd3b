package upstream

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// pollRing bounds the polls that wait.
	pollRing = 1024
	// pollWorkers is the number of polls at a time.
	pollWorkers = 8
	// pollTimeout bounds one poll.
	pollTimeout = 2 * time.Second
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 4 << 10
)

// errNoLoad is returned for an upstream that does not report its load.
var errNoLoad = errors.New("upstream does not report its load")

// LoadHandler is told what upstreams report.
type LoadHandler interface {
	Load(upstream version.UpstreamID, load slots.Load)
	// NoLoad is called for an upstream that answered that it does not report.
	NoLoad(upstream version.UpstreamID)
}

// PollerOptions set up a Poller.
type PollerOptions struct {
	Handler LoadHandler
	// Transport carries the polls; default http.DefaultTransport.
	Transport http.RoundTripper
	// Scheme is how upstreams are reached, "http" or "https"; default "http".
	Scheme string
	Log    *slog.Logger
}

// Poller asks upstreams for their load. It is safe for concurrent use.
type Poller struct {
	options PollerOptions
	client  *http.Client
	polls   chan poll
}

type poll struct {
	upstream version.UpstreamID
	address  string
}

// NewPoller returns a poller that does not run yet.
func NewPoller(options PollerOptions) *Poller {
	if options.Scheme == "" {
		options.Scheme = "http"
	}
	return &Poller{
		options: options,
		client:  &http.Client{Transport: options.Transport, Timeout: pollTimeout},
		polls:   make(chan poll, pollRing),
	}
}

// Poll asks one upstream. If too many polls wait, the upstream counts as not
// reached this time.
func (p *Poller) Poll(upstream version.UpstreamID, address string) {
	select {
	case p.polls <- poll{upstream: upstream, address: address}:
	default:
		p.options.Log.Warn("load poll ring full", "address", address)
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	done := make(chan struct{})
	for range pollWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			p.work(ctx)
		}()
	}
	for range pollWorkers {
		<-done
	}
	return ctx.Err()
}

func (p *Poller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.polls:
			p.ask(ctx, next)
		}
	}
}

func (p *Poller) ask(ctx context.Context, asked poll) {
	load, err := p.fetch(ctx, asked.address)
	switch {
	case err == nil:
		p.options.Handler.Load(asked.upstream, slots.Load{
			Running: load.Running,
			Waiting: load.Waiting,
			Cold:    load.Cold,
		})
	case errors.Is(err, errNoLoad):
		p.options.Handler.NoLoad(asked.upstream)
	default:
		p.options.Log.Debug("load poll", "address", asked.address, "error", err)
	}
}

func (p *Poller) fetch(ctx context.Context, address string) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.options.Scheme+"://"+address+PathLoad, nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "build poll")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "poll")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Load{}, errNoLoad
	default:
		return Load{}, errors.Newf("poll status %d", response.StatusCode)
	}
	var load Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load); err != nil {
		return Load{}, errors.Wrap(err, "decode load")
	}
	return load, nil
}
