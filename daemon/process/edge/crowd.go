package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
)

const (
	// descriptorsShare is the part of the process's descriptors that callers'
	// connections may take before none is kept. Each request needs another one to
	// its upstream.
	descriptorsShare = 0.4
	// overflow is how many times the limit may be open at all. A connection that is
	// not kept takes memory until its answer is written, and a process without
	// memory ends with all of its requests.
	overflow = 1.5
)

// crowd counts the connections of callers.
type crowd struct {
	limit int64
	open  atomic.Int64
}

// newCrowd returns a crowd that is full at a number of connections, or at its part
// of the descriptors if those are known and it is less.
func newCrowd(descriptors, connections int) *crowd {
	if allowed := int(descriptorsShare * float64(descriptors)); allowed > 0 {
		connections = min(connections, allowed)
	}
	return &crowd{limit: int64(connections)}
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

// overflows reports whether no further connection should be taken.
func (c *crowd) overflows() bool {
	return c.limit > 0 && float64(c.open.Load()) >= overflow*float64(c.limit)
}

// gate takes connections from a listener unless a crowd overflows or the process cannot
// keep up. The others go to a desk before they cost a goroutine: the server's would run
// only when the processor has time for it, and until then hold buffers.
type gate struct {
	net.Listener
	crowd  *crowd
	intake *intake
	desk   *turnaway.Desk
	// closed is set once no connection is taken any more.
	closed atomic.Bool
}

// close turns away all connections from now on.
func (g *gate) close() { g.closed.Store(true) }

// full reports whether no connection may be taken, whatever the processor allows.
func (g *gate) full() bool { return g.closed.Load() || g.crowd.overflows() }

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil || !g.full() && g.intake.takesConnection() {
			return conn, err
		}
		g.turnAway(conn)
		g.turnAwayWaiting()
	}
}

func (g *gate) turnAway(conn net.Conn) {
	g.intake.countTurnedAway()
	fd, err := turnaway.Detach(conn)
	if err != nil {
		// Nothing was read of it, so its caller may go elsewhere at once.
		_ = conn.Close()
		return
	}
	g.desk.Take(fd)
}

// turnAwayWaiting turns away the connections that wait to be accepted, up to one that is
// to be taken. Accepting through the runtime takes three calls of the kernel more, and
// memory.
func (g *gate) turnAwayWaiting() {
	listener, known := g.Listener.(syscall.Conn)
	if !known {
		return
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// An error leaves the rest to Accept, which reports it.
	_ = raw.Control(func(fd uintptr) {
		for g.full() || !g.intake.takesNext() {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if err != nil {
				return
			}
			g.intake.countTurnedAway()
			g.desk.Take(conn)
		}
	})
}
