package bounded

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errExceeded ends a connection whose request may not grow.
var errExceeded = errors.New("heads of requests exceed their memory")

// Phases of a connection.
const (
	// phaseFirst is before the end of the first head, phaseIdle from a response to the end of the next
	// head, phaseServing from then to the response, phaseEnding once nothing more is sent, phaseUpgraded
	// after an upgrade.
	phaseFirst int32 = iota
	phaseIdle
	phaseServing
	phaseEnding
	phaseUpgraded
)

// conn is a client's connection.
type conn struct {
	// Conn is the TLS or the TCP connection, tcp the TCP connection, and begun the one of which a part was
	// read before; nil if none was.
	net.Conn
	tcp     *net.TCPConn
	begun   *BegunConn
	port    *Port
	address netip.Addr
	phase   atomic.Int32
	// since is when the connection began to wait for a head, or its first bytes came. It, reading and
	// writing are times of Budget.now.
	since atomic.Int64
	// reading is when a read of a body began, and writing when a write began; 0 without one.
	reading, writing atomic.Int64
	// awaitsHead is set while a read waits for bytes of a head.
	awaitsHead atomic.Bool
	// needed is the memory of the head, and reserved the part of it that is reserved.
	needed, reserved atomic.Int64
}

func newConn(p *Port, tcp *net.TCPConn, begun *BegunConn) *conn {
	c := &conn{Conn: tcp, tcp: tcp, begun: begun, port: p}
	if begun != nil {
		c.Conn = begun
	}
	if p.options.TLS != nil {
		c.Conn = tls.Server(c.Conn, p.options.TLS)
	}
	if address, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		c.address = address.AddrPort().Addr()
	}
	c.since.Store(int64(p.budget.now()))
	return c
}

// SyscallConn implements syscall.Conn, by which callers' connections are inspected.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite ends the sending direction. Servers use it before they close a connection whose request
// they have not read, and wait half a second then, so that no reset overtakes the response.
func (c *conn) CloseWrite() error {
	c.since.Store(int64(c.port.budget.now()))
	c.phase.Store(phaseEnding)
	if secure, ok := c.Conn.(*tls.Conn); ok {
		return secure.CloseWrite()
	}
	return c.tcp.CloseWrite()
}

// SetLinger sets what happens to unsent bytes when the connection is closed: 0 seconds drop them and
// reset it.
func (c *conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	phase := c.phase.Load()
	// While a request is served, its server watches for the end of the connection with a read of one
	// byte.
	if phase == phaseServing && len(b) > 1 {
		c.reading.Store(int64(c.port.budget.now()))
		defer c.reading.Store(0)
	}
	c.awaitsHead.Store(phase < phaseServing)
	n, err := c.Conn.Read(b)
	c.awaitsHead.Store(false)
	if n > 0 && phase < phaseServing && !c.grow(b[:n]) {
		c.port.budget.refused.Add(1)
		read := b[:n]
		if c.begun != nil {
			read = slices.Concat(read, c.begun.read)
		}
		c.port.reject(c.tcp, read)
		// The server writes no response after an error of this kind.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errExceeded}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Store(int64(c.port.budget.now()))
	defer c.writing.Store(0)
	return c.Conn.Write(b)
}

// grow reserves what more of a head takes, and reports whether the limit allows it.
func (c *conn) grow(text []byte) bool {
	more := 2*int64(len(text)) + lineBytes*int64(bytes.Count(text, []byte("\n")))
	needed := c.needed.Add(more)
	if needed == more {
		c.since.Store(int64(c.port.budget.now()))
	}
	more = needed - freeBytes - c.reserved.Load()
	if more <= 0 {
		return true
	}
	if !c.port.budget.reserve(more, c) {
		return false
	}
	c.reserved.Add(more)
	return true
}

// release gives back what is reserved.
func (c *conn) release() {
	c.needed.Store(0)
	c.port.budget.held.Add(-c.reserved.Swap(0))
}

// headAge returns the age of an unfinished head; 0 without one.
func (c *conn) headAge(now time.Duration) time.Duration {
	if c.phase.Load() >= phaseServing || c.needed.Load() == 0 {
		return 0
	}
	return now - time.Duration(c.since.Load())
}

// holding returns what the connection's head holds times for how long.
func (c *conn) holding(now time.Duration) float64 {
	return float64(c.reserved.Load()) * c.headAge(now).Seconds()
}

// stillFor returns for how long the connection has not moved, and whether it may be closed for that.
func (c *conn) stillFor(now time.Duration) (still time.Duration, closable bool) {
	grace := c.port.options.Grace
	switch {
	case c.writing.Load() > 0:
		still = now - time.Duration(c.writing.Load())
	case c.phase.Load() == phaseServing && c.reading.Load() > 0:
		still = now - time.Duration(c.reading.Load())
	case c.phase.Load() == phaseServing:
		return 0, false
	case c.phase.Load() == phaseIdle && c.needed.Load() == 0:
		grace = c.port.options.IdleGrace
		fallthrough
	default:
		still = now - time.Duration(c.since.Load())
	}
	return still, still >= grace
}

// awaitsProcess reports whether bytes of a head or a body have arrived that the process has not read:
// then it is the process that does not move.
func (c *conn) awaitsProcess() bool {
	if c.writing.Load() > 0 || c.phase.Load() == phaseEnding {
		return false
	}
	if c.begun != nil && c.begun.unread.Load() {
		return true
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// An error leaves it at 0: the connection is closed already.
	_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return unread > 0
}
