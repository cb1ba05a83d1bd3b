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
	// maxQueuedPolls bounds the polls that wait for a worker.
	maxQueuedPolls = 1024
	// pollWorkers is the number of concurrent polls.
	pollWorkers = 8
	// pollTimeout bounds one poll, from connecting to the end of the answer.
	pollTimeout = 2 * time.Second
	// maxLoadBytes bounds the body of a load report.
	maxLoadBytes = 4 << 10
)

// errLoadUnsupported is returned for an upstream that does not report its load.
var errLoadUnsupported = errors.New("upstream does not report its load")

// LoadHandler receives the results of polls. Its methods are called from the
// Poller's goroutines.
type LoadHandler interface {
	// Load is called with the load that an upstream reports.
	Load(upstream version.UpstreamID, load slots.Load)
	// LoadUnsupported is called for an upstream whose answer shows that it does not
	// report its load.
	LoadUnsupported(upstream version.UpstreamID)
}

// PollerOptions configures a Poller.
type PollerOptions struct {
	Handler LoadHandler
	// Transport carries the polls; default http.DefaultTransport.
	Transport http.RoundTripper
	// Scheme is the URL scheme of upstreams, "http" or "https"; default "http".
	Scheme string
	Log    *slog.Logger
}

// Poller requests load reports from upstreams. It is safe for concurrent use.
type Poller struct {
	options PollerOptions
	client  *http.Client
	queue   chan poll
}

// poll is a queued request for the load of one upstream.
type poll struct {
	upstream version.UpstreamID
	address  string
}

// NewPoller returns a Poller, which executes polls once Run is called.
func NewPoller(options PollerOptions) *Poller {
	if options.Scheme == "" {
		options.Scheme = "http"
	}
	return &Poller{
		options: options,
		client:  &http.Client{Transport: options.Transport, Timeout: pollTimeout},
		queue:   make(chan poll, maxQueuedPolls),
	}
}

// Poll queues a poll of one upstream and returns at once. If the queue is full,
// the poll is dropped, like one that did not reach the upstream.
func (p *Poller) Poll(upstream version.UpstreamID, address string) {
	select {
	case p.queue <- poll{upstream: upstream, address: address}:
	default:
		p.options.Log.Warn("load poll dropped: queue full", "address", address)
	}
}

// Run executes queued polls until ctx ends. It returns the context's error.
func (p *Poller) Run(ctx context.Context) error {
	done := make(chan struct{})
	for range pollWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			p.runWorker(ctx)
		}()
	}
	for range pollWorkers {
		<-done
	}
	return ctx.Err()
}

func (p *Poller) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.queue:
			p.execute(ctx, next)
		}
	}
}

// execute makes one poll and hands the result to the handler. A poll that failed
// is only logged.
func (p *Poller) execute(ctx context.Context, next poll) {
	load, err := p.fetchLoad(ctx, next.address)
	switch {
	case err == nil:
		p.options.Handler.Load(next.upstream, slots.Load{
			Running: load.Running,
			Waiting: load.Waiting,
			Cold:    load.Cold,
		})
	case errors.Is(err, errLoadUnsupported):
		p.options.Handler.LoadUnsupported(next.upstream)
	default:
		p.options.Log.Debug("load poll failed", "address", next.address, "error", err)
	}
}

// fetchLoad requests the load report at address. It returns errLoadUnsupported for an
// upstream that has no such report.
func (p *Poller) fetchLoad(ctx context.Context, address string) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.options.Scheme+"://"+address+PathLoad, nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "build load request")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "poll")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Load{}, errLoadUnsupported
	default:
		return Load{}, errors.Newf("load report: status %d, want 200", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxLoadBytes))
	if err != nil {
		return Load{}, errors.Wrap(err, "read load report")
	}
	var load Load
	if err := json.Unmarshal(text, &load); err != nil {
		return Load{}, errors.Wrap(err, "decode load report")
	}
	return load, nil
}
