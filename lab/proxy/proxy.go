// Package proxy is a TCP proxy on loopback that injects network faults into the
// connections to its target.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is the fault that a proxy injects.
type Mode int

const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// HoldAll holds back the bytes of both directions.
	HoldAll
	// HoldResponses holds back only the bytes that the target sends.
	HoldResponses
	// Disconnect resets all connections and closes new ones at once.
	Disconnect
)

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	// target is the host:port that connections are forwarded to.
	target string
	// address is the proxy's own host:port.
	address string

	mu       sync.Mutex
	listener net.Listener
	// reserved keeps the port while the proxy does not listen.
	reserved reservation
	// changed is signalled when mode or closed changes.
	changed *sync.Cond
	mode    Mode
	// delay is the latency added to each piece that is forwarded.
	delay time.Duration
	// conns holds the open connections of both sides.
	conns  map[net.Conn]bool
	closed bool
}

// New returns a proxy that listens on a free loopback port and forwards to target, a
// host:port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewOn(listener, target), nil
}

// NewOn returns a proxy that accepts the connections of a listener and forwards them to
// target. The proxy closes the listener.
func NewOn(listener net.Listener, target string) *Proxy {
	p := &Proxy{listener: listener, address: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	return p
}

// Address returns the host:port at which the proxy accepts connections.
func (p *Proxy) Address() string { return p.address }

func (p *Proxy) accept(listener net.Listener) {
	for {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(clientConn)
	}
}

// forward connects an accepted connection with the target and forwards bytes until one
// side closes.
func (p *Proxy) forward(clientConn net.Conn) {
	defer clientConn.Close()
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer targetConn.Close()
	if !p.register(clientConn, targetConn) {
		return
	}
	defer p.unregister(clientConn, targetConn)
	go func() {
		p.copyBytes(targetConn, clientConn, false)
		targetConn.Close()
	}()
	p.copyBytes(clientConn, targetConn, true)
}

// copyBytes copies bytes until an error or the end. fromTarget is set for the bytes that
// the target sends.
func (p *Proxy) copyBytes(to io.Writer, from io.Reader, fromTarget bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitPass(fromTarget) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitPass waits for the delay and then until the mode lets the bytes of a direction
// pass. It reports false once the proxy is closed.
func (p *Proxy) awaitPass(fromTarget bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.mode == HoldAll || p.mode == HoldResponses && fromTarget) {
		p.changed.Wait()
	}
	return !p.closed
}

// register records open connections. It reports false if the proxy closes them instead.
func (p *Proxy) register(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Disconnect {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return true
}

// unregister removes connections that are closed.
func (p *Proxy) unregister(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// Set sets the fault to inject from now on. delay is the latency added to each piece
// that is forwarded.
func (p *Proxy) Set(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	p.changed.Broadcast()
	if mode == Disconnect {
		p.resetAll()
	}
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll requires p.mu.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, closing sends a TCP reset.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// StopListening resets all open connections and refuses new ones until ResumeListening.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	p.resetAll()
	if !p.closed {
		p.reserved.take(p.address)
	}
}

// errClosed is returned for a proxy that was closed.
var errClosed = errors.New("proxy is closed")

// ResumeListening listens again at the same address. It returns an error if another
// process has taken the port, or the proxy was closed.
func (p *Proxy) ResumeListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	p.reserved.release()
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	p.listener.Close()
	p.reserved.release()
	p.resetAll()
}
