package turnaway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const body = `{"error":{"type":"queue-full","execution":"not-run"}}`

// start returns a desk that takes all connections to an address.
func start(t *testing.T, options Options) (*Desk, string) {
	t.Helper()
	options.Body = []byte(body)
	d := New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() { _ = d.Run(t.Context()) }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if fd, err := Detach(conn); err == nil {
				d.Take(fd)
			}
		}
	}()
	return d, listener.Addr().String()
}

func call(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// refused reads an answer to its end, which must be a whole refusal.
func refused(conn net.Conn) error {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close || string(text) != body {
		return fmt.Errorf("got %d %v %q", answer.StatusCode, answer.Header, text)
	}
	return nil
}

func head(length int) string {
	return fmt.Sprintf("POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// Load: a flood of callers with bodies, on connections that the process cannot serve.
// Guards against callers that are reset without an answer.
func TestEveryCallerOfAFloodIsRefused(t *testing.T) {
	d, address := start(t, Options{RetryAfter: []time.Duration{20 * time.Millisecond, 40 * time.Millisecond}})
	const callers = 300
	var all sync.WaitGroup
	for i := range callers {
		conn := call(t, address)
		all.Go(func() {
			length := i * 400
			if _, err := io.WriteString(conn, head(length)+strings.Repeat("x", length)); err != nil {
				t.Errorf("body of %d bytes: %v", length, err)
			}
			if err := refused(conn); err != nil {
				t.Errorf("body of %d bytes: %v", length, err)
			}
		})
	}
	all.Wait()
	if counts := d.Counts(); counts != (Counts{Answered: callers}) {
		t.Errorf("%+v", counts)
	}
}

// Guards against an answer before the request, and against callers whose head comes in
// pieces.
func TestACallerIsRefusedOnceItsHeadHasCome(t *testing.T) {
	_, address := start(t, Options{})
	conn := call(t, address)
	text := head(3)
	for _, piece := range []string{text[:10], text[10 : len(text)-2], text[len(text)-2 : len(text)-1]} {
		if _, err := io.WriteString(conn, piece); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * lookInterval)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * lookInterval))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		t.Error("answered before the head had ended")
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text[len(text)-1:]+"abc"); err != nil {
		t.Fatal(err)
	}
	if err := refused(conn); err != nil {
		t.Error(err)
	}
}

// Guards against connections without a request that keep descriptors.
func TestIdleConnectionsEnd(t *testing.T) {
	d, address := start(t, Options{MaxWaiting: 5})
	for range 10 {
		conn := call(t, address)
		defer func() {
			if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Errorf("read %d bytes, %v", n, err)
			}
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); d.Counts().Closed < 10; time.Sleep(lookInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", d.Counts())
		}
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte(head(3)+"abc"), 5)
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"), 60)
	f.Add([]byte("\r\n\r\n"), 1)
	f.Add([]byte("a\r\ncontent-length: 99999999999999999999\r\n\r\n"), 0)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		cut = min(max(cut, 0), len(text))
		var v visitor
		for _, piece := range [][]byte{text[:cut], text[cut:]} {
			if len(piece) == 0 {
				continue
			}
			v.take(piece)
			if v.tail == nil {
				break
			}
			if len(v.tail) >= len(headEnd) {
				t.Errorf("%d bytes of a head are kept", len(v.tail))
			}
		}
	})
}
