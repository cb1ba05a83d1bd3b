package grace

import (
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against requests that are taken late in the grace period and cut off at its end: each
// that is sent must be expected to end before the cut, and those that may not be repeated with a
// margin.
func TestOnlyRequestsThatEndBeforeTheCutAreSent(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := Stop{Cut: start.Add(7 * time.Second)}
	for _, c := range []struct {
		name    string
		after   time.Duration
		request Request
		want    bool
	}{
		{"ends by its deadline", 6900 * time.Millisecond, Request{Deadline: stop.Cut, Repeat: version.RepeatNever}, true},
		{"unsafe, deadline after the cut, none answered lately", 0, Request{Deadline: stop.Cut.Add(1), Repeat: version.RepeatNever, Objective: time.Millisecond}, false},
		{"unsafe, short", time.Second, Request{Deadline: start.Add(time.Minute), Repeat: version.RepeatNever, Longest: time.Second}, true},
		{"unsafe, late", 5600 * time.Millisecond, Request{Deadline: start.Add(time.Minute), Repeat: version.RepeatNever, Longest: time.Second}, false},
		{"safe, at the same time", 5600 * time.Millisecond, Request{Deadline: start.Add(time.Minute), Repeat: version.RepeatSafe, Longest: time.Second}, true},
		{"long stream at the begin", 0, Request{Deadline: start.Add(12 * time.Second), Repeat: version.RepeatNever, Longest: 4 * time.Second}, true},
		{"long stream after a while", 1200 * time.Millisecond, Request{Deadline: start.Add(12 * time.Second), Repeat: version.RepeatNever, Longest: 4 * time.Second}, false},
		{"resumable stream then", 1200 * time.Millisecond, Request{Deadline: start.Add(12 * time.Second), Repeat: version.RepeatResume, Longest: 4 * time.Second}, true},
		{"resumable stream, none lately", 6 * time.Second, Request{Deadline: start.Add(12 * time.Second), Repeat: version.RepeatResume, Objective: 400 * time.Millisecond}, false},
		{"after the cut", 7 * time.Second, Request{Deadline: start.Add(12 * time.Second), Repeat: version.RepeatSafe}, false},
	} {
		if got := stop.MaySend(start.Add(c.after), c.request); got != c.want {
			t.Errorf("%s: sent is %t, want %t", c.name, got, c.want)
		}
	}
}

func TestDurations(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDurations()
	if d.Longest(now, "r") != 0 {
		t.Error("a route without requests has a duration")
	}
	d.Record(now, "r", 4*time.Second)
	d.Record(now, "r", time.Second)
	if got := d.Longest(now, "r"); got != 4*time.Second {
		t.Errorf("longest is %v, want 4s", got)
	}
	if got := d.Longest(now.Add(longestHalfLife), "r"); got != 2*time.Second {
		t.Errorf("longest is %v after its half-life, want 2s", got)
	}
	d.Record(now.Add(longestHalfLife), "r", 3*time.Second)
	if got := d.Longest(now.Add(longestHalfLife), "r"); got != 3*time.Second {
		t.Errorf("longest is %v, want the later 3s", got)
	}
	for i := range 2 * maxRoutes {
		d.Record(now.Add(time.Minute), strconv.Itoa(i), time.Second)
	}
	if len(d.byRoute) > maxRoutes {
		t.Errorf("%d routes are remembered, over %d", len(d.byRoute), maxRoutes)
	}
}
