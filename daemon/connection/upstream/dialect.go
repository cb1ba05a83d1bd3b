package upstream

import (
	"net/http"
	"strings"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// Dialect is the set of protocol conventions that upstreams follow on top of
// plain HTTP.
type Dialect interface {
	// Prepare sets the headers of an attempt's request. On entry, header holds
	// the caller's headers without the hop-by-hop ones.
	Prepare(header http.Header, out request.Outgoing)
	// Echoes reports whether an answer echoes the attempt's identifier, which
	// shows that it belongs to the attempt.
	Echoes(answer http.Header, out request.Outgoing) bool
	// NotExecuted reports whether an answer guarantees that the request was not
	// executed.
	NotExecuted(status int, answer http.Header) bool
	// Load returns the load reported in an answer's headers, and whether the
	// answer reports one.
	Load(answer http.Header) (request.Load, bool)
	// Advice returns what an answer says of the upstream's availability: drain, pause,
	// rate limit.
	Advice(status int, answer http.Header) request.Advice
}

// RouterHeaderPrefix is the prefix of the router's own header names.
const RouterHeaderPrefix = "X-Trefoilwell-"

// strippedHeaders are the caller's headers that are not forwarded to an
// upstream: the API key, and the headers that only a router may set.
var strippedHeaders = []string{
	"Authorization",
	"Expect",
	HeaderFencing,
	HeaderNotRun,
}

// Native is the dialect of the protocol that this package defines.
type Native struct{}

// Prepare implements Dialect.
func (Native) Prepare(header http.Header, out request.Outgoing) {
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, RouterHeaderPrefix) {
			delete(header, name)
		}
	}
	header.Set(HeaderAttempt, out.ID)
}

// Echoes implements Dialect.
func (Native) Echoes(answer http.Header, out request.Outgoing) bool {
	return answer.Get(HeaderAttempt) == out.ID
}

// NotExecuted implements Dialect.
func (Native) NotExecuted(status int, answer http.Header) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return answer.Get(HeaderNotRun) == "true"
	}
	return false
}

// Load implements Dialect. It returns no load: native upstreams are polled for
// it, see Poller.
func (Native) Load(http.Header) (request.Load, bool) { return request.Load{}, false }

// Advice implements Dialect. It returns pauses and limits only: a native upstream does not
// announce that it drains, its operator takes it out of service.
func (Native) Advice(status int, answer http.Header) request.Advice {
	var advice request.Advice
	if status == http.StatusServiceUnavailable {
		advice = request.PauseAdvice(answer["Retry-After"])
	}
	limit, invalid := request.ParseRateLimit(answer[HeaderRateLimit])
	if advice.Limit = limit; invalid != "" {
		advice.Invalid = HeaderRateLimit + ": " + invalid
	}
	return advice
}
