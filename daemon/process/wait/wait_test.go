package wait

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		if err := Sleep(ctx, time.Minute); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want the context's", err)
		}
		if slept := time.Since(started); slept != time.Second {
			t.Errorf("slept %v, want a second", slept)
		}
		if err := Sleep(t.Context(), time.Minute); err != nil {
			t.Errorf("error %v of a whole pause", err)
		}
	})
}

func TestOnlyOneDecisionReachesAWait(t *testing.T) {
	var m Map[int, string]
	decided := m.Await(1)
	if !m.Resolve(1, "granted") || m.Resolve(1, "refused") {
		t.Error("the first decision was not taken, or the second one was")
	}
	if got := <-decided; got != "granted" {
		t.Errorf("decided %q, want the first decision", got)
	}
	m.Await(2)
	m.Forget(2)
	if m.Resolve(2, "late") || m.Len() != 0 {
		t.Error("a wait that was given up still takes a decision")
	}
}
