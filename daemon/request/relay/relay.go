// Package relay sends one attempt to an upstream and relays the answer to the
// caller as it streams.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// copyBytes is the size of the relay buffer.
const copyBytes = 16 << 10

// Accounting is told what an attempt used.
type Accounting interface {
	Config() *version.Config
	// Charge counts service as it streams.
	Charge(account version.AccountID, cost request.Cost)
	// End frees the attempt's slot.
	End(finish request.Finish)
}

// Options set up a Relay.
type Options struct {
	Accounting Accounting
	Transport  http.RoundTripper
}

// Relay carries attempts. It is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a relay.
func New(options Options) *Relay { return &Relay{options: options} }

// Call is one granted attempt.
type Call struct {
	Grant   request.Grant
	Account version.AccountID
	// Request is the caller's request; its body has been read into Body.
	Request *http.Request
	Body    []byte
}

// ErrCrossed is returned for an answer that belongs to another attempt.
var ErrCrossed = errors.New("answer of another attempt")

// Do runs the attempt. It returns a refusal if nothing was written to w. An
// answer that breaks after that ends the caller's connection.
func (r *Relay) Do(ctx context.Context, w http.ResponseWriter, call Call) *request.Refusal {
	finish := request.Finish{
		ID:       call.Grant.ID,
		Attempt:  call.Grant.Attempt,
		Pool:     call.Grant.Pool,
		Upstream: call.Grant.Upstream,
		Outcome:  request.OutcomeBroken,
	}
	defer func() { r.options.Accounting.End(finish) }()
	started := time.Now()
	response, err := r.send(ctx, call)
	if err != nil {
		return failed(err)
	}
	defer response.Body.Close()
	finish.FirstToken = time.Since(started)
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	cost, err := r.copy(w, response.Body, call.Account)
	finish.Cost = cost
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	finish.Outcome = request.OutcomeDone
	return nil
}

func (r *Relay) send(ctx context.Context, call Call) (*http.Response, error) {
	target, known := r.options.Accounting.Config().Upstreams[call.Grant.Upstream]
	if !known {
		return nil, errors.New("upstream is not configured")
	}
	url := "http://" + target.Address + call.Request.URL.RequestURI()
	out, err := http.NewRequestWithContext(ctx, call.Request.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send the body a second time.
	out.GetBody = nil
	attempt := uuid.NewString()
	out.Header.Set(upstream.HeaderAttempt, attempt)
	out.Header.Set("Content-Type", call.Request.Header.Get("Content-Type"))
	response, err := r.options.Transport.RoundTrip(out)
	if err != nil {
		return nil, errors.Wrap(err, "send to upstream")
	}
	if response.Header.Get(upstream.HeaderAttempt) != attempt {
		response.Body.Close()
		return nil, ErrCrossed
	}
	return response, nil
}

// copy relays the body and charges its events as they pass.
func (r *Relay) copy(w http.ResponseWriter, body io.Reader, account version.AccountID) (request.Cost, error) {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	var total request.Cost
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return total, errors.Wrap(err, "write to caller")
			}
			// A writer that cannot flush still delivers at the end.
			_ = flusher.Flush()
			cost := request.Cost(bytes.Count(buffer[:n], []byte("data: ")))
			r.options.Accounting.Charge(account, cost)
			total += cost
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, errors.Wrap(err, "read from upstream")
		}
	}
}

func copyHeader(to, from http.Header) {
	for _, name := range []string{"Content-Type", upstream.HeaderAttempt} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

func failed(err error) *request.Refusal {
	return &request.Refusal{
		Reason:    request.ReasonUpstreamFailed,
		Execution: request.Unknown,
		Detail:    err.Error(),
	}
}
