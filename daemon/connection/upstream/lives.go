package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/fleet/connection/incarnation"
)

// Lives tells which connections reach the incarnations of upstreams that are registered. It is
// safe for concurrent use.
type Lives struct {
	clock clock.Clock
	// storeAnswers tells whether the store answers the reads of the registrations now.
	storeAnswers func() bool

	mu      sync.Mutex
	tracker *incarnation.Tracker
}

// NewLives returns a Lives for upstreams that register within a time after their start. The clock
// must include the time in which the VM is suspended. storeAnswers tells whether the store answers
// the reads of the registrations now.
func NewLives(clock clock.Clock, registrationTime time.Duration, storeAnswers func() bool) *Lives {
	return &Lives{clock: clock, storeAnswers: storeAnswers, tracker: incarnation.New(registrationTime)}
}

// Follow makes l follow the connections that a transport of NewTransport opens from now on.
func (l *Lives) Follow(transport *http.Transport) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		begin := l.clock()
		conn, err := dial(ctx, network, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.Ended(address)
		}
		if counted, ok := conn.(*countedConn); err == nil && ok {
			l.mu.Lock()
			defer l.mu.Unlock()
			counted.life = &life{lives: l, conn: l.tracker.Open(begin, address)}
		}
		return conn, err
	}
}

// Read records that the registrations that are known were complete at a time of the clock.
func (l *Lives) Read(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Read(at)
}

// Ended records that the upstream at an address has crashed or refused a connection.
func (l *Lives) Ended(address string) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Ended(now, address)
}

// BrokeOff records that the upstream at an address broke off an answer.
func (l *Lives) BrokeOff(address string) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.BrokeOff(now, address)
}

// life is the part of a Lives that belongs to one connection. The nil life is not followed.
type life struct {
	lives *Lives
	conn  *incarnation.Conn
	// triedAt is when bytes of the connection were last recorded, in nanoseconds of the wall clock.
	triedAt atomic.Int64
	once    sync.Once
}

// received records that bytes were received, at most once in an interval for the address if its
// connections are proven, else for the connection.
func (f *life) received() {
	if f == nil {
		return
	}
	// The clock that includes suspension takes a system call.
	now := time.Now().UnixNano()
	if isRecent(f.conn.Marked(), now) || isRecent(&f.triedAt, now) {
		return
	}
	f.triedAt.Store(now)
	at := f.lives.clock()
	f.lives.mu.Lock()
	defer f.lives.mu.Unlock()
	if f.lives.tracker.Received(at, f.conn) {
		f.conn.Marked().Store(now)
	}
}

// isRecent reports whether a time was less than a MarkInterval before now.
func isRecent(at *atomic.Int64, now int64) bool {
	last := at.Load()
	return now >= last && now-last < int64(incarnation.MarkInterval)
}

// closed records that the connection is closed, by the upstream or by this process.
func (f *life) closed(byUpstream bool) {
	if f == nil {
		return
	}
	f.once.Do(func() {
		at := f.lives.clock()
		f.lives.mu.Lock()
		defer f.lives.mu.Unlock()
		f.lives.tracker.Close(at, f.conn, byUpstream)
	})
}

// Trust tells what is known of the upstream's incarnation behind a connection. Everything holds of a
// connection that no Lives follows.
type Trust interface {
	// Trusted reports whether the connection may be taken for one to the registered incarnation.
	Trusted() bool
	// Checked reports whether that is known of the connection itself, or the store answered a call
	// that was sent at answeredAt, by the clock of the Lives, right before it was opened or later.
	Checked(answeredAt time.Time) bool
}

// Trusted implements Trust.
func (f *life) Trusted() bool {
	if f == nil {
		return true
	}
	if f.proven() {
		// Whether the store answers is asked under the lock of all registrations.
		return true
	}
	now, answers := f.lives.clock(), f.lives.storeAnswers()
	f.lives.mu.Lock()
	defer f.lives.mu.Unlock()
	return f.lives.tracker.Trusted(now, f.conn, answers)
}

func (f *life) proven() bool {
	f.lives.mu.Lock()
	defer f.lives.mu.Unlock()
	return f.lives.tracker.Proven(f.conn)
}

// Checked implements Trust.
func (f *life) Checked(answeredAt time.Time) bool {
	if f == nil {
		return true
	}
	f.lives.mu.Lock()
	defer f.lives.mu.Unlock()
	return f.lives.tracker.Checked(f.conn, answeredAt)
}
