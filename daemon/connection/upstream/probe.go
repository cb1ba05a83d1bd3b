package upstream

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// errSealed is returned for a write to a sealed connection.
	errSealed = errors.New("connection is sealed")
	// ErrUploadStalled is returned for a request that its upstream does not read.
	ErrUploadStalled = errors.New("upstream does not read the request")
)

const (
	// uploadTimeout is how long an upstream may take to accept one write of a request, at most
	// copyBytes long. An upstream that reads at all accepts a write within milliseconds; one on a
	// slow machine pauses for less than a second.
	uploadTimeout = 15 * time.Second
	// uploadFreeBytes is how much of a request is written without a time limit. The kernel's buffers
	// of both ends take more than that on an idle connection, so that such a write does not wait.
	uploadFreeBytes = 32 << 10
)

// countedConn counts the writes that were started, and can be sealed, after
// which every write fails.
type countedConn struct {
	net.Conn
	// openedAt is when the opening of the connection began.
	openedAt time.Time
	// uploadTimeout bounds one write of a long request.
	uploadTimeout time.Duration

	mu     sync.Mutex
	writes uint64
	// written counts the bytes of the present request. limited is set while a write deadline is set.
	written int64
	limited bool
	// failed is the error with which this package ended a write: that of beforeWrite, or
	// ErrUploadStalled.
	failed error
	// unreceived is how much of what was written the other end's kernel had not confirmed when it
	// ended the connection.
	unreceived int
	sealed     bool
	// beforeWrite is called once, before the next write, which fails with its
	// error; nil permits the write.
	beforeWrite func() error
	// onRead is called with what has been read, which is dropped if it returns an error; nil
	// accepts everything.
	onRead func(text []byte) error

	// life is set before the connection is used; nil if no Lives follows it.
	life *life
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.life.closed(false)
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	limited, err := c.startWrite(len(b))
	if err != nil {
		return 0, err
	}
	if limited {
		// A closed connection fails at the write.
		_ = c.SetWriteDeadline(time.Now().Add(c.uploadTimeout))
	}
	n, err := c.Conn.Write(b)
	if limited && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Mark(errors.Wrapf(err, "no write of %d bytes was accepted in %v", len(b), c.uploadTimeout), ErrUploadStalled)
		c.setFailed(err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		c.life.received()
	case err != nil && !errors.IsAny(err, net.ErrClosed, os.ErrDeadlineExceeded):
		c.life.closed(true)
		c.noteUnreceived()
	}
	c.mu.Lock()
	onRead := c.onRead
	c.mu.Unlock()
	if n > 0 && onRead != nil {
		if err := onRead(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// setOnRead sets the check of what is read; nil removes it.
func (c *countedConn) setOnRead(check func(text []byte) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRead = check
}

// copyBuffers holds the buffers of ReadFrom, each a *[copyBytes]byte.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBytes is the size of a buffer in copyBuffers; io.Copy uses the same size.
const copyBytes = 32 << 10

// ReadFrom implements io.ReaderFrom, so that a body is copied through a pooled
// buffer and not through one that is allocated for it.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	// The struct hides ReadFrom, which io.CopyBuffer would call recursively.
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

// startWrite counts a write of n bytes, or returns why it must not be made. A beforeWrite
// that returns an error seals the connection. It reports whether the write is limited in time.
func (c *countedConn) startWrite(n int) (limited bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false, errSealed
	}
	if c.beforeWrite != nil {
		if err := c.beforeWrite(); err != nil {
			c.sealed, c.failed = true, err
			return false, err
		}
	}
	c.beforeWrite = nil
	c.writes++
	c.written += int64(n)
	c.limited = c.limited || c.written > uploadFreeBytes
	return c.limited, nil
}

// beginRequest prepares for the next request, whose first write has to pass a check; nil permits
// it.
func (c *countedConn) beginRequest(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite, c.written = check, 0
	if c.limited {
		c.limited = false
		// A closed connection fails at the write.
		_ = c.SetWriteDeadline(time.Time{})
	}
}

func (c *countedConn) setFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err
}

// failure returns the error with which this package ended a write, or nil.
func (c *countedConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// writesStarted returns the number of writes started so far.
func (c *countedConn) writesStarted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, makes every later write fail, and returns the
// number of writes started before.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	// The error of closing a closed connection is of no interest.
	_ = c.Close()
	return writes
}

// SendTracker determines whether any byte of a failed attempt may have been sent to
// its upstream. One SendTracker serves one attempt.
type SendTracker struct {
	// BeforeFirstByte is called when the first byte of the attempt is about to be
	// sent, which in a busy process is long after the attempt requested a connection.
	// If it returns an error, nothing is sent and the attempt fails with that error.
	// A nil BeforeFirstByte permits every attempt. conn is the attempt's connection.
	BeforeFirstByte func(conn Trust) error
	// OnHead is called with what is read from the connection until EndHead is called: the head of
	// the answer, interim answers before it and perhaps the begin of the body. If it returns an
	// error, the attempt fails. A nil OnHead accepts everything.
	OnHead func(text []byte) error

	mu sync.Mutex
	// connected is set once the attempt has a connection.
	connected bool
	// conn is the attempt's connection; nil if it is not a countedConn, or if the
	// attempt had several.
	conn *countedConn
	// writesBefore is the number of writes started on conn before the attempt.
	writesBefore uint64
	// upload is how far the request was written, and uploadEnded is closed once it is not under way
	// any more; nil if nobody waits for that.
	upload      uploadState
	uploadEnded chan struct{}
}

// Context returns a context for the attempt's request, through which t learns
// which connection the request uses.
func (t *SendTracker) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { t.gotConn(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { t.endUpload(info.Err) },
	})
}

func (t *SendTracker) gotConn(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := underlyingCountedConn(conn)
	if own != nil {
		var check func() error
		if t.BeforeFirstByte != nil {
			check = func() error { return t.BeforeFirstByte(own.life) }
		}
		own.beginRequest(check)
		own.setOnRead(t.OnHead)
	}
	if t.connected {
		// The transport took a second connection for the attempt. Treat the attempt as sent.
		t.conn = nil
		return
	}
	t.connected = true
	t.conn = own
	if own != nil {
		t.writesBefore = own.writesStarted()
	}
}

// OpenedAt returns when the opening of the attempt's connection began; zero if it has none, or
// several.
func (t *SendTracker) OpenedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return time.Time{}
	}
	return t.conn.openedAt
}

// EndHead ends the calls of OnHead. Call it once the answer's head is complete or the attempt has
// failed.
func (t *SendTracker) EndHead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.setOnRead(nil)
	}
}

// WriteError returns the error with which BeforeFirstByte kept the attempt from being sent, or
// ErrUploadStalled; nil if neither happened. The transport may report the end of the connection that
// follows instead.
func (t *SendTracker) WriteError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	return t.conn.failure()
}

// Seal closes the attempt's connection and reports whether a byte of the attempt
// may have been sent. Once it has returned false, no byte is sent later either.
// Call it for an attempt that ended without an answer.
func (t *SendTracker) Seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.connected {
		return false
	}
	if t.conn == nil {
		return true
	}
	return t.conn.seal() != t.writesBefore
}

// underlyingCountedConn returns the countedConn that conn is or wraps, as a TLS
// connection does, or nil if there is none.
func underlyingCountedConn(conn net.Conn) *countedConn {
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

// Body is the body of an attempt's request. It keeps the transport from sending the
// request a second time, whatever the method and headers: the transport replays a
// request only if its body is nil or http.NoBody, or if the request has GetBody.
type Body struct{ reader io.Reader }

// NewBody returns a Body that reads from reader, once.
func NewBody(reader io.Reader) *Body { return &Body{reader: reader} }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *Body) Close() error { return nil }
