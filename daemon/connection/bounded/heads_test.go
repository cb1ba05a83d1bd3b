package bounded

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// server is a server whose heads are limited.
type server struct {
	*Budget
	address string
}

func startServer(t *testing.T, limit int64) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Budget: New(limit, slog.New(slog.DiscardHandler)), address: inner.Addr().String()}
	port := s.NewPort(PortOptions{Name: "test", MaxConns: 1000, Grace: time.Second, IdleGrace: time.Second})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	http1 := &http.Server{Handler: handler, ConnState: port.Track, MaxHeaderBytes: 32 << 10}
	go func() { _ = http1.Serve(port.Listener(inner)) }()
	t.Cleanup(func() { http1.Close() })
	return s
}

// send opens a connection and sends text on it.
func (s *server) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	// The server may have closed it already.
	_, _ = io.WriteString(conn, text)
	return conn
}

// shortLines is the begin of a request with as many lines as a server reads of one head.
func shortLines() string {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for n := 0; head.Len() < 31<<10; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	return head.String()
}

// Guards against heads, each within its own limit, that together take more memory than the process
// has: 31 KiB of short lines took 490 KiB of each connection. Requests with ordinary heads must be
// served meanwhile, and everything must be given back.
func TestHeadsTogetherAreBounded(t *testing.T) {
	const (
		connections = 200
		limit       = 1 << 20
		// maxGrowth bounds the heap: the limit and its garbage, and 64 KiB a connection with both ends.
		maxGrowth = 4*limit + connections*64<<10
	)
	s := startServer(t, limit)
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	var conns []net.Conn
	for range connections {
		conns = append(conns, s.send(t, shortLines()))
	}
	for deadline := time.Now().Add(5 * time.Second); s.Stats().Refused < connections-10 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if growth := heap() - before; growth > maxGrowth {
		t.Errorf("the heap grew by %d KiB, over %d KiB", growth>>10, maxGrowth>>10)
	}
	if stats := s.Stats(); stats.HeldBytes > limit || stats.Refused == 0 {
		t.Errorf("%+v, want at most %d held and some refused", stats, limit)
	}
	ordinary := s.send(t, "GET / HTTP/1.1\r\nHost: x\r\nX-Key: "+strings.Repeat("k", 500)+"\r\n\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(ordinary), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("an ordinary request got %v, error %v", answer, err)
	}
	for _, conn := range conns {
		conn.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); s.Stats().HeldBytes != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held without connections", s.Stats().HeldBytes)
		}
	}
}

// Guards against counting the body of a request as its head, and against what a connection that is
// kept holds from one request to the next.
func TestBodiesAndEarlierRequestsDoNotCount(t *testing.T) {
	s := startServer(t, 64<<10)
	conn := s.send(t, "")
	reader := bufio.NewReader(conn)
	large := "X-Large: " + strings.Repeat("x", 12<<10) + "\r\n"
	for n := range 20 {
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+large+"Content-Length: 200000\r\n\r\n"+strings.Repeat("b", 200_000)); err != nil {
			t.Fatal(err)
		}
		if answer, err := http.ReadResponse(reader, nil); err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("request %d got %v, error %v", n, answer, err)
		}
	}
}

// Guards against a head that is closed because the process is late: on a busy machine whole heads of
// honest clients were older than headGrace before the process had read or parsed them, and their
// clients got no answer.
func TestAHeadThatWaitsForTheProcessIsNotClosed(t *testing.T) {
	const limit = 4 << 10
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	budget := New(limit, slog.New(slog.DiscardHandler))
	port := budget.NewPort(PortOptions{Name: "test", MaxConns: 10, Grace: time.Second, IdleGrace: time.Second})
	listener := port.Listener(inner)
	accept := func(sent string) *conn {
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		if _, err := io.WriteString(client, sent); err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { accepted.Close() })
		return accepted.(*conn)
	}
	// Each reserves three quarters of the limit once it is read.
	head := strings.Repeat("x", freeBytes/2+limit*3/8)
	read := func(c *conn) error {
		_, err := io.ReadFull(c, make([]byte, len(head)))
		return err
	}
	late := accept(head)
	if err := read(late); err != nil {
		t.Fatal(err)
	}
	time.Sleep(headGrace + 50*time.Millisecond)
	if read(accept(head)) == nil {
		t.Error("a head that the process had not parsed yet was closed for another one")
	}
	go func() { _, _ = late.Read(make([]byte, 1)) }()
	for deadline := time.Now().Add(5 * time.Second); !late.awaitsHead.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if err := read(accept(head)); err != nil {
		t.Errorf("a head got no room beside one whose client sends nothing more: %v", err)
	}
}
