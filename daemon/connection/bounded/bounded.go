// Package bounded bounds what the connections of all listeners of a process hold together: their
// number on each listener (a Port), and the memory of the heads of their requests.
//
// A server bounds each head by its text, but many short lines take several times that, and clients may
// leave as many requests unfinished as there are connections. When a bound is reached, the connections
// that hold most and move least are closed. A new connection is not refused while there is one that
// does not move.
package bounded

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeBytes is what the head of each request may hold without a reservation; the memory of a
	// connection includes it.
	freeBytes = 8 << 10
	// lineBytes is the memory of a line beyond its text, which is held twice.
	lineBytes = 128
	// headGrace is the age below which an unfinished head is not closed for the memory of others.
	headGrace = 100 * time.Millisecond
	// logInterval is the shortest time between two log lines on one bound of one port.
	logInterval = 10 * time.Second
)

// Bounds that close connections, as they are named in logs and metrics.
const (
	// boundConnections is the number of connections of a port, and boundHeads the memory of heads.
	boundConnections = "connections"
	boundHeads       = "heads"
)

// Budget is what the connections of all ports of a process share. It is safe for concurrent use.
type Budget struct {
	limit   int64
	log     *slog.Logger
	started time.Time
	held    atomic.Int64
	refused atomic.Uint64

	mu    sync.Mutex
	ports []*Port
}

// New returns a budget with limit bytes for the heads of all requests in progress.
func New(limit int64, log *slog.Logger) *Budget {
	return &Budget{limit: limit, log: log, started: time.Now()}
}

// Stats are the figures of the memory for heads.
type Stats struct {
	// HeldBytes is what is reserved, and LimitBytes the limit.
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Refused counts the requests whose heads exceeded the limit.
	Refused uint64 `json:"refused"`
}

// Stats returns the figures of the memory for heads.
func (b *Budget) Stats() Stats {
	return Stats{HeldBytes: b.held.Load(), LimitBytes: b.limit, Refused: b.refused.Load()}
}

// PortStats are the figures of a port.
type PortStats struct {
	Open  int `json:"open"`
	Limit int `json:"limit"`
	// Closed counts the connections that were closed, by bound. Rejected counts the new ones for which
	// none could be closed.
	Closed   map[string]uint64 `json:"closed"`
	Rejected uint64            `json:"rejected"`
}

// PortStats returns the figures of all ports by name.
func (b *Budget) PortStats() map[string]PortStats {
	stats := make(map[string]PortStats)
	for _, port := range b.allPorts() {
		stats[port.options.Name] = port.stats()
	}
	return stats
}

func (b *Budget) allPorts() []*Port {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ports
}

// now returns the time since the budget was made, which takes no system call.
func (b *Budget) now() time.Duration { return time.Since(b.started) }

// reserve reserves bytes of heads. If the limit does not allow it, it closes unfinished heads that
// hold most for longest, other than that of asking, and reports whether that sufficed.
func (b *Budget) reserve(bytes int64, asking *conn) bool {
	if b.held.Add(bytes) <= b.limit {
		return true
	}
	for _, port := range b.allPorts() {
		port.closeHeads(asking, func() bool { return b.held.Load() <= b.limit })
	}
	if b.held.Load() <= b.limit {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// notice is what was closed by one bound.
type notice struct {
	total, logged uint64
	// loggedAt is when it was logged last; zero if it was not.
	loggedAt time.Time
}

// logClosed logs connections that a bound closed, at most once per logInterval.
func (b *Budget) logClosed(port, bound string, count uint64, example net.Addr) {
	b.log.Warn("clients outside the limits were closed", "listener", port, "bound", bound, "closed", count, "one_address", example)
}
