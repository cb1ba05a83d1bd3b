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

func send(ctx context.Context, transport http.RoundTripper, url string) (*Probe, *http.Response, error) {
	probe := &Probe{}
	out, err := http.NewRequestWithContext(probe.Context(ctx), http.MethodPost, url, nil)
	if err != nil {
		return nil, nil, err
	}
	out.Body = NewBody(strings.NewReader("x"))
	out.ContentLength = 1
	response, err := transport.RoundTrip(out)
	return probe, response, err
}

func TestAProbeTellsWhetherAByteWasSent(t *testing.T) {
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	probe, _, err := send(t.Context(), transport, "http://"+closed.Addr().String())
	if err == nil || probe.Seal() {
		t.Errorf("error %v; a call that was not connected was sent", err)
	}
	vanish := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	vanishing := httptest.NewServer(vanish)
	defer vanishing.Close()
	probe, _, err = send(t.Context(), transport, vanishing.URL)
	if err == nil || !probe.Seal() {
		t.Errorf("error %v; a call without an answer was not sent", err)
	}
}

// TestAProbeSeesThroughTLS checks that the writes of a handshake are not taken
// for the attempt's.
func TestAProbeSeesThroughTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	transport := NewTransport(trusted.Clone())
	defer transport.CloseIdleConnections()
	probe, response, err := send(t.Context(), transport, server.URL)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if probe.conn == nil || probe.before == 0 || !probe.Seal() {
		t.Errorf("the probe saw %+v, want writes before and after the handshake", probe)
	}
	probe, _, err = send(t.Context(), NewTransport(nil), server.URL)
	if err == nil || probe.Seal() {
		t.Errorf("error %v; a call was sent to a server that is not trusted", err)
	}
}

func TestASealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countedConn{Conn: near}
	if writes := conn.seal(); writes != 0 {
		t.Errorf("%d writes before the first, want 0", writes)
	}
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Errorf("a sealed connection took a write")
	}
}

// A request waited for its turn in a busy process and was sent over half a second
// after its caller had left.
func TestAnAttemptThatIsNotWantedIsNotSent(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	errNotWanted := errors.New("not wanted")
	var check error
	for _, step := range []struct {
		method string
		wanted bool
	}{{http.MethodPost, true}, {http.MethodPost, false}, {http.MethodGet, true}, {http.MethodGet, false}, {http.MethodGet, true}} {
		check = nil
		if !step.wanted {
			check = errNotWanted
		}
		before := arrived.Load()
		probe := &Probe{Check: func() error { return check }}
		out, err := http.NewRequestWithContext(probe.Context(t.Context()), step.method, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		if step.method == http.MethodPost {
			out.Body = NewBody(strings.NewReader("x"))
			out.ContentLength = 1
		}
		response, err := transport.RoundTrip(out)
		switch {
		case step.wanted && err != nil:
			t.Errorf("%+v: %v", step, err)
		case step.wanted:
			response.Body.Close()
		case !errors.Is(err, errNotWanted) || arrived.Load() != before:
			t.Errorf("%+v: %v, %d arrived", step, err, arrived.Load()-before)
		case step.method == http.MethodPost && probe.Seal():
			t.Errorf("%+v: taken as sent", step)
		}
	}
}

func TestALongBodyArrivesWhole(t *testing.T) {
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
			t.Fatal("another body arrived")
		}
	}
}
