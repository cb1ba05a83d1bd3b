package relay

import (
	"context"
	"sync"
	"time"
)

// stallTimer ends a context when an upstream sends nothing for too long.
type stallTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	cause error
}

// newStallTimer returns a context that ends with cause after limit, and its
// timer.
func newStallTimer(parent context.Context, limit time.Duration, cause error) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{cancel: cancel, cause: cause}
	t.timer = time.AfterFunc(limit, t.fire)
	return ctx, t
}

func (t *stallTimer) fire() {
	t.mu.Lock()
	cause := t.cause
	t.mu.Unlock()
	t.cancel(cause)
}

// progress starts the wait for the next piece of the answer.
func (t *stallTimer) progress(limit time.Duration) {
	if !t.timer.Reset(limit) {
		// It fired already; the context has ended.
		return
	}
	t.mu.Lock()
	t.cause = ErrStalled
	t.mu.Unlock()
}

// stop ends the context.
func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
