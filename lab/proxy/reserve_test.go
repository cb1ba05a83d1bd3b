package proxy

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against another process taking the port of a proxy that does not listen for a while: callers
// reached that process, and the proxy could not listen again.
func TestPortIsKeptWhileTheProxyDoesNotListen(t *testing.T) {
	p, err := New("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.StopListening()
	if conn, err := net.Dial("tcp", p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connection %v, error %v, want a refusal", conn, err)
	}
	if other, err := net.Listen("tcp", p.Address()); err == nil {
		other.Close()
		t.Error("another listener took the port")
	}
	if err := p.ResumeListening(); err != nil {
		t.Errorf("cannot listen again: %v", err)
	}
}
