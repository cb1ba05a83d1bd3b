package unread

import (
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/trefoilwell/trefoilwell/fleet/process/unread"
)

const (
	// blockBytes is the size of a block of a buffer.
	blockBytes = 4 << 10
	// waitingBytes is the memory of a connection whose answer waits, beyond its blocks: the goroutine
	// that empties the buffer.
	waitingBytes = 4 << 10
	// pieceBytes is how much is added to a buffer at once, and pauseInterval the time between two tries
	// where memory is scarce.
	pieceBytes    = 4 * blockBytes
	pauseInterval = 5 * time.Millisecond
)

// blocks holds blocks that are not used.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// tcpConn is a TCP connection, or one that wraps it.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// block is a part of a buffer; [begin:end] waits.
type block struct {
	data       *[blockBytes]byte
	begin, end int
}

// conn is a caller's connection. Its writes wait for the caller only for a moment, where memory is
// scarce.
type conn struct {
	tcpConn
	limiter *Limiter
	id      unread.ID
	// account is the account of the present answer.
	account atomic.Uint64
	// givenUp is set once the answer was given up.
	givenUp atomic.Bool
	// aborted is set once the connection has to end with a reset.
	aborted atomic.Bool

	mu sync.Mutex
	// changed is signalled when the buffer is empty, or the connection failed or is to be closed.
	changed *sync.Cond
	// raw makes writes that do not wait; nil if that is not possible. Its calls use next, the bytes to
	// write, and set written and writeErr.
	raw      syscall.RawConn
	next     []byte
	written  int
	writeErr error
	writeRaw func(fd uintptr) bool
	// buffer is what waits for the caller, and waiting is set while a goroutine empties it.
	buffer  []block
	waiting bool
	// err is the error of the connection; no write succeeds after it.
	err error
	// closeWrite and closed are set if the connection is to be closed, in part or whole, once the buffer
	// is empty.
	closeWrite, closed bool
	// readAborted is set while the read deadline is one that had passed when it was set.
	readAborted bool
}

func newConn(inner tcpConn, limiter *Limiter) *conn {
	c := &conn{tcpConn: inner, limiter: limiter, id: unread.ID(limiter.nextID.Add(1))}
	c.changed = sync.NewCond(&c.mu)
	c.writeRaw = c.writeOnce
	if raw, err := inner.SyscallConn(); err == nil {
		c.raw = raw
	}
	return c
}

// writeOnce writes next as far as the kernel takes it at once.
func (c *conn) writeOnce(fd uintptr) bool {
	for {
		c.written, c.writeErr = unix.Write(int(fd), c.next)
		switch c.writeErr {
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			c.written, c.writeErr = 0, nil
		}
		return true
	}
}

// writeAtOnce writes what the kernel takes at once. c.mu must be held.
func (c *conn) writeAtOnce(b []byte) (int, error) {
	c.next, c.written, c.writeErr = b, 0, nil
	err := c.raw.Write(c.writeRaw)
	c.next = nil
	if err == nil && c.writeErr != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", c.writeErr)}
	}
	return max(c.written, 0), err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.raw == nil {
		return c.tcpConn.Write(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return 0, c.err
	case c.givenUp.Load():
		c.err = ErrGivenUp
		return 0, c.err
	case c.closed:
		return 0, net.ErrClosed
	}
	left := b
	if !c.waiting {
		n, err := c.writeAtOnce(b)
		if err != nil || n == len(b) {
			return n, err
		}
		left = b[n:]
	}
	for piece := range slices.Chunk(left, pieceBytes) {
		if err := c.enqueue(piece); err != nil {
			return len(b) - len(left), err
		}
	}
	return len(b), nil
}

// enqueue adds bytes to the buffer, and begins to empty it. c.mu must be held; it is released while the
// answer pauses for memory.
func (c *conn) enqueue(b []byte) error {
	for began := time.Now(); ; {
		switch {
		case c.err != nil:
			return c.err
		case c.closed:
			return net.ErrClosed
		}
		free := 0
		if last := len(c.buffer) - 1; last >= 0 {
			free = blockBytes - c.buffer[last].end
		}
		grown := int64((max(len(b)-free, 0)+blockBytes-1)/blockBytes) * blockBytes
		if !c.waiting {
			grown += waitingBytes
		}
		// The memory is taken before it is used.
		if grown == 0 || !c.limiter.grow(c, grown, time.Since(began)) {
			break
		}
		c.mu.Unlock()
		time.Sleep(pauseInterval)
		c.mu.Lock()
	}
	if c.givenUp.Load() {
		c.err = ErrGivenUp
		return c.err
	}
	if last := len(c.buffer) - 1; last >= 0 {
		n := copy(c.buffer[last].data[c.buffer[last].end:], b)
		c.buffer[last].end += n
		b = b[n:]
	}
	for len(b) > 0 {
		data := blocks.Get().(*[blockBytes]byte)
		n := copy(data[:], b)
		c.buffer = append(c.buffer, block{data: data, end: n})
		b = b[n:]
	}
	if !c.waiting {
		c.waiting = true
		go c.empty()
	}
	return nil
}

// empty writes the buffer to the caller until nothing waits or the connection fails.
func (c *conn) empty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffer) > 0 && c.err == nil {
		first := c.buffer[0]
		c.mu.Unlock()
		// A closed connection fails at the write.
		_ = c.tcpConn.SetWriteDeadline(time.Now().Add(c.limiter.options.ReadTimeout))
		n, err := c.tcpConn.Write(first.data[first.begin:first.end])
		c.mu.Lock()
		freed := int64(0)
		c.buffer[0].begin += n
		if c.buffer[0].begin == c.buffer[0].end {
			blocks.Put(c.buffer[0].data)
			c.buffer[0].data = nil
			c.buffer = c.buffer[1:]
			freed = blockBytes
		}
		c.limiter.moved(c, int64(n), freed)
		if err != nil && c.err == nil {
			c.err = c.failure(err)
		}
	}
	c.finish()
}

// failure returns the error of a connection whose write failed.
func (c *conn) failure(err error) error {
	switch {
	case c.givenUp.Load():
		return ErrGivenUp
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Mark(errors.Wrapf(err, "in %v", c.limiter.options.ReadTimeout), ErrReadTimeout)
	}
	return err
}

// finish ends the emptying of the buffer. c.mu must be held.
func (c *conn) finish() {
	for _, left := range c.buffer {
		blocks.Put(left.data)
	}
	c.buffer, c.waiting = nil, false
	c.limiter.end(c, c.err)
	// A deadline would end a later write.
	_ = c.tcpConn.SetWriteDeadline(time.Time{})
	switch {
	case c.err != nil || c.closed && c.aborted.Load():
		// What the caller has got must not look complete, and the request has to end.
		c.reset()
	case c.closed:
		_ = c.tcpConn.Close()
	case c.closeWrite:
		_ = c.tcpConn.CloseWrite()
	}
	c.changed.Broadcast()
}

// giveUp ends the connection of an answer that was given up. The lock of another connection may be
// held.
func (c *conn) giveUp() {
	c.givenUp.Store(true)
	c.reset()
}

// reset closes the connection so that its other end does not take the end for an orderly one.
func (c *conn) reset() {
	// A closed connection was reset already.
	_ = c.tcpConn.SetLinger(0)
	_ = c.tcpConn.Close()
}

// Read implements net.Conn. A read that begins while an answer waits for the caller waits for it too, so
// that a caller who does not read gets no further requests served.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	for c.waiting && c.err == nil && !c.closed && !c.readAborted {
		c.changed.Wait()
	}
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.tcpConn.Read(b)
}

// SetReadDeadline implements net.Conn. A server ends a pending read by a deadline that has passed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAborted = !deadline.IsZero() && deadline.Before(time.Now()); c.readAborted {
		c.changed.Broadcast()
	}
	return c.tcpConn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn. While an answer waits for the caller, the deadline is that of the
// buffer's present block.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return nil
	}
	return c.tcpConn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite closes the connection's writing end once the caller has read what waits for it.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.closeWrite = true
		return nil
	}
	return c.tcpConn.CloseWrite()
}

// Close implements net.Conn. The connection is closed once the caller has read what waits for it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.err == nil {
		c.closed = true
		c.changed.Broadcast()
		return nil
	}
	if c.aborted.Load() {
		// A connection without it is closed all the same.
		_ = c.tcpConn.SetLinger(0)
	}
	return c.tcpConn.Close()
}
