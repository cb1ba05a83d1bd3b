package relay

import (
	"context"
	"sync"
	"time"
)

// stallTimer ends a context when an upstream sends nothing for too long, or
// when the answer takes too long as a whole.
type stallTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// end is when the answer must have ended; zero sets no bound.
	end time.Time

	mu    sync.Mutex
	cause error
}

// newStallTimer returns a context that ends with cause after limit, and its
// timer. A non-zero end ends it too, with ErrLate.
func newStallTimer(parent context.Context, limit time.Duration, cause error, end time.Time) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{cancel: cancel, end: end}
	limit, t.cause = t.bound(limit, cause)
	t.timer = time.AfterFunc(limit, t.fire)
	return ctx, t
}

// bound returns the shorter of limit and the time left until end, and the cause
// that belongs to it.
func (t *stallTimer) bound(limit time.Duration, cause error) (time.Duration, error) {
	if t.end.IsZero() {
		return limit, cause
	}
	if left := time.Until(t.end); left < limit {
		return left, ErrLate
	}
	return limit, cause
}

func (t *stallTimer) fire() {
	t.mu.Lock()
	cause := t.cause
	t.mu.Unlock()
	t.cancel(cause)
}

// progress starts the wait for the next piece of the answer.
func (t *stallTimer) progress(limit time.Duration) {
	limit, cause := t.bound(limit, ErrStalled)
	if !t.timer.Reset(limit) {
		// It fired already; the context has ended.
		return
	}
	t.mu.Lock()
	t.cause = cause
	t.mu.Unlock()
}

// stop ends the context.
func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
