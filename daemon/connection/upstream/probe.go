package upstream

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned for a write after the connection was sealed.
var errSealed = errors.New("connection is sealed")

// countedConn counts the writes that were begun and can be sealed against any
// further one.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
	// check is asked before the next write; nil asks nobody.
	check func() error
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// copyBuffers holds the buffers of ReadFrom, as []byte of copyBytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBytes is the size of such a buffer, that of io.Copy.
const copyBytes = 32 << 10

// ReadFrom implements io.ReaderFrom, so that a body is not copied through a
// buffer of its own.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	// Without its type, the connection has no ReadFrom that would be called again.
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

func (c *countedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			c.sealed = true
			return err
		}
	}
	c.check = nil
	c.writes++
	return nil
}

// ask makes the next write ask whether it may still be sent.
func (c *countedConn) ask(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
}

func (c *countedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and returns the number of writes ever begun.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	// A connection that is closed already is closed for good.
	_ = c.Close()
	return writes
}

// Probe tells whether an attempt that failed may have reached its upstream.
// One Probe serves one attempt.
type Probe struct {
	// Check is asked when the first byte of the attempt is about to be sent, which
	// in a busy process is long after its connection was asked for. If it returns an
	// error, nothing is sent and the attempt ends with it; nil sends it always.
	Check func() error

	mu     sync.Mutex
	got    bool
	conn   *countedConn
	before uint64
}

// Context returns a context for the attempt's request.
func (p *Probe) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { p.gotConn(info.Conn) },
	})
}

func (p *Probe) gotConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := counted(conn)
	if own != nil {
		own.ask(p.Check)
	}
	if p.got {
		// A second connection for one attempt: take it as sent.
		p.conn = nil
		return
	}
	p.got = true
	p.conn = own
	if own != nil {
		p.before = own.begun()
	}
}

// Seal ends the attempt's connection and reports whether a byte of the attempt
// may have been sent. After a false, none is sent ever. It is for attempts
// that ended without an answer.
func (p *Probe) Seal() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.got {
		return false
	}
	if p.conn == nil {
		return true
	}
	return p.conn.seal() != p.before
}

// counted finds the countedConn below TLS, or returns nil.
func counted(conn net.Conn) *countedConn {
	for {
		switch c := conn.(type) {
		case *countedConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// Body is the body of an attempt's request. The transport cannot send it a
// second time, whatever the method and the headers: it takes a request for
// replayable only if its body is nil, http.NoBody or can be had again.
type Body struct{ reader io.Reader }

// NewBody returns a body that reads from reader once.
func NewBody(reader io.Reader) *Body { return &Body{reader: reader} }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *Body) Close() error { return nil }
