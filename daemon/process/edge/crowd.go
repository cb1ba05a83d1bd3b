package edge

import (
	"bytes"
	"net"
	"net/http"
	"os"
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
	// firstReadBytes bounds what is read of a request before its connection is admitted.
	firstReadBytes = 32 << 10
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
//
// While the process is overloaded, the listener reads what has arrived of the first request, which tells whose
// connections to reject.
type admissionListener struct {
	net.Listener
	connLimiter *connLimiter
	admission   *admission
	rejecter    *turnaway.Rejecter
	// port bounds the accepted connections; nil leaves that to connLimiter.
	port *bounded.Port
	// buffer holds what was read of the present connection; nil before the first one.
	buffer []byte
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
		if conn := l.acceptBacklog(); conn != nil {
			return conn, nil
		}
		conn, err := l.Listener.Accept()
		if err != nil {
			l.ended.Store(true)
			return nil, err
		}
		if admitted := l.decide(conn); admitted != nil {
			return admitted, nil
		}
	}
}

// decide returns a connection that was accepted through the runtime, or nil if it is rejected.
func (l *admissionListener) decide(conn net.Conn) net.Conn {
	all := l.rejectsAll()
	if !all && !l.admission.shedsLoad() {
		l.admission.countAdmitted()
		return conn
	}
	var head []byte
	tcp, ok := conn.(*net.TCPConn)
	if ok {
		head = l.readConn(tcp)
	}
	switch {
	case all:
		l.admission.countRejected(head)
	case !l.admission.admitConnection(head):
	case ok:
		return bounded.NewBegunConn(tcp, bytes.Clone(head))
	default:
		return conn
	}
	fd, err := turnaway.Detach(conn)
	if err != nil {
		// No request was served, so its caller may retry elsewhere at once.
		_ = conn.Close()
		return nil
	}
	l.rejecter.RejectRead(fd, head)
	return nil
}

// readConn returns what has arrived on a connection; the result is valid until the next read.
func (l *admissionListener) readConn(conn *net.TCPConn) (head []byte) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	// A connection that fails has nothing to read.
	_ = raw.Control(func(fd uintptr) { head = l.read(int(fd)) })
	return head
}

// read returns what has arrived on a socket; the result is valid until the next read.
func (l *admissionListener) read(fd int) []byte {
	if l.buffer == nil {
		l.buffer = make([]byte, firstReadBytes)
	}
	// The next read reports an error again.
	n, err := unix.Read(fd, l.buffer)
	if err != nil {
		return nil
	}
	return l.buffer[:n]
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

// acceptBacklog rejects connections of the listener's backlog until it is empty, a connection is admitted or
// nothing has to be rejected any more. It returns the admitted connection, or nil. It calls accept(2)
// directly, because accepting through the runtime takes three more system calls, and memory.
func (l *admissionListener) acceptBacklog() (admitted net.Conn) {
	if !l.rejectsAll() && !l.admission.shedsLoad() {
		return nil
	}
	listener, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	// On an error the rest of the backlog is left to Accept, which reports the error.
	_ = raw.Control(func(fd uintptr) {
		for admitted == nil {
			all := l.rejectsAll()
			if !all && !l.admission.shedsLoad() {
				return
			}
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if err != nil {
				return
			}
			head := l.read(socket)
			switch {
			case all:
				l.admission.countRejected(head)
				l.rejecter.RejectRead(socket, head)
			case l.admission.admitConnection(head):
				admitted = serverConn(socket, head)
			default:
				l.rejecter.RejectRead(socket, head)
			}
		}
	})
	return admitted
}

// serverConn returns a connection of the runtime for a socket, which it takes over and of which read was read;
// nil if that fails.
func serverConn(socket int, read []byte) net.Conn {
	file := os.NewFile(uintptr(socket), "caller")
	// FileConn duplicates the descriptor. Nothing was served of a connection that it fails for, so its caller may
	// retry elsewhere at once.
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil
	}
	return bounded.NewBegunConn(tcp, bytes.Clone(read))
}
