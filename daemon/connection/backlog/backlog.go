// Package backlog closes listeners without resetting the connections that are queued there.
//
// The kernel completes a connection before the listener accepts it, and resets those that are
// still queued when the listener is closed. Their callers have sent requests by then, and learn
// nothing about them.
package backlog

import (
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Listener is a TCP listener whose Close takes over the connections of its queue. Accept returns
// them before it fails. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener

	mu sync.Mutex
	// closed is set once Close was called. queued are the connections that it took over.
	closed bool
	queued []net.Conn
}

// New returns a listener that accepts the connections of inner.
func New(inner *net.TCPListener) *Listener { return &Listener{TCPListener: inner} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil, err
	}
	conn = l.queued[0]
	l.queued = l.queued[1:]
	return conn, nil
}

// Close takes over the queued connections and closes the listener. A connection that the kernel
// completes between the two is still reset.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if raw, err := l.SyscallConn(); err == nil {
		// Without the descriptor the queue is left to the kernel.
		_ = raw.Control(func(fd uintptr) {
			l.takeQueued(int(fd))
			// It ends the listening at once; the close does so only after Accept has returned.
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
		})
	}
	return l.TCPListener.Close()
}

// takeQueued accepts connections until none is queued. l.mu must be held.
func (l *Listener) takeQueued(fd int) {
	for {
		accepted, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if errors.IsAny(err, unix.EINTR, unix.ECONNABORTED) {
			continue
		}
		if err != nil {
			return
		}
		file := os.NewFile(uintptr(accepted), "caller")
		// FileConn duplicates the descriptor.
		if conn, err := net.FileConn(file); err == nil {
			l.queued = append(l.queued, conn)
		}
		_ = file.Close()
	}
}
