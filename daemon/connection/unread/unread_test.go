package unread

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// kernelBytes is more than the kernel buffers of a connection of these tests.
const kernelBytes = 1 << 20

// serveUnread serves a handler on connections with buffers of a limiter. It returns the host:port.
func serveUnread(t *testing.T, limiter *Limiter, handler http.HandlerFunc) (string, *http.Server) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: ConnContext}
	go func() { _ = server.Serve(limiter.Listener(smallBuffers{inner})) }()
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String(), server
}

// smallBuffers is a listener whose connections have small kernel buffers.
type smallBuffers struct{ net.Listener }

func (s smallBuffers) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err == nil {
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	}
	return conn, err
}

// get sends a request on a connection of its own and reads nothing.
func get(t *testing.T, address, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	return conn
}

// readWhole reads an answer and reports whether it looks complete.
func readWhole(conn net.Conn) ([]byte, bool) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(answer.Body)
	return body, err == nil
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// Guards against a caller whose pace reaches the upstream: a handler ends while its caller reads nothing,
// and the caller still gets every byte in order, also after the server was shut down.
func TestWritesDoNotWaitForTheCaller(t *testing.T) {
	limiter := New(Options{MaxBytes: 64 << 20, Log: slog.New(slog.DiscardHandler)})
	var want []byte
	for i := range 2 * kernelBytes {
		want = append(want, byte(i>>10), byte(i))
	}
	ended := make(chan struct{})
	address, server := serveUnread(t, limiter, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for block := range slices.Chunk(want, 10_000) {
			if _, err := w.Write(block); err != nil {
				t.Errorf("write: %v", err)
				return
			}
		}
	})
	conn := get(t, address, "/")
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler waits for its caller")
	}
	if stats := limiter.Stats(); stats.Answers != 1 || stats.HeldBytes < kernelBytes {
		t.Errorf("stats %+v, want an answer that waits", stats)
	}
	stopped := make(chan error, 1)
	go func() {
		err := server.Shutdown(context.WithoutCancel(t.Context()))
		if err == nil {
			err = limiter.Drain(context.WithoutCancel(t.Context()))
		}
		stopped <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if got, whole := readWhole(conn); !whole || !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, whole: %v, want %d", len(got), whole, len(want))
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if stats := limiter.Stats(); stats.Answers != 0 || stats.HeldBytes != 0 {
		t.Errorf("stats %+v, want nothing held", stats)
	}
}

// Guards against a crowd that does not read and takes all memory, and against an answer that is given up
// and looks complete. A caller who reads is served meanwhile.
func TestAnswersThatAreNotReadStayBoundedAndBreak(t *testing.T) {
	const maxBytes, crowd = 2 << 20, 30
	limiter := New(Options{MaxBytes: maxBytes, Log: slog.New(slog.DiscardHandler)})
	block := []byte(strings.Repeat("x", 8<<10))
	address, _ := serveUnread(t, limiter, func(w http.ResponseWriter, r *http.Request) {
		for range 2 * kernelBytes / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	var conns []net.Conn
	for range crowd {
		conns = append(conns, get(t, address, "/"))
	}
	eventually(t, "answers are given up", func() bool {
		stats := limiter.Stats()
		if stats.HeldBytes > maxBytes {
			t.Fatalf("%d bytes are held, over the limit of %d", stats.HeldBytes, maxBytes)
		}
		return stats.GivenUp["answer"]+stats.GivenUp["account"]+stats.GivenUp["process"] >= crowd-4
	})
	if body, whole := readWhole(get(t, address, "/")); !whole || len(body) != 2*kernelBytes {
		t.Errorf("a caller who reads got %d bytes, whole: %v", len(body), whole)
	}
	complete := 0
	for _, conn := range conns {
		if body, whole := readWhole(conn); whole && len(body) != 2*kernelBytes {
			t.Errorf("an answer of %d bytes looks complete", len(body))
		} else if whole {
			complete++
		}
	}
	if complete > 4 {
		t.Errorf("%d answers were not given up, want at most 4", complete)
	}
	eventually(t, "nothing is held", func() bool { return limiter.Stats().HeldBytes == 0 })
}

// Guards against a caller who sends request after request and reads no answer: a request is read only once
// the answer before it was, and a caller who reads nothing for the time-out is cut.
func TestRequestsWaitForTheAnswerBeforeThem(t *testing.T) {
	limiter := New(Options{MaxBytes: 64 << 20, ReadTimeout: 300 * time.Millisecond, Log: slog.New(slog.DiscardHandler)})
	served := make(chan string, 10)
	address, _ := serveUnread(t, limiter, func(w http.ResponseWriter, r *http.Request) {
		served <- r.URL.Path
		_, _ = w.Write(make([]byte, 2*kernelBytes))
	})
	conn := get(t, address, "/1")
	if path := <-served; path != "/1" {
		t.Fatal(path)
	}
	eventually(t, "the answer waits", func() bool { return limiter.Stats().Answers == 1 })
	_, _ = io.WriteString(conn, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	eventually(t, "the caller is cut", func() bool { return limiter.Stats().TimedOut == 1 })
	select {
	case path := <-served:
		t.Errorf("request %s was served before the answer to the first was read", path)
	default:
	}
	if _, whole := readWhole(conn); whole {
		t.Error("the answer that was cut looks complete")
	}
}

// Guards against further costs for callers who keep up: no allocation, and no goroutine.
func TestWriteToACallerWhoReadsAllocatesNothing(t *testing.T) {
	limiter := New(Options{MaxBytes: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	go func() {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.Copy(io.Discard, conn)
	}()
	conn, err := limiter.Listener(inner).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	event := []byte(strings.Repeat("e", 100))
	allocated := testing.AllocsPerRun(100, func() {
		if _, err := conn.Write(event); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Microsecond)
	})
	if allocated >= 1 || limiter.Stats().Answers != 0 {
		t.Errorf("a write allocates %v objects, %d answers wait; want none", allocated, limiter.Stats().Answers)
	}
}
