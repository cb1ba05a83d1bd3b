package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesInAnyWindowStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := WindowOptions{Length: 10 * time.Second, Ratio: 0.2, Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack"))}
		w := NewWindow(options)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if w.Take(now) {
					retries = append(retries, now)
				}
				continue
			}
			w.Request(now)
			requests = append(requests, now)
		}
		count := func(times []time.Time, from, to time.Time) int {
			n := 0
			for _, at := range times {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// A bucket ends up to a tenth of the window after a retry that it counts,
			// so the retries are bounded over nine tenths of the window.
			start := end.Add(-options.Length * 9 / 10)
			taken := float64(count(retries, start, end))
			allowed := options.Slack + options.Ratio*float64(count(requests, end.Add(-options.Length), end))
			if taken > allowed {
				t.Fatalf("%v retries in a window, %v allowed", taken, allowed)
			}
		}
	})
}
