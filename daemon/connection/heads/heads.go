// Package heads bounds the memory of the heads of callers' requests. A server bounds each head by
// its text, but many short lines take several times that, and callers may begin as many requests as
// there are connections. What all connections together hold of heads is bounded here.
package heads

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// freeBytes is what each request may hold without a reservation; the memory of a connection
	// includes it.
	freeBytes = 8 << 10
	// lineBytes is the memory of a line beyond its text, which is held twice.
	lineBytes = 128
)

// errExceeded ends a connection whose request may not grow.
var errExceeded = errors.New("heads of requests exceed their memory")

// Limiter is a number of bytes that the heads of all requests in progress share. It is safe for
// concurrent use.
type Limiter struct {
	limit   int64
	reject  func(conn net.Conn, read []byte)
	held    atomic.Int64
	refused atomic.Uint64
}

// New returns a limiter of limit bytes. reject responds to a request that exceeds it, of which a part
// that ends in read has been read, and closes the connection; nil closes it without a response.
func New(limit int64, reject func(conn net.Conn, read []byte)) *Limiter {
	if reject == nil {
		// Nothing of the request was served; an error of closing means nothing.
		reject = func(conn net.Conn, _ []byte) { _ = conn.Close() }
	}
	return &Limiter{limit: limit, reject: reject}
}

// Stats are the figures of a Limiter.
type Stats struct {
	// HeldBytes is what is reserved, and LimitBytes the limit.
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Refused counts the requests whose heads exceeded the limit.
	Refused uint64 `json:"refused"`
}

// Stats returns the figures of the limiter.
func (l *Limiter) Stats() Stats {
	return Stats{HeldBytes: l.held.Load(), LimitBytes: l.limit, Refused: l.refused.Load()}
}

// Listener returns a listener whose connections count against l. Their server must call Track.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if tcp, ok := accepted.(*net.TCPConn); ok && err == nil {
		c := &conn{TCPConn: tcp, limiter: l.limiter}
		c.reading.Store(true)
		return c, nil
	}
	return accepted, err
}

// Track follows the states of connections. It is an http.Server.ConnState hook.
func (l *Limiter) Track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head is complete; the request holds it until its response is written.
		c.reading.Store(false)
	case http.StateIdle:
		c.release()
		c.reading.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// conn is a caller's connection. It has the methods of its TCPConn, which callers' connections are
// inspected by.
type conn struct {
	*net.TCPConn
	limiter *Limiter
	// reading is set while the head of a request is read.
	reading atomic.Bool
	// needed is the memory of the head, and reserved the part of it that is reserved.
	needed, reserved atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.reading.Load() && !c.grow(b[:n]) {
		c.limiter.refused.Add(1)
		c.limiter.reject(c.TCPConn, b[:n])
		// The server writes no response after an error of this kind.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errExceeded}
	}
	return n, err
}

// grow reserves what more of a head takes, and reports whether the limit allows it.
func (c *conn) grow(text []byte) bool {
	needed := c.needed.Add(2*int64(len(text)) + lineBytes*int64(bytes.Count(text, []byte("\n"))))
	more := needed - freeBytes - c.reserved.Load()
	if more <= 0 {
		return true
	}
	if c.limiter.held.Add(more) > c.limiter.limit {
		c.limiter.held.Add(-more)
		return false
	}
	c.reserved.Add(more)
	return true
}

// release gives back what is reserved.
func (c *conn) release() {
	c.needed.Store(0)
	c.limiter.held.Add(-c.reserved.Swap(0))
}
