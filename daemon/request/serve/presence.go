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
	// presenceLag and presenceAge are the lag of the process and the age of a
	// request from which its caller is looked for before the request is sent on.
	// The server's own notice of a closed connection waits for a goroutine.
	presenceLag = 2 * time.Millisecond
	presenceAge = 100 * time.Millisecond
)

// connKey is the context key of a *callerConn.
type connKey struct{}

// callerConn is a caller's connection.
type callerConn struct {
	conn net.Conn
	// used is set by the first request on the connection.
	used atomic.Bool
}

// KeepConn is the http.Server.ConnContext that lets a General look at callers'
// connections.
func KeepConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{conn: conn})
}

// firstOfConnection reports whether a request is the first on its connection. It is to be
// asked once a request.
func firstOfConnection(r *http.Request) bool {
	caller, known := r.Context().Value(connKey{}).(*callerConn)
	return known && !caller.used.Swap(true)
}

// callerLeft reports whether the caller has left, where that may have gone
// unnoticed.
func (p *passage) callerLeft() bool {
	behind := p.general.options.Lag() > presenceLag || time.Since(p.started) > presenceAge
	return behind && connectionClosed(p.r)
}

// connectionClosed reports whether the caller has closed its connection, without
// waiting for a goroutine to be told.
func connectionClosed(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	caller, known := r.Context().Value(connKey{}).(*callerConn)
	if !known {
		return false
	}
	conn, known := caller.conn.(syscall.Conn)
	if !known {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return left || err != nil
}
