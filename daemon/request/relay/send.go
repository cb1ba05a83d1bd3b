package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"
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
	out, err := http.NewRequestWithContext(ctx, caller.Method, a.url("/"), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	literal(out.URL, caller)
	if a.relay.options.General {
		out.Host = caller.Host
	}
	out.Body = upstream.NewBody(bytes.NewReader(a.call.Body))
	out.ContentLength = int64(len(a.call.Body))
	copyRequestHeader(out.Header, caller.Header, a.call.Kind)
	if !a.call.EndBy.IsZero() {
		a.call.Out.Left = time.Until(a.call.EndBy)
	}
	a.relay.options.Dialect.Prepare(out.Header, a.call.Out)
	return out, nil
}

// literal gives target the caller's path and query as they were sent. Parsing
// and printing them could change them.
func literal(target *url.URL, caller *http.Request) {
	path, query, asked := strings.Cut(caller.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		// An absolute form or a path that reads like one.
		target.Path, target.RawPath = caller.URL.Path, caller.URL.RawPath
		target.RawQuery, target.ForceQuery = caller.URL.RawQuery, caller.URL.ForceQuery
		return
	}
	target.Opaque = path
	target.RawQuery, target.ForceQuery = query, asked
}

func (a *attempt) url(uri string) string {
	return a.relay.options.Scheme + "://" + a.target.Address + uri
}

// cancelUpstream asks a model engine to stop the attempt and waits until it
// has, so that the slot is not given away before.
func (a *attempt) cancelUpstream() {
	if a.call.Kind != version.PoolModel || a.relay.options.General {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	target := a.url(upstream.PathAttempts + a.call.Out.ID)
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
