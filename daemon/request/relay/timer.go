package relay

import (
	"context"
	"sync"
	"time"
)

// stallTimer cancels a context when an upstream sends nothing within a limit, or when the
// deadline of the whole response passes.
type stallTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// deadline limits the whole response; zero means none.
	deadline time.Time

	mu    sync.Mutex
	cause error
}

// newStallTimer returns a context that is cancelled with cause after limit, and its timer.
// A non-zero deadline also cancels it, with ErrDeadlinePassed.
func newStallTimer(parent context.Context, limit time.Duration, cause error, deadline time.Time) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{cancel: cancel, deadline: deadline}
	limit, t.cause = t.capByDeadline(limit, cause)
	t.timer = time.AfterFunc(limit, t.fire)
	return ctx, t
}

// capByDeadline returns the shorter of limit and the time left until the deadline, and the
// cause to cancel with.
func (t *stallTimer) capByDeadline(limit time.Duration, cause error) (time.Duration, error) {
	if t.deadline.IsZero() {
		return limit, cause
	}
	if left := time.Until(t.deadline); left < limit {
		return left, ErrDeadlinePassed
	}
	return limit, cause
}

func (t *stallTimer) fire() {
	t.mu.Lock()
	cause := t.cause
	t.mu.Unlock()
	t.cancel(cause)
}

// restart restarts the timer after progress in the response; it then fires with ErrStalled.
func (t *stallTimer) restart(limit time.Duration) {
	limit, cause := t.capByDeadline(limit, ErrStalled)
	if !t.timer.Reset(limit) {
		// It has already fired, so the context is cancelled.
		return
	}
	t.mu.Lock()
	t.cause = cause
	t.mu.Unlock()
}

// stop stops the timer and cancels the context.
func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
