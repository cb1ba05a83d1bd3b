package upstream

import (
	"net/http"
	"strings"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// Dialect is how upstreams are spoken to beside plain HTTP.
type Dialect interface {
	// Prepare sets the headers of an attempt's request, which holds the
	// caller's but for those that concern one connection.
	Prepare(header http.Header, out request.Outgoing)
	// Echoes reports whether an answer belongs to the attempt.
	Echoes(answer http.Header, out request.Outgoing) bool
	// NotRun reports whether an answer promises that nothing ran.
	NotRun(status int, answer http.Header) bool
	// Load reads the load that an answer tells, if it does.
	Load(answer http.Header) (request.Load, bool)
	// Advice reads what an answer says of its upstream's wishes.
	Advice(status int, answer http.Header) request.Advice
}

// OwnPrefix starts the names of the router's own headers.
const OwnPrefix = "X-Trefoilwell-"

// keptBack are a caller's headers that no upstream may see: the API key, and
// what only a router may say.
var keptBack = []string{
	"Authorization",
	"Expect",
	HeaderFencing,
	HeaderNotRun,
}

// Native is the dialect of this package's protocol.
type Native struct{}

// Prepare implements Dialect.
func (Native) Prepare(header http.Header, out request.Outgoing) {
	for _, name := range keptBack {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, OwnPrefix) {
			delete(header, name)
		}
	}
	header.Set(HeaderAttempt, out.ID)
}

// Echoes implements Dialect.
func (Native) Echoes(answer http.Header, out request.Outgoing) bool {
	return answer.Get(HeaderAttempt) == out.ID
}

// NotRun implements Dialect.
func (Native) NotRun(status int, answer http.Header) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return answer.Get(HeaderNotRun) == "true"
	}
	return false
}

// Load implements Dialect: loads are polled instead.
func (Native) Load(http.Header) (request.Load, bool) { return request.Load{}, false }

// Advice implements Dialect: an upstream that leaves is taken out by its operator.
func (Native) Advice(status int, answer http.Header) request.Advice {
	if status != http.StatusServiceUnavailable {
		return request.Advice{}
	}
	return request.PauseAdvice(answer["Retry-After"])
}
