package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
	vanishing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer vanishing.Close()
	probe, _, err = send(t.Context(), transport, vanishing.URL)
	if err == nil || !probe.Seal() {
		t.Errorf("error %v; a call without an answer was not sent", err)
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
