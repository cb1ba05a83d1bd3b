package bounded

import (
	"cmp"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// closedFraction is the reciprocal of the fraction of a port's connections that are closed at a
	// time, so that a crowd does not make each new connection look at all others.
	closedFraction = 16
	// roomTries and roomPause are how often, and after what time, a new connection asks again for room.
	roomTries = 50
	roomPause = 2 * time.Millisecond
)

// PortOptions configure a Port.
type PortOptions struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// MaxConns bounds the open connections. Those that were upgraded are not counted.
	MaxConns int
	// Grace is how long a connection may move nothing before it is closed for a new one: while it
	// sends nothing, a head or a body, or does not read a response.
	Grace time.Duration
	// IdleGrace is the same for a connection between two requests.
	IdleGrace time.Duration
	// Reject responds to a connection for which there is no room, or no memory for its head, of which
	// a part that ends in read has been read, and closes it; nil closes it without a response. It is
	// not used with TLS.
	Reject func(conn *net.TCPConn, read []byte)
	// TLS is the configuration of a listener that uses TLS; nil uses none.
	TLS *tls.Config
}

// Port is a listener whose connections are bounded. It is safe for concurrent use.
type Port struct {
	budget  *Budget
	options PortOptions

	// open is the number of conns.
	open atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closed counts connections by bound.
	closed   map[string]*notice
	rejected uint64
}

// NewPort adds a port to the budget.
func (b *Budget) NewPort(options PortOptions) *Port {
	p := &Port{budget: b, options: options, conns: make(map[*conn]struct{}), closed: make(map[string]*notice)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ports = append(b.ports, p)
	return p
}

// Listener returns a listener of the port's connections. Their server must call Track. inner accepts
// TCP connections without TLS, as they are or as BegunConns.
func (p *Port) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner, port: p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		var tcp *net.TCPConn
		begun, ok := accepted.(*BegunConn)
		if ok {
			tcp = begun.TCPConn
		} else if tcp, ok = accepted.(*net.TCPConn); !ok {
			return accepted, nil
		}
		switch {
		case l.port.HasRoom() || l.port.options.Reject == nil && l.port.awaitRoom():
			return l.port.add(tcp, begun), nil
		case begun != nil:
			l.port.countRejected()
			l.port.reject(tcp, begun.read)
		default:
			l.port.countRejected()
			l.port.reject(tcp, nil)
		}
	}
}

// Open returns the number of open connections.
func (p *Port) Open() int { return int(p.open.Load()) }

// awaitRoom waits a short time until a new connection may be added, and reports whether it may. Clients
// that cannot be told to come back are worth the wait.
func (p *Port) awaitRoom() bool {
	for range roomTries {
		if p.HasRoom() {
			return true
		}
		time.Sleep(roomPause)
	}
	return false
}

// HasRoom reports whether a new connection may be added. It closes others that do not move.
func (p *Port) HasRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) < p.options.MaxConns {
		return true
	}
	p.makeRoom()
	return len(p.conns) < p.options.MaxConns
}

// add adds a new connection.
func (p *Port) add(tcp *net.TCPConn, begun *BegunConn) *conn {
	c := newConn(p, tcp, begun)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	p.open.Store(int64(len(p.conns)))
	return c
}

// remove removes a connection that has ended or was upgraded.
func (p *Port) remove(c *conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.open.Store(int64(len(p.conns)))
	p.mu.Unlock()
	c.release()
}

// countRejected counts a new connection for which there is no room.
func (p *Port) countRejected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected++
}

// reject rejects a new connection, or one whose head may not grow.
func (p *Port) reject(tcp *net.TCPConn, read []byte) {
	if p.options.Reject == nil || p.options.TLS != nil {
		// Nothing of the request was served; an error of closing means nothing.
		_ = tcp.Close()
		return
	}
	p.options.Reject(tcp, read)
}

// Track follows the states of connections. It is an http.Server.ConnState hook.
func (p *Port) Track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head is complete; the request holds it until its response is written.
		c.phase.Store(phaseServing)
	case http.StateIdle:
		c.release()
		c.since.Store(int64(p.budget.now()))
		c.phase.Store(phaseIdle)
	case http.StateHijacked:
		c.phase.Store(phaseUpgraded)
		p.remove(c)
	case http.StateClosed:
		p.remove(c)
	}
}

// candidate is a connection that may be closed, and for how long it has not moved.
type candidate struct {
	conn  *conn
	still time.Duration
	// others is the number of the port's connections from its address.
	others int
}

// makeRoom closes connections that do not move: of the addresses with most connections first, and of
// those the ones that have not moved for longest. p.mu must be held.
func (p *Port) makeRoom() {
	now := p.budget.now()
	byAddress := make(map[netip.Addr]int)
	for c := range p.conns {
		byAddress[c.address]++
	}
	var candidates []candidate
	for c := range p.conns {
		if still, closable := c.stillFor(now); closable {
			candidates = append(candidates, candidate{c, still, byAddress[c.address]})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.others, a.others), cmp.Compare(b.still, a.still))
	})
	most := max(p.options.MaxConns/closedFraction, 1)
	for _, candidate := range candidates {
		if most == 0 {
			return
		}
		if !candidate.conn.awaitsProcess() {
			p.close(candidate.conn, boundConnections)
			most--
		}
	}
}

// closeHeads closes unfinished heads that hold most for longest, until enough holds. It leaves out
// asking and heads younger than headGrace.
func (p *Port) closeHeads(asking *conn, enough func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.budget.now()
	var heads []*conn
	for c := range p.conns {
		if c != asking && c.reserved.Load() > 0 && c.headAge(now) > headGrace {
			heads = append(heads, c)
		}
	}
	slices.SortFunc(heads, func(a, b *conn) int { return cmp.Compare(b.holding(now), a.holding(now)) })
	for _, c := range heads {
		if enough() {
			return
		}
		if !c.awaitsHead.Load() || c.awaitsProcess() {
			// The process is late with what the client has sent.
			continue
		}
		p.budget.refused.Add(1)
		p.close(c, boundHeads)
	}
}

// close closes a connection for a bound. p.mu must be held.
func (p *Port) close(c *conn, bound string) {
	delete(p.conns, c)
	p.open.Store(int64(len(p.conns)))
	// Its server ends with the error of the closed connection.
	_ = c.tcp.Close()
	c.release()
	n := p.closed[bound]
	if n == nil {
		n = &notice{}
		p.closed[bound] = n
	}
	n.total++
	if time.Since(n.loggedAt) > logInterval {
		p.budget.logClosed(p.options.Name, bound, n.total-n.logged, c.tcp.RemoteAddr())
		n.logged, n.loggedAt = n.total, time.Now()
	}
}

func (p *Port) stats() PortStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PortStats{Open: len(p.conns), Limit: p.options.MaxConns, Closed: make(map[string]uint64), Rejected: p.rejected}
	for bound, n := range p.closed {
		stats.Closed[bound] = n.total
	}
	return stats
}
