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

// cancelTimeout limits the request that cancels an attempt at its upstream.
const cancelTimeout = 500 * time.Millisecond

// newRequest builds the attempt's request to its upstream.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	caller := a.call.Request
	outgoing, err := http.NewRequestWithContext(ctx, caller.Method, a.upstreamURL("/"), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	copyRawURL(outgoing.URL, caller)
	if a.relay.options.General {
		outgoing.Host = caller.Host
	}
	outgoing.Body = upstream.NewBody(bytes.NewReader(a.call.Body))
	outgoing.ContentLength = int64(len(a.call.Body))
	copyRequestHeader(outgoing.Header, caller.Header, a.call.Kind)
	if !a.call.CompletionDeadline.IsZero() {
		a.call.Outgoing.TimeLeft = time.Until(a.call.CompletionDeadline)
	}
	a.relay.options.Dialect.Prepare(outgoing.Header, a.call.Outgoing)
	return outgoing, nil
}

// copyRawURL sets targetURL's path and query to those of the caller's request, byte for byte.
// Parsing and encoding them again could change them.
func copyRawURL(targetURL *url.URL, caller *http.Request) {
	path, query, hasQuery := strings.Cut(caller.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		// The request target is in absolute form, or its path starts like a host ("//").
		targetURL.Path, targetURL.RawPath = caller.URL.Path, caller.URL.RawPath
		targetURL.RawQuery, targetURL.ForceQuery = caller.URL.RawQuery, caller.URL.ForceQuery
		return
	}
	targetURL.Opaque = path
	targetURL.RawQuery, targetURL.ForceQuery = query, hasQuery
}

func (a *attempt) upstreamURL(uri string) string {
	return a.relay.options.Scheme + "://" + a.target.Address + uri
}

// cancelUpstream asks a model engine to cancel the attempt and waits for its response, so
// that the slot isn't granted again before the attempt has stopped.
func (a *attempt) cancelUpstream() {
	if a.call.Kind != version.PoolModel || a.relay.options.General {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	held := a.relay.newHolding(a.target.ID)
	defer held.release()
	tracker := &upstream.SendTracker{OnHead: held.readHead}
	targetURL := a.upstreamURL(upstream.PathAttempts + a.call.Outgoing.ID)
	outgoing, err := http.NewRequestWithContext(tracker.Context(ctx), http.MethodDelete, targetURL, nil)
	if err != nil {
		return
	}
	response, err := a.relay.options.Transport.RoundTrip(outgoing)
	tracker.EndHead()
	if err != nil {
		// An engine that cannot be reached executes nothing.
		return
	}
	response.Body.Close()
}
