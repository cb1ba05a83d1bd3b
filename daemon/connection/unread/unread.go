// Package unread keeps the pace of callers away from upstreams. What a caller does not read at once
// waits in a buffer of its connection, which a goroutine empties, so that a write to the connection
// does not wait for its caller. A caller who keeps up costs no copy, goroutine or further system call.
//
// The memory of all buffers is bounded. fleet/process/unread decides whose answer is given up for that;
// its connection is reset, so that the answer never looks complete.
package unread

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/unread"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// defaultReadTimeout is the default of Options.ReadTimeout.
	defaultReadTimeout = 30 * time.Second
	// accountFraction and answerFraction are the fractions of the memory that the answers of one account
	// and one answer may take.
	accountFraction = 0.5
	answerFraction  = 0.25
	// maxAnswerBytes bounds one answer where there is more memory. A stream of 12 s takes far less.
	maxAnswerBytes = 4 << 20
	// maxLogsPerSecond bounds the log lines about answers that are given up.
	maxLogsPerSecond = 5
)

var (
	// ErrGivenUp ends the writing of an answer that was given up.
	ErrGivenUp = errors.New("answer was given up, its caller does not read it")
	// ErrReadTimeout ends the writing of an answer of which its caller has read nothing for too long.
	ErrReadTimeout = errors.New("caller has read nothing for too long")
)

// Options configure a Limiter.
type Options struct {
	// MaxBytes bounds the memory of all buffers.
	MaxBytes int64
	// ReadTimeout is how long a caller may take to read a block of the buffer; default 30 s.
	ReadTimeout time.Duration
	Log         *slog.Logger
}

// Limiter bounds the memory of answers that wait for their callers. It is safe for concurrent use.
type Limiter struct {
	options Options
	nextID  atomic.Uint64

	mu     sync.Mutex
	budget *unread.Budget
	// waiting holds the connections with answers that wait.
	waiting map[unread.ID]*conn
	// timedOut counts the answers that ended with ErrReadTimeout.
	timedOut uint64
	// logged counts the log lines since logSecond, a Unix time.
	logSecond, logged int64
}

// New returns a limiter.
func New(options Options) *Limiter {
	if options.ReadTimeout == 0 {
		options.ReadTimeout = defaultReadTimeout
	}
	total := float64(options.MaxBytes)
	return &Limiter{
		options: options,
		budget: unread.New(unread.Options{
			TotalBytes: options.MaxBytes, AccountBytes: int64(accountFraction * total),
			AnswerBytes: min(int64(answerFraction*total), maxAnswerBytes),
		}),
		waiting: make(map[unread.ID]*conn),
	}
}

// Stats are the figures of a Limiter.
type Stats struct {
	unread.Stats
	// TimedOut counts the answers of which their callers read nothing for the read timeout.
	TimedOut uint64 `json:"timed_out"`
}

// Stats returns the figures of the limiter.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Stats: l.budget.Stats(), TimedOut: l.timedOut}
}

// Drain waits until no answer waits for its caller any more, or ctx ends.
func (l *Limiter) Drain(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		l.mu.Lock()
		waiting := len(l.waiting)
		l.mu.Unlock()
		if waiting == 0 {
			return nil
		}
		if err := wait.Sleep(ctx, pollInterval); err != nil {
			return errors.Wrapf(err, "%d answers wait for their callers", waiting)
		}
	}
}

// Listener returns a listener whose connections have buffers. It must be the outermost one below TLS.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(tcpConn); ok {
		return newConn(tcp, l.limiter), nil
	}
	return accepted, nil
}

// Inner returns the connection that a connection of a Limiter wraps, else the connection itself.
func Inner(outer net.Conn) net.Conn {
	if c, ok := outer.(*conn); ok {
		return c.tcpConn
	}
	return outer
}

// connKey is the context key of a *conn.
type connKey struct{}

// ConnContext is an http.Server.ConnContext that lets SetAccount find a request's connection.
func ConnContext(ctx context.Context, outer net.Conn) context.Context {
	if secured, ok := outer.(interface{ NetConn() net.Conn }); ok {
		outer = secured.NetConn()
	}
	if c, ok := outer.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// SetAccount names the account whose answer is written next to the connection of a request's context.
func SetAccount(ctx context.Context, account version.AccountID) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.account.Store(uint64(account))
	}
}

// Abort makes the connection of a request's context end with a reset. Callers of HTTP/1.0 take the end of
// their connection for that of the answer.
func Abort(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.aborted.Store(true)
	}
}

// grow takes n more bytes for a connection's answer, which has paused for them for a time, and resets
// the connections of those that are given up for that. It returns whether the answer has to pause.
func (l *Limiter) grow(c *conn, n int64, paused time.Duration) (pause bool) {
	l.mu.Lock()
	l.waiting[c.id] = c
	givenUp, pause := l.budget.Grow(time.Now(), unread.Request{
		ID: c.id, Account: version.AccountID(c.account.Load()), Bytes: n, Paused: paused,
	})
	victims := make([]*conn, 0, len(givenUp))
	for _, given := range givenUp {
		victim := l.waiting[given.ID]
		victims = append(victims, victim)
		delete(l.waiting, given.ID)
		if l.mayLog() {
			l.options.Log.Warn("answer given up, its caller does not read it", "limit", given.Cause, "held_bytes", given.HeldBytes,
				"waited_ms", given.Waited.Milliseconds(), "account", victim.account.Load(), "caller", victim.RemoteAddr().String())
		}
	}
	l.mu.Unlock()
	for _, victim := range victims {
		victim.giveUp()
	}
	return pause
}

// mayLog reports whether another line may be logged in this second. l.mu must be held.
func (l *Limiter) mayLog() bool {
	if second := time.Now().Unix(); second != l.logSecond {
		l.logSecond, l.logged = second, 0
	}
	l.logged++
	return l.logged <= maxLogsPerSecond
}

// moved records that a connection's caller has read n bytes, which frees a number of bytes.
func (l *Limiter) moved(c *conn, n, freed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Moved(time.Now(), c.id, n, freed)
}

// end forgets a connection's answer.
func (l *Limiter) end(c *conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.End(c.id)
	delete(l.waiting, c.id)
	if errors.Is(err, ErrReadTimeout) {
		l.timedOut++
	}
}
