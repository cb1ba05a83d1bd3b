package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/trefoilwell/trefoilwell/daemon/connection/bounded"
	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
)

const (
	// maxDescriptorFraction is the fraction of the process's file descriptors that
	// callers' connections may use before they are no longer kept open after a response.
	// Each request needs another descriptor for its upstream connection.
	maxDescriptorFraction = 0.4
	// hardLimitFactor times the limit is the number of open connections at which new ones
	// are rejected. A connection that is not kept open still takes memory until its
	// response is written, and a process that runs out of memory is killed with all of its
	// requests.
	hardLimitFactor = 1.5
)

// connLimiter counts the open connections of callers against a limit.
type connLimiter struct {
	limit int64
	open  atomic.Int64
}

// newConnLimiter returns a limiter with a limit of connections, or of
// maxDescriptorFraction of descriptors if that is lower. descriptors is the number of file
// descriptors that the process may open; 0 is unknown.
func newConnLimiter(descriptors, connections int) *connLimiter {
	if byDescriptors := int(maxDescriptorFraction * float64(descriptors)); byDescriptors > 0 {
		connections = min(connections, byDescriptors)
	}
	return &connLimiter{limit: int64(connections)}
}

// track updates the count of open connections. It is the ConnState hook of the callers'
// server.
func (c *connLimiter) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// overLimit reports whether connections should be closed after their current response.
func (c *connLimiter) overLimit() bool { return c.limit > 0 && c.open.Load() > c.limit }

// atHardLimit reports whether new connections should be rejected.
func (c *connLimiter) atHardLimit() bool {
	return c.limit > 0 && float64(c.open.Load()) >= hardLimitFactor*float64(c.limit)
}

// admissionListener accepts connections from a listener. While the connection limiter is at
// its hard limit or the process is overloaded, it passes connections to the rejecter before
// the server starts a goroutine for them: that goroutine would hold buffers until the
// processor has time to run it.
type admissionListener struct {
	net.Listener
	connLimiter *connLimiter
	admission   *admission
	rejecter    *turnaway.Rejecter
	// port bounds the accepted connections; nil leaves that to connLimiter.
	port *bounded.Port
	// stopped is set once every new connection is to be rejected, and ended once there are no
	// more.
	stopped, ended atomic.Bool
}

// stop makes the listener reject all connections from now on.
func (l *admissionListener) stop() { l.stopped.Store(true) }

// rejectsAll reports whether every connection is rejected, whatever the load shedder admits.
func (l *admissionListener) rejectsAll() bool {
	if l.port == nil {
		return l.stopped.Load() || l.connLimiter.atHardLimit()
	}
	return l.stopped.Load() || !l.port.HasRoom()
}

// Accept implements net.Listener.
func (l *admissionListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.ended.Store(true)
			return nil, err
		}
		if !l.rejectsAll() && l.admission.admitConnection() {
			return conn, nil
		}
		l.reject(conn)
		l.rejectBacklog()
	}
}

func (l *admissionListener) reject(conn net.Conn) {
	l.admission.countRejected()
	fd, err := turnaway.Detach(conn)
	if err != nil {
		// Nothing was read from the connection, so its caller may retry elsewhere at once.
		_ = conn.Close()
		return
	}
	l.rejecter.Reject(fd)
}

// rejectConn rejects a connection for which there is no room, or whose request has a head, of which a
// part that ends in read was read, for which there is no memory.
func (d *Daemon) rejectConn(conn *net.TCPConn, read []byte) {
	fd, err := turnaway.Detach(conn)
	if err != nil {
		// No request was served, so its caller may retry elsewhere at once.
		_ = conn.Close()
		return
	}
	if read == nil {
		d.rejecter.Reject(fd)
		return
	}
	d.rejecter.RejectBegun(fd, read)
}

// rejectBacklog rejects connections of the listener's backlog until it is empty or the next
// connection is admitted. It calls accept(2) directly, because accepting through the runtime
// takes three more system calls, and memory.
func (l *admissionListener) rejectBacklog() {
	listener, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// On an error the rest of the backlog is left to Accept, which reports the error.
	_ = raw.Control(func(fd uintptr) {
		for l.rejectsAll() || !l.admission.admitNext() {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if err != nil {
				return
			}
			l.admission.countRejected()
			l.rejecter.Reject(conn)
		}
	})
}
