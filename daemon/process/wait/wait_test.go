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
			t.Errorf("error %v, want the error of the context", err)
		}
		if slept := time.Since(started); slept != time.Second {
			t.Errorf("slept %v, want a second", slept)
		}
		if err := Sleep(t.Context(), time.Minute); err != nil {
			t.Errorf("error %v from a sleep that was not interrupted, want none", err)
		}
	})
}

func TestWaitReceivesOnlyTheFirstDecision(t *testing.T) {
	var m Map[int, string]
	decided := m.Await(1)
	if !m.Resolve(1, "granted") || m.Resolve(1, "refused") {
		t.Error("Resolve rejected the first decision or accepted the second one")
	}
	if got := <-decided; got != "granted" {
		t.Errorf("decision %q, want granted, the first one", got)
	}
	m.Await(2)
	m.Forget(2)
	if m.Resolve(2, "late") || m.Len() != 0 {
		t.Error("a forgotten wait is still pending")
	}
}
