// Package proxy stands before an address on loopback and disturbs the connections to it.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes that pass.
type Mode int

const (
	// Pass lets them pass.
	Pass Mode = iota
	// Silent holds them back both ways.
	Silent
	// Deaf holds back only what comes from the far side.
	Deaf
	// Cut closes connections, those that come too.
	Cut
)

// Proxy stands before one address. It is safe for concurrent use.
type Proxy struct {
	target string
	// near is its own address.
	near string

	mu       sync.Mutex
	listener net.Listener
	changed  *sync.Cond
	mode     Mode
	delay    time.Duration
	conns    map[net.Conn]bool
	closed   bool
}

// New returns a proxy before target, a host:port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewOn(listener, target), nil
}

// NewOn returns a proxy that takes the connections of a listener, which is its own then.
func NewOn(listener net.Listener, target string) *Proxy {
	p := &Proxy{listener: listener, near: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	return p
}

// Address is where the proxy takes connections.
func (p *Proxy) Address() string { return p.near }

func (p *Proxy) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

// join connects a connection with the target and carries bytes until one side ends.
func (p *Proxy) join(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !p.keep(near, far) {
		return
	}
	defer p.drop(near, far)
	go func() {
		p.carry(far, near, false)
		far.Close()
	}()
	p.carry(near, far, true)
}

// carry copies bytes. back is set for those that come from the far side.
func (p *Proxy) carry(to io.Writer, from io.Reader, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.await(back) {
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

// await waits until bytes may pass. It reports false once the proxy is closed.
func (p *Proxy) await(back bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.mode == Silent || p.mode == Deaf && back) {
		p.changed.Wait()
	}
	return !p.closed
}

func (p *Proxy) keep(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Cut {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return true
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// Set disturbs what passes from now on; delay is added to each piece of it.
func (p *Proxy) Set(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	p.changed.Broadcast()
	if mode == Cut {
		p.breakAll()
	}
}

// Reset breaks all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
}

func (p *Proxy) breakAll() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering the other side sees a reset.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// Leave refuses connections until ComeBack.
func (p *Proxy) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	p.breakAll()
}

// ComeBack takes connections again at the same address, which another process may have
// taken.
func (p *Proxy) ComeBack() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.near)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Close ends the proxy with all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	p.listener.Close()
	p.breakAll()
}
