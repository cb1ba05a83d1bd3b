package bounded

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const testGrace = 100 * time.Millisecond

// quiet discards log lines.
var quiet = slog.New(slog.DiscardHandler)

// startPort starts a server behind a port of at most maxConns connections, and returns its address.
func startPort(t *testing.T, maxConns int, log *slog.Logger, handler http.Handler) (*Budget, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := New(1<<20, log)
	port := b.NewPort(PortOptions{Name: "test", MaxConns: maxConns, Grace: testGrace, IdleGrace: testGrace})
	server := NewServer(handler)
	server.ConnState = port.Track
	go func() { _ = server.Serve(port.Listener(inner)) }()
	t.Cleanup(func() { server.Close() })
	return b, inner.Addr().String()
}

// dial opens a connection and sends text on it.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// The server may have closed it already.
	_, _ = io.WriteString(conn, text)
	return conn
}

const simpleRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against a port that refuses the client that came last while others hold its connections and
// move nothing: before their head, in it, in their body, or without reading responses. A request that
// waits for its response is not closed for that.
func TestAConnectionThatDoesNotMoveGivesWay(t *testing.T) {
	const maxConns = 6
	released := make(chan struct{})
	lines := &lockedBuffer{}
	b, address := startPort(t, maxConns, slog.New(slog.NewTextHandler(lines, nil)), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			<-released
		case "/large":
			_, _ = io.Copy(w, io.LimitReader(endless{}, 1<<30))
		case "/body":
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}))
	served := dial(t, address, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	still := map[string]string{
		"silent": "", "in its head": "GET / HTTP/1.1\r\nHost: x\r\n",
		"in its body":            "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nb",
		"unread response":        "GET /large HTTP/1.1\r\nHost: x\r\n\r\n",
		"idle after its request": simpleRequest,
	}
	for _, text := range still {
		dial(t, address, text)
	}
	for n := range len(still) {
		conn := dial(t, address, simpleRequest)
		if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("client %d that came last got %v, error %v", n, answer, err)
		}
		if open := b.PortStats()["test"].Open; open > maxConns {
			t.Errorf("%d connections are open, want at most %d", open, maxConns)
		}
		time.Sleep(testGrace)
	}
	if stats := b.PortStats()["test"]; stats.Closed[boundConnections] < uint64(len(still)) {
		t.Errorf("%+v, want %d closed for their number", stats, len(still))
	}
	if text := lines.String(); strings.Count(text, "bound=connections") != 1 || !strings.Contains(text, "listener=test") {
		t.Errorf("the log has %q, want one line on the port and its bound", text)
	}
	close(released)
	if answer, err := http.ReadResponse(bufio.NewReader(served), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("the request that was served meanwhile got %v, error %v", answer, err)
	}
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// endless reads as bytes without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a crowd of heads that takes all memory for heads: the one that came last is served,
// and heads that grow by a byte at a time are not kept for that.
func TestAnUnfinishedHeadGivesWayToAnother(t *testing.T) {
	b, address := startPort(t, 1000, quiet, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	large := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 3000)
	// Heads that grow at the same time may all be refused, and leave memory for the next one.
	need := int64(2*len(large) + lineBytes*strings.Count(large, "\n") - freeBytes)
	for deadline := time.Now().Add(10 * time.Second); b.held.Load()+need <= b.limit; {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes are held", b.held.Load(), b.limit)
		}
		full := b.held.Load() + need
		dial(t, address, large)
		for until := time.Now().Add(headGrace / 2); b.held.Load() < full && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(2 * headGrace)
	conn := dial(t, address, large+"\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("a head within the limits got %v, error %v", answer, err)
	}
	if stats := b.PortStats()["test"]; stats.Closed[boundHeads] == 0 {
		t.Errorf("%+v, want some closed for their heads", stats)
	}
}

// linked counts the links of a peer manager.
type linked struct{ up atomic.Int64 }

func (l *linked) LinkUp(wire.Hello)                  { l.up.Add(1) }
func (l *linked) Receive(wire.Hello, []wire.Message) {}
func (l *linked) LinkDown(wire.Hello)                { l.up.Add(-1) }

// Guards against a bound on connections that keeps the peers of a large fleet from linking when all of
// them start at once. The port has the connections of the smallest VM.
func TestAllPeersOfALargeFleetLinkAtOnce(t *testing.T) {
	const peers, maxConns = 300, 40
	manager := func(vm string, handler peer.Handler) *peer.Manager {
		return peer.New(peer.Options{
			Secret: "secret", Scheme: "ws", Handler: handler, Log: quiet,
			Hello: func() wire.Hello { return wire.Hello{VM: version.VMID(vm), DataCentre: "north", Incarnation: 1} },
		})
	}
	hub := &linked{}
	_, address := startPort(t, maxConns, quiet, manager("vm-z", hub))
	for i := range peers {
		manager(fmt.Sprintf("vm-%03d", i), &linked{}).Connect(t.Context(), "vm-z", address)
	}
	for deadline := time.Now().Add(20 * time.Second); hub.up.Load() < peers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d peers are linked", hub.up.Load(), peers)
		}
	}
}
