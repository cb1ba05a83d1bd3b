package turnaway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const body = `{"error":{"type":"queue-full","execution":"not-run"}}`

// start returns a rejecter and the address of a listener whose connections it rejects.
func start(t *testing.T, options Options) (*Rejecter, string) {
	t.Helper()
	options.Body = []byte(body)
	rejecter := New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() { _ = rejecter.Run(t.Context()) }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if fd, err := Detach(conn); err == nil {
				rejecter.Reject(fd)
			}
		}
	}()
	return rejecter, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// readRejection reads the response to its end and returns an error unless it is the complete
// 503 response.
func readRejection(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close || string(content) != body {
		return fmt.Errorf("got status %d, header %v, body %q", response.StatusCode, response.Header, content)
	}
	return nil
}

// head returns the head of a request with a body of length bytes.
func head(length int) string {
	return fmt.Sprintf("POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against connections that are reset before the caller has read the response, which
// happens when a request's body is unread at close. Many callers send bodies at once.
func TestRejectsEveryConnectionOfAFlood(t *testing.T) {
	rejecter, address := start(t, Options{RetryAfter: []time.Duration{20 * time.Millisecond, 40 * time.Millisecond}})
	const callers = 300
	var calls sync.WaitGroup
	for i := range callers {
		conn := dial(t, address)
		calls.Go(func() {
			length := i * 400
			if _, err := io.WriteString(conn, head(length)+strings.Repeat("x", length)); err != nil {
				t.Errorf("request with a body of %d bytes: %v", length, err)
			}
			if err := readRejection(conn); err != nil {
				t.Errorf("request with a body of %d bytes: %v", length, err)
			}
		})
	}
	calls.Wait()
	if counts := rejecter.Counts(); counts != (Counts{Answered: callers}) {
		t.Errorf("got counts %+v, want every connection answered", counts)
	}
}

// Guards against a response before the request's head is complete, and against a missing
// response when the head arrives in several reads.
func TestRespondsOnceTheHeadIsComplete(t *testing.T) {
	_, address := start(t, Options{})
	conn := dial(t, address)
	request := head(3)
	for _, piece := range []string{request[:10], request[10 : len(request)-2], request[len(request)-2 : len(request)-1]} {
		if _, err := io.WriteString(conn, piece); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * pollInterval)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * pollInterval))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		t.Error("got a response before the head was complete")
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, request[len(request)-1:]+"abc"); err != nil {
		t.Fatal(err)
	}
	if err := readRejection(conn); err != nil {
		t.Error(err)
	}
}

// Guards against file descriptors that stay in use by connections on which no request
// arrives.
func TestClosesConnectionsWithoutRequest(t *testing.T) {
	rejecter, address := start(t, Options{MaxWaiting: 5})
	for range 10 {
		conn := dial(t, address)
		defer func() {
			if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Errorf("read returned %d bytes and error %v, want 0 bytes and an error", n, err)
			}
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); rejecter.Counts().Closed < 10; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("after 10 s the counts are %+v, want 10 closed", rejecter.Counts())
		}
	}
}

// Checks that a head split between two reads is parsed without a panic, and that at most the
// last three bytes of it are kept between reads.
func FuzzHead(f *testing.F) {
	f.Add([]byte(head(3)+"abc"), 5)
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"), 60)
	f.Add([]byte("\r\n\r\n"), 1)
	f.Add([]byte("a\r\ncontent-length: 99999999999999999999\r\n\r\n"), 0)
	f.Fuzz(func(t *testing.T, request []byte, split int) {
		split = min(max(split, 0), len(request))
		var c waitingConn
		for _, piece := range [][]byte{request[:split], request[split:]} {
			if len(piece) == 0 {
				continue
			}
			c.addRequestBytes(piece)
			if c.headTail == nil {
				break
			}
			if len(c.headTail) >= len(headEnd) {
				t.Errorf("%d bytes of an incomplete head are kept", len(c.headTail))
			}
		}
	})
}

// Guards against connections of which a part was read, a head or less, a body or a part of it, and that get no
// response or are reset.
func TestRejectsConnectionsOfWhichAPartWasRead(t *testing.T) {
	const callers = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	rejecter := New(Options{Body: []byte(body)})
	go func() { _ = rejecter.Run(t.Context()) }()
	random := rand.New(rand.NewPCG(56, 1))
	for i := range callers {
		length := random.IntN(3000)
		request := head(length) + strings.Repeat("x", length)
		sent := dial(t, listener.Addr().String())
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(sent, request); err != nil {
			t.Fatal(err)
		}
		read := make([]byte, random.IntN(len(request)+1))
		if _, err := io.ReadFull(conn, read); err != nil {
			t.Fatal(err)
		}
		fd, err := Detach(conn)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		rejecter.RejectRead(fd, read)
		if err := readRejection(sent); err != nil {
			t.Errorf("caller %d, request of %d bytes, of which %d were read: %v", i, len(request), len(read), err)
		}
		if took := time.Since(began); took > requestTimeout {
			t.Errorf("caller %d, request of %d bytes, of which %d were read: closed after %v", i, len(request), len(read), took)
		}
	}
	if counts := rejecter.Counts(); counts != (Counts{Answered: callers}) {
		t.Errorf("got counts %+v, want every connection answered", counts)
	}
}

// Guards against a process that is flooded with connections and takes memory for each that it turns away: a copy of what
// was read, 4 KiB and more.
func TestTurningConnectionsAwayTakesNoCopies(t *testing.T) {
	request := []byte(head(4000) + strings.Repeat("x", 4000))
	if allocated := testing.AllocsPerRun(100, func() {
		var c waitingConn
		c.addRequestBytes(request)
		if c.headTail != nil || c.unreadBytes != 0 {
			t.Fatalf("%d bytes remain to be read", c.unreadBytes)
		}
	}); allocated > 0 {
		t.Errorf("%.0f allocations for a request that came at once, want none", allocated)
	}
}
