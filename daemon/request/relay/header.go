package relay

import (
	"mime"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
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

// copyRequestHeader copies a caller's headers but for those of one connection
// and the length, which the body's framing says anew.
func copyRequestHeader(to, from http.Header, kind version.PoolKind) {
	dropped := connectionHeaders(from)
	for name, values := range from {
		if hopHeaders[name] || dropped[name] || name == "Content-Length" {
			continue
		}
		to[name] = values
	}
	if kind == version.PoolModel {
		// Events are read on the way, so they must come uncompressed.
		to.Del("Accept-Encoding")
	}
	if _, present := to["User-Agent"]; !present {
		// An empty value keeps the transport from adding its own.
		to["User-Agent"] = []string{""}
	}
}

func copyAnswerHeader(to, from http.Header) {
	dropped := connectionHeaders(from)
	for name, values := range from {
		if hopHeaders[name] || dropped[name] || strings.HasPrefix(name, upstream.OwnPrefix) {
			continue
		}
		switch name {
		case "Content-Length", upstream.HeaderNotRun, upstream.HeaderFencing:
			continue
		}
		to[name] = values
	}
}

// connectionHeaders returns the headers that Connection names.
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
