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

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against heads of many short lines, on many connections, that take all memory of the process:
// unfinished ones give way to a request that is whole, one over the memory that requests in progress
// hold is refused as not executed, and ordinary requests are served.
func TestHeadsOverTheMemoryAreRefused(t *testing.T) {
	env := start(t, 1, nil)
	env.eventually("requests are served", func() bool { return env.do(call{path: "/safe/x", id: "first"}).status == http.StatusOK })
	var text strings.Builder
	for n := 0; text.Len() < 30<<10; n++ {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	lines := text.String()
	send := func(head string) net.Conn {
		conn, err := net.Dial("tcp", env.callers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		// The daemon may have closed it already.
		_, _ = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: "+host+"\r\n"+head)
		return conn
	}
	key := platformtest.HeaderKey + ": " + key + "\r\n" + platformtest.HeaderRequestID + ": "
	for range 40 {
		send(lines)
	}
	time.Sleep(200 * time.Millisecond)
	last := send(key + "last\r\n" + lines + "\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("a whole request after unfinished heads got %v, error %v", answer, err)
	}
	env.setFaults(generalupstream.Faults{Delay: time.Second})
	var conns []net.Conn
	for n := range 40 {
		conns = append(conns, send(key+fmt.Sprintf("long-%d\r\n", n)+lines+"\r\n"))
	}
	refused := 0
	for _, conn := range conns {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("a request over the memory got no answer: %v", err)
			continue
		}
		if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "" {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no head was over the memory, want some refused with 503 and Retry-After")
	}
	env.setFaults(generalupstream.Faults{})
	if got := env.do(call{path: "/safe/x", id: "ordinary"}); got.status != http.StatusOK {
		t.Errorf("an ordinary request got status %d, error %v", got.status, got.err)
	}
}
