package serve

import (
	"context"
	"net"
	"net/http"
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

// connKey is the context key of a caller's connection.
type connKey struct{}

// KeepConn is the http.Server.ConnContext that lets a General look at callers'
// connections.
func KeepConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
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
	conn, known := r.Context().Value(connKey{}).(syscall.Conn)
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
