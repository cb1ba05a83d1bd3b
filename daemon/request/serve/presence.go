package serve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// callerCheckMinLag is the scheduling lag, and callerCheckMinAge the age of a request,
	// above which the connection is checked before the request is sent. The server reports
	// a closed connection through a goroutine, which may not have run yet.
	callerCheckMinLag = 2 * time.Millisecond
	callerCheckMinAge = 100 * time.Millisecond
)

// callerConnKey is the context key of a *callerConn.
type callerConnKey struct{}

// callerConn is a caller's connection.
type callerConn struct {
	conn net.Conn
	// used is set by the first request on the connection.
	used atomic.Bool
}

// WithCallerConn is an http.Server.ConnContext that lets a GeneralHandler inspect callers'
// connections.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn})
}

// markFirstRequest reports whether a request is the first on its connection. It marks the
// connection as used, so it must be called once for each request.
func markFirstRequest(r *http.Request) bool {
	caller, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && !caller.used.Swap(true)
}

// callerGone reports whether the caller has disconnected. It only checks when the server's
// own notice may be late.
func (c *generalCall) callerGone() bool {
	mayBeUnnoticed := c.handler.options.Lag() > callerCheckMinLag || time.Since(c.started) > callerCheckMinAge
	return mayBeUnnoticed && connectionClosed(c.r)
}

// connectionClosed reports whether the caller has closed its connection. It asks the
// kernel, so it doesn't depend on the server's goroutine.
func connectionClosed(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	caller, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return false
	}
	conn, ok := caller.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return closed || err != nil
}
