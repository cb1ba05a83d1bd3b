package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesAreBoundedByAFractionOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget()
		successes, retries := 0, 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if success {
				budget.Success()
				successes++
			} else if budget.Take() {
				retries++
			}
		}
		const rounding = 1e-9
		if bound := MaxBalance + RetriesPerSuccess*float64(successes) + rounding; float64(retries) > bound {
			t.Fatalf("%d retries after %d successes, want at most %g", retries, successes, bound)
		}
	})
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	if got := Backoff(2, 0); got != 0 {
		t.Errorf("lowest backoff is %s, want 0", got)
	}
	if got, want := Backoff(2, 0.5), 10*time.Millisecond; got != want {
		t.Errorf("first backoff is %s, want %s", got, want)
	}
	if got, want := Backoff(3, 0.5), 20*time.Millisecond; got != want {
		t.Errorf("second backoff is %s, want %s", got, want)
	}
	if got := Backoff(100, 0.999); got > maxBackoff {
		t.Errorf("backoff is %s, want at most %s", got, maxBackoff)
	}
}
