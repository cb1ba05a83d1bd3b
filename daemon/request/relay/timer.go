package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lateFire is how late a timer fires in a process that was frozen or had no processor time. What
	// its upstream has sent may then wait unread.
	lateFire = 50 * time.Millisecond
	// lateGrace is how long such a process still waits for progress.
	lateGrace = time.Second
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
	// due is when the timer is to fire, and late is set once it fired too late and waits for lateGrace.
	due  time.Time
	late bool
}

// newStallTimer returns a context that is cancelled with cause after limit, and its timer.
// A non-zero deadline also cancels it, with ErrDeadlinePassed.
func newStallTimer(parent context.Context, limit time.Duration, cause error, deadline time.Time) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{cancel: cancel, deadline: deadline}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit, t.cause = t.capByDeadline(limit, cause)
	t.due = time.Now().Add(limit)
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

// fire cancels the context, unless there was progress since the timer expired, or none could be seen
// because the process did not run.
func (t *stallTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	lateness := time.Since(t.due)
	if lateness < 0 {
		return
	}
	if lateness >= lateFire && !t.late && errors.Is(t.cause, ErrStalled) {
		t.late = true
		t.reset(lateGrace)
		return
	}
	t.cancel(t.cause)
}

// restart restarts the timer after progress in the response; it then fires with ErrStalled.
func (t *stallTimer) restart(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = false
	t.cause = ErrStalled
	t.reset(limit)
}

// reset makes the timer fire after limit, or at the deadline. t.mu must be held.
func (t *stallTimer) reset(limit time.Duration) {
	limit, t.cause = t.capByDeadline(limit, t.cause)
	t.due = time.Now().Add(limit)
	t.timer.Reset(limit)
}

// stop stops the timer and cancels the context.
func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
