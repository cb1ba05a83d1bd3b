package bounded

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
)

// begunListener reads a part of the first request of each connection that it accepts.
type begunListener struct {
	net.Listener
	random *rand.Rand
	// requestBytes is the size of the next request.
	requestBytes chan int
}

// Accept implements net.Listener.
func (l *begunListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	read := make([]byte, l.random.IntN(<-l.requestBytes+1))
	if _, err := io.ReadFull(conn, read); err != nil {
		return nil, err
	}
	return NewBegunConn(conn.(*net.TCPConn), read), nil
}

// Guards against requests that lose what was read of them before their server got the connection, or that are closed
// for it.
func TestRequestsThatWereBegunAreWhole(t *testing.T) {
	budget := New(64<<10, slog.New(slog.DiscardHandler))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	random, sizes := rand.New(rand.NewPCG(56, 2)), make(chan int, 1)
	port := budget.NewPort(PortOptions{Name: "callers", MaxConns: 4, Grace: CallerGrace, IdleGrace: CallerIdleGrace})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	server.ConnState = port.Track
	go func() { _ = server.Serve(port.Listener(&begunListener{inner, random, sizes})) }()
	t.Cleanup(func() { server.Close() })
	for i := range 200 {
		text := bytes.Repeat([]byte{byte('a' + i%26)}, random.IntN(3000))
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			strings.Repeat("l", random.IntN(2000)), len(text), text)
		sizes <- len(request)
		conn := dial(t, inner.Addr().String(), request)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(answer.Body)
		conn.Close()
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("request %d of %d bytes was answered with %q, %v", i, len(request), got, err)
		}
	}
}

// Guards against a head that may not grow, of which a part was read before its server got the connection: what rejects it
// waited for bytes that had been read.
func TestBegunHeadsAreRejectedWithAllThatWasRead(t *testing.T) {
	// Every line is another one, so that the part that was read tells where it ends.
	request := "GET / HTTP/1.1\r\nHost: h\r\n"
	for i := range 1500 {
		request += fmt.Sprintf("X-%d: y\r\n", i)
	}
	for seed := range uint64(20) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		begun := &begunListener{inner, rand.New(rand.NewPCG(seed, 3)), make(chan int, 1)}
		rejected := make(chan string, 1)
		port := New(4<<10, slog.New(slog.DiscardHandler)).NewPort(PortOptions{
			Name: "callers", MaxConns: 4, Grace: CallerGrace, IdleGrace: CallerIdleGrace,
			Reject: func(conn *net.TCPConn, read []byte) {
				rejected <- string(read)
				conn.Close()
			},
		})
		server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.ConnState = port.Track
		go func() { _ = server.Serve(port.Listener(begun)) }()
		t.Cleanup(func() { server.Close() })
		begun.requestBytes <- len(request)
		dial(t, inner.Addr().String(), request)
		read := <-rejected
		want := rand.New(rand.NewPCG(seed, 3)).IntN(len(request) + 1)
		if end := strings.Index(request, read) + len(read); end < want {
			t.Errorf("seed %d: rejected with what ends at byte %d, but %d were read before", seed, end, want)
		}
	}
}
