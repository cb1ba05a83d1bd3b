package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// send makes one request with a body through a SendTracker.
func send(ctx context.Context, transport http.RoundTripper, url string) (*SendTracker, *http.Response, error) {
	tracker := &SendTracker{}
	out, err := http.NewRequestWithContext(tracker.Context(ctx), http.MethodPost, url, nil)
	if err != nil {
		return nil, nil, err
	}
	out.Body = NewBody(strings.NewReader("x"))
	out.ContentLength = 1
	response, err := transport.RoundTrip(out)
	return tracker, response, err
}

// TestSealReportsWhetherBytesWereSent guards against taking an attempt as unsent that
// its upstream may have executed, and the other way round. The first attempt is
// refused a connection, the second is cut off after its request arrived.
func TestSealReportsWhetherBytesWereSent(t *testing.T) {
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	tracker, _, err := send(t.Context(), transport, "http://"+closed.Addr().String())
	if err == nil || tracker.Seal() {
		t.Errorf("error %v; an attempt without a connection counts as sent", err)
	}
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	aborting := httptest.NewServer(abort)
	defer aborting.Close()
	tracker, _, err = send(t.Context(), transport, aborting.URL)
	if err == nil || !tracker.Seal() {
		t.Errorf("error %v; an attempt whose request arrived counts as not sent", err)
	}
}

// TestTLSHandshakeDoesNotCountAsSent checks that the writes of a TLS handshake do not
// count as writes of the attempt.
func TestTLSHandshakeDoesNotCountAsSent(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	transport := NewTransport(trusted.Clone())
	defer transport.CloseIdleConnections()
	tracker, response, err := send(t.Context(), transport, server.URL)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if tracker.conn == nil || tracker.writesBefore == 0 || !tracker.Seal() {
		t.Errorf("tracker %+v, want writes of the handshake and of the attempt", tracker)
	}
	tracker, _, err = send(t.Context(), NewTransport(nil), server.URL)
	if err == nil || tracker.Seal() {
		t.Errorf("error %v; an attempt to a server with an untrusted certificate counts as sent", err)
	}
}

func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countedConn{Conn: near}
	if writes := conn.seal(); writes != 0 {
		t.Errorf("seal of an unused connection returned %d writes, want 0", writes)
	}
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Errorf("a sealed connection accepted a write")
	}
}

// TestFailedCheckPreventsSending guards against sending a request for a caller that has
// left. A request waited for its turn in an overloaded process and was sent over half a
// second after that.
func TestFailedCheckPreventsSending(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	errCheckFailed := errors.New("check failed")
	var check error
	for _, step := range []struct {
		method    string
		permitted bool
	}{{http.MethodPost, true}, {http.MethodPost, false}, {http.MethodGet, true}, {http.MethodGet, false}, {http.MethodGet, true}} {
		check = nil
		if !step.permitted {
			check = errCheckFailed
		}
		before := arrived.Load()
		tracker := &SendTracker{BeforeFirstByte: func(Trust) error { return check }}
		out, err := http.NewRequestWithContext(tracker.Context(t.Context()), step.method, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		if step.method == http.MethodPost {
			out.Body = NewBody(strings.NewReader("x"))
			out.ContentLength = 1
		}
		response, err := transport.RoundTrip(out)
		switch {
		case step.permitted && err != nil:
			t.Errorf("%+v: %v", step, err)
		case step.permitted:
			response.Body.Close()
		case !errors.Is(err, errCheckFailed) || arrived.Load() != before:
			t.Errorf("%+v: %v, %d requests arrived", step, err, arrived.Load()-before)
		case step.method == http.MethodPost && tracker.Seal():
			t.Errorf("%+v: counts as sent", step)
		}
	}
}

// TestLongBodyArrivesComplete sends bodies of several copy buffers, since ReadFrom
// copies them through pooled buffers.
func TestLongBodyArrivesComplete(t *testing.T) {
	sent := make([]byte, 5*copyBytes+17)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	got := make(chan []byte, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- body
	}))
	defer server.Close()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	for range 3 {
		out, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, NewBody(bytes.NewReader(sent)))
		if err != nil {
			t.Fatal(err)
		}
		out.ContentLength = int64(len(sent))
		response, err := transport.RoundTrip(out)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if !bytes.Equal(<-got, sent) {
			t.Fatal("the body that arrived differs from the one sent")
		}
	}
}
