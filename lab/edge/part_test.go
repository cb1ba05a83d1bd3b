package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against a part of an answer that its caller takes for the whole: an upstream that answers an
// upload at once, without a length, and resets the connection, and one whose status is none.
func TestPartOfAnAnswerIsNotWhole(t *testing.T) {
	upload := strings.Repeat("u", 1<<20)
	for name, c := range map[string]struct {
		path, body string
		faults     generalupstream.Faults
	}{
		"early, reset":              {"/unsafe/x", upload, generalupstream.Faults{CutEarly: 1 << 20}},
		"early events, reset":       {"/stream/x", upload, generalupstream.Faults{CutEarly: 1 << 20}},
		"early, may be repeated":    {"/safe/x", upload, generalupstream.Faults{CutEarly: 1 << 20}},
		"status 000":                {"/unsafe/x", "body", generalupstream.Faults{BadStatus: 1 << 20, Status: 0}},
		"status 999":                {"/unsafe/x", "body", generalupstream.Faults{BadStatus: 1 << 20, Status: 999}},
		"status 600 of a stream":    {"/stream/x", "body", generalupstream.Faults{BadStatus: 1 << 20, Status: 600}},
		"status 101, not asked for": {"/unsafe/x", "body", generalupstream.Faults{BadStatus: 1 << 20, Status: 101}},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			env.setFaults(c.faults)
			for n := range 10 {
				got := env.do(call{path: c.path, id: "id" + string(rune('a'+n)), body: c.body})
				if got.err == nil && (got.status < http.StatusInternalServerError || got.status > 599) {
					t.Fatalf("status %d with %q looks complete", got.status, got.body)
				}
			}
			env.setFaults(generalupstream.Faults{})
			env.eventually("a sound answer is relayed", func() bool {
				return env.do(call{path: c.path, id: "sound", body: "body"}).status == http.StatusOK
			})
		})
	}
}

// Guards against an upstream that answers before it has read the body, and reads the rest of the body as
// requests: no caller may get an answer to one of these on a connection that is used again.
func TestRestOfAnUploadAnswersNoOtherRequest(t *testing.T) {
	env := start(t, 1, nil)
	env.useScripted(t, func(conn net.Conn, id string, _ []string) { fmt.Fprint(conn, rawAnswer(id, "")) })
	forged := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: forged\r\nContent-Length: 0\r\n\r\n", host, platformtest.HeaderRequestID)
	served := 0
	for n := range 40 {
		id := fmt.Sprintf("id-%d", n)
		body := ""
		if n%2 == 0 {
			body = strings.Repeat(forged, 1+n*50)
		}
		got := env.do(call{path: "/unsafe/x", id: id, body: body})
		if got.err != nil || got.status != http.StatusOK {
			continue
		}
		if served++; got.body != generalupstream.Answer(id) {
			t.Fatalf("request %s got %q", id, got.body)
		}
	}
	if served == 0 {
		t.Error("none of 40 requests was served")
	}
}
