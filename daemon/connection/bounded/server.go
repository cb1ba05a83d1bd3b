package bounded

import (
	"net/http"
	"time"
)

// Defaults of PortOptions.Grace and PortOptions.IdleGrace. They matter only while a port has as many
// connections as it may.
const (
	// CallerGrace is for callers: an honest one has sent its head, or a piece of its body, within that
	// time. CallerIdleGrace is for their connections between two requests, which callers keep for 12 s.
	CallerGrace     = time.Second
	CallerIdleGrace = 13 * time.Second
	// PortGrace is for the other listeners. Their clients send a small head at once, and a load
	// balancer's probe must not wait behind a crowd.
	PortGrace = 10 * time.Millisecond
)

// Bounds of servers for others than callers.
const (
	// portHeadTimeout is the time for a head, and portReadTimeout that for a whole request.
	portHeadTimeout = 3 * time.Second
	portReadTimeout = 10 * time.Second
	// portWriteTimeout is the time for a response from its request's head on: that of a large fleet's
	// metrics to a slow operator.
	portWriteTimeout = 30 * time.Second
	portIdleTimeout  = 15 * time.Second
	// portHeadBytes is the limit on a head.
	portHeadBytes = 16 << 10
)

// NewServer returns a server for others than callers: load balancers, peers, operators. Connections
// that it upgrades are bounded by their handler.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: portHeadTimeout,
		ReadTimeout:       portReadTimeout,
		WriteTimeout:      portWriteTimeout,
		IdleTimeout:       portIdleTimeout,
		MaxHeaderBytes:    portHeadBytes,
	}
}
