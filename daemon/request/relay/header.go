package relay

import (
	"mime"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only (RFC 9110,
// section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyRequestHeader copies the caller's headers without the hop-by-hop headers and
// Content-Length, which is set again from the body's length.
func copyRequestHeader(to, from http.Header, kind version.PoolKind) {
	dropped := connectionHeaders(from)
	for name, values := range from {
		if hopHeaders[name] || dropped[name] || name == "Content-Length" {
			continue
		}
		to[name] = values
	}
	if kind == version.PoolModel {
		// The relay parses the events, so they must arrive uncompressed.
		to.Del("Accept-Encoding")
	}
	if _, present := to["User-Agent"]; !present {
		// An empty value stops the transport from adding its default User-Agent.
		to["User-Agent"] = []string{""}
	}
}

// copyResponseHeader copies the upstream's headers without the hop-by-hop headers,
// Content-Length and the headers that are meant for the router.
func copyResponseHeader(to, from http.Header) {
	dropped := connectionHeaders(from)
	for name, values := range from {
		if hopHeaders[name] || dropped[name] || strings.HasPrefix(name, upstream.RouterHeaderPrefix) {
			continue
		}
		switch name {
		case "Content-Length", upstream.HeaderNotRun, upstream.HeaderFencing:
			continue
		}
		to[name] = values
	}
}

// connectionHeaders returns the names of the headers that the Connection header lists as
// hop-by-hop.
func connectionHeaders(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func isEventStream(response *http.Response) bool {
	if response.StatusCode != http.StatusOK {
		return false
	}
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

// checkFrame returns an error for a response that is none: its status is not one of a final
// response, or its framing cannot be told.
func (a *attempt) checkFrame(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrTruncated, "upstream sent the status %03d as the final one", response.StatusCode)
	}
	if a.holding.isFaultilyFramed() {
		return errors.Wrapf(ErrTruncated, "upstream sent a response of %s with a transfer encoding", response.Proto)
	}
	return nil
}
