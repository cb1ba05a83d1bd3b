package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against heads of many short lines, on many connections, that take all memory of the process:
// one over the memory for heads is refused as not executed, and ordinary requests are served.
func TestHeadsOverTheMemoryAreRefused(t *testing.T) {
	env := start(t, 1, nil)
	env.eventually("requests are served", func() bool { return env.do(call{path: "/safe/x", id: "first"}).status == http.StatusOK })
	var lines strings.Builder
	for n := 0; lines.Len() < 30<<10; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", env.callers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		// The daemon may have closed it already.
		_, _ = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: "+host+"\r\n"+text)
		return conn
	}
	for range 40 {
		send(lines.String())
	}
	time.Sleep(200 * time.Millisecond)
	over := send(lines.String() + "\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(over), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("a head over the memory got %v, error %v, want 503 with Retry-After", answer, err)
	}
	if got := env.do(call{path: "/safe/x", id: "ordinary"}); got.status != http.StatusOK {
		t.Errorf("an ordinary request got status %d, error %v", got.status, got.err)
	}
}
