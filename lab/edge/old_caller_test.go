package edge

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against a stream that broke off and looks complete to a caller of HTTP/1.0, which knows the end of
// a stream by that of its connection: it must be a reset, and an orderly end where the stream is whole.
func TestBrokenStreamToACallerOfHTTP10IsReset(t *testing.T) {
	for name, faults := range map[string]generalupstream.Faults{
		"whole": {}, "broken": {TruncateAfter: 2},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			env.setFaults(faults)
			conn, err := net.Dial("tcp", env.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /stream/x HTTP/1.0\r\nHost: %s\r\n%s: id\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 0\r\n\r\n",
				host, platformtest.HeaderRequestID, platformtest.HeaderKey, key, platformtest.HeaderDeadline)
			answer, err := io.ReadAll(conn)
			if broken := faults.TruncateAfter > 0; broken != (err != nil) {
				t.Errorf("error %v at the end of %q", err, answer)
			}
			if faults.TruncateAfter == 0 && !strings.HasSuffix(string(answer), generalupstream.CompleteStream()) {
				t.Errorf("got %q, want the whole stream", answer)
			}
		})
	}
}
