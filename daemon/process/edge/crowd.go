package edge

import (
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// callersShare is the part of the process's descriptors that callers'
	// connections may take before none is kept. Each request needs another one to
	// its upstream.
	callersShare = 0.4
	// connectionBytes is what a caller's connection takes with its goroutines,
	// buffers and the connection to its upstream.
	connectionBytes = 48 << 10
	// connectionsShare is the part of the memory that connections may take.
	connectionsShare = 0.3
)

// crowd counts the connections of callers.
type crowd struct {
	limit int64
	open  atomic.Int64
}

func newCrowd(descriptors int, memory int64) *crowd {
	limit := int64(callersShare * float64(descriptors))
	if bearable := int64(connectionsShare * float64(memory) / connectionBytes); bearable > 0 {
		limit = min(limit, bearable)
	}
	return &crowd{limit: limit}
}

// track is called by the callers' server at each change of a connection.
func (c *crowd) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// full reports whether no connection should be kept.
func (c *crowd) full() bool { return c.limit > 0 && c.open.Load() > c.limit }
