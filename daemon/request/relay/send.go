package relay

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// cancelTimeout bounds the cancelling of an attempt at its upstream.
const cancelTimeout = 500 * time.Millisecond

// newRequest returns the attempt's request to its upstream.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	caller := a.call.Request
	target := a.url(caller.URL.RequestURI())
	out, err := http.NewRequestWithContext(ctx, caller.Method, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	out.Body = upstream.NewBody(bytes.NewReader(a.call.Body))
	out.ContentLength = int64(len(a.call.Body))
	copyRequestHeader(out.Header, caller.Header, a.call.Kind)
	out.Header.Set(upstream.HeaderAttempt, a.call.Attempt.String())
	return out, nil
}

func (a *attempt) url(uri string) string {
	return a.relay.options.Scheme + "://" + a.target.Address + uri
}

// cancelUpstream asks a model engine to stop the attempt and waits until it
// has, so that the slot is not given away before.
func (a *attempt) cancelUpstream() {
	if a.call.Kind != version.PoolModel {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	target := a.url(upstream.PathAttempts + a.call.Attempt.String())
	out, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return
	}
	response, err := a.relay.options.Transport.RoundTrip(out)
	if err != nil {
		// An engine that is gone runs nothing.
		return
	}
	response.Body.Close()
}
