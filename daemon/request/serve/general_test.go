package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// idleFleet has a configuration and no upstream.
type idleFleet struct{ config *version.Config }

func (f idleFleet) Config() *version.Config { return f.config }
func (f idleFleet) NewID() request.ID       { return 1 }

func (f idleFleet) Acquire(context.Context, request.Ticket) (request.Grant, *request.Refusal) {
	return request.Grant{}, refuse(request.ReasonNoUpstream, "")
}

// Load: the callers of a large account come to one small VM, which may hold no more of its
// requests, while others of the data centre are idle. Guards against telling them to wait
// there: on quiet-1 of large Queensland they were to come back after 0.3 s.
func TestAFullRouterSendsCallersElsewhereAtOnce(t *testing.T) {
	const host, key = "h.example", "k"
	spec := platformtest.Config(1, []any{
		platformtest.Route("r", host, "/a/", platformtest.KindUnsafe, "s", nil),
	}, platformtest.Service("s", nil), "account", key)
	config, err := platform.DecodeConfig(platformtest.Encode(spec))
	if err != nil {
		t.Fatal(err)
	}
	general := NewGeneral(GeneralOptions{
		Fleet:       idleFleet{config},
		Incoming:    platform.Incoming,
		RequestID:   platform.RequestID,
		Fresh:       func() (bool, time.Duration) { return true, 0 },
		Retry:       func() retry.WindowOptions { return retry.WindowOptions{Length: time.Second} },
		MaxRequests: generalAccountPart,
		Log:         slog.New(slog.DiscardHandler),
	})
	server := httptest.NewServer(general)
	defer server.Close()
	defer server.CloseClientConnections()
	call := func(id string) net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		// The body does not come, so the request is held.
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 9\r\n\r\n",
			host, platformtest.HeaderRequestID, id, platformtest.HeaderKey, key)
		return conn
	}
	call("held")
	for deadline := time.Now().Add(10 * time.Second); general.Held() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first request is not held")
		}
	}
	second := call("second")
	_ = second.SetReadDeadline(time.Now().Add(10 * unreadBodyTime))
	answer, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusTooManyRequests || answer.Header.Get("Retry-After") != "0.02" || !answer.Close {
		t.Errorf("status %d, %v", answer.StatusCode, answer.Header)
	}
	// Its body does not come either; the connection was kept for ever.
	if _, err := io.Copy(io.Discard, second); err != nil {
		t.Errorf("the connection does not end: %v", err)
	}
}
