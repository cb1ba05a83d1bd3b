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

// idleFleet is a Fleet with a configuration and no upstream.
type idleFleet struct{ config *version.Config }

func (f idleFleet) Config() *version.Config { return f.config }
func (f idleFleet) NewID() request.ID       { return 1 }

func (f idleFleet) Acquire(context.Context, request.Ticket) (request.Grant, *request.Refusal) {
	return request.Grant{}, refuse(request.ReasonNoUpstream, "")
}

// Guards against telling callers to wait for a router that is at capacity while others of
// its data centre are idle. The callers of a large account reached one small VM, which may
// hold no more of its requests, and were told to retry after 0.3 s (on quiet-1 of large
// Queensland). They must be told to try another router at once.
func TestRouterAtCapacitySendsCallersToOtherRoutersImmediately(t *testing.T) {
	const host, key = "h.example", "k"
	spec := platformtest.Config(1, []any{
		platformtest.Route("r", host, "/a/", platformtest.KindUnsafe, "s", nil),
	}, platformtest.Service("s", nil), "account", key)
	config, err := platform.DecodeConfig(platformtest.Encode(spec))
	if err != nil {
		t.Fatal(err)
	}
	unplaced := make(chan request.Ticket, 1)
	general := NewGeneralHandler(GeneralOptions{
		Fleet:        idleFleet{config},
		ParseHeaders: platform.DecodeIncoming,
		ConfigFresh:  func() (bool, time.Duration) { return true, 0 },
		Retry:        func() retry.WindowOptions { return retry.WindowOptions{Length: time.Second} },
		MaxRequests:  generalAccountLimitDivisor,
		TurnedAway:   func(version.AccountID) int { return 3 },
		OnUnplaced:   func(ticket request.Ticket) { unplaced <- ticket },
		Log:          slog.New(slog.DiscardHandler),
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
		// The body is never sent, so the request stays held.
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 9\r\n\r\n",
			host, platformtest.HeaderRequestID, id, platformtest.HeaderKey, key)
		return conn
	}
	call("held")
	for deadline := time.Now().Add(10 * time.Second); general.HeldRequests() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first request is not held after 10 s")
		}
	}
	second := call("second")
	_ = second.SetReadDeadline(time.Now().Add(10 * unreadBodyTimeout))
	answer, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusTooManyRequests || answer.Header.Get("Retry-After") != "0.02" || !answer.Close {
		t.Errorf("got status %d with header %v, want 429 with Retry-After 0.02 and Connection: close", answer.StatusCode, answer.Header)
	}
	// The request is not placed, and still counts in its account's demand.
	if ticket := <-unplaced; ticket.Account == 0 || ticket.TurnedAway != 3 {
		t.Errorf("the refused request counts for account %d with %d that were turned away, want 3", ticket.Account, ticket.TurnedAway)
	}
	// The body of the second request is never sent either. The connection used to stay open
	// forever.
	if _, err := io.Copy(io.Discard, second); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
}
