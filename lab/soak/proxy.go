package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass.
type mode int

const (
	// pass lets them pass.
	pass mode = iota
	// silent holds them back both ways.
	silent
	// deaf holds back only what comes from the far side.
	deaf
)

// proxy stands before one address and disturbs its connections. It is safe for
// concurrent use.
type proxy struct {
	target string
	// near is its own address.
	near string

	mu       sync.Mutex
	listener net.Listener
	changed  *sync.Cond
	mode     mode
	delay    time.Duration
	conns    map[net.Conn]bool
	closed   bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, near: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.near }

func (p *proxy) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

// join connects a connection with the target and carries bytes until one side ends.
func (p *proxy) join(near net.Conn) {
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
func (p *proxy) carry(to io.Writer, from io.Reader, back bool) {
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
func (p *proxy) await(back bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.mode == silent || p.mode == deaf && back) {
		p.changed.Wait()
	}
	return !p.closed
}

func (p *proxy) keep(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return true
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// set disturbs what passes from now on.
func (p *proxy) set(mode mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	p.changed.Broadcast()
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering the other side sees a reset.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// leave refuses connections until comeBack.
func (p *proxy) leave() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) comeBack() error {
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

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}
