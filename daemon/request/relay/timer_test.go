package relay

import (
	"context"
	"testing"
	"time"
)

// Guards against breaking an answer off whose next bytes have come while the process was frozen, or had
// no processor time: its timer fired before the bytes were read. TestSlowAnswerWithProgressIsComplete
// failed so beside 57 busy processes.
func TestTimerThatFiresLateWaitsForBytesThatHaveCome(t *testing.T) {
	for name, c := range map[string]struct {
		lateness  time.Duration
		progress  bool
		cancelled bool
	}{
		"in time":             {0, false, true},
		"late, bytes came":    {5 * time.Second, true, false},
		"late, nothing came":  {5 * time.Second, false, true},
		"in time, bytes came": {0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, timer := newStallTimer(t.Context(), time.Hour, ErrStalled, time.Time{})
			defer timer.stop()
			timer.mu.Lock()
			timer.due = time.Now().Add(-c.lateness)
			timer.mu.Unlock()
			if c.progress && c.lateness == 0 {
				timer.restart(time.Hour)
			}
			timer.fire()
			if c.lateness > 0 && ctx.Err() != nil {
				t.Fatal("the answer was broken off as soon as the process ran again")
			}
			if c.progress {
				timer.restart(time.Hour)
			}
			select {
			case <-ctx.Done():
			case <-time.After(lateGrace + lateGrace/2):
			}
			if cancelled := ctx.Err() != nil; cancelled != c.cancelled || cancelled && context.Cause(ctx) != ErrStalled {
				t.Errorf("cancelled: %v with %v, want %v", cancelled, context.Cause(ctx), c.cancelled)
			}
		})
	}
}

// Guards against a deadline that moves because the process was frozen.
func TestDeadlineDoesNotMoveWithALateTimer(t *testing.T) {
	ctx, timer := newStallTimer(t.Context(), time.Hour, ErrStalled, time.Now().Add(-5*time.Second))
	defer timer.stop()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
	}
	if context.Cause(ctx) != ErrDeadlinePassed {
		t.Errorf("cause %v, want the deadline", context.Cause(ctx))
	}
}
