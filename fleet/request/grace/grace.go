// Package grace decides which requests a process that is told to stop still sends to upstreams.
//
// What is in progress when the grace period ends is cut off, and its caller cannot know whether it
// was executed. A request that may not end in time is therefore refused while it has not run.
package grace

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Stop is a stop in progress.
type Stop struct {
	// Cut is when everything that is still in progress is cut off.
	Cut time.Time
}

// Request is a request that is about to be sent to an upstream.
type Request struct {
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	Repeat   version.RepeatPolicy
	// Longest is the longest that requests of the route took lately; 0 if there were none.
	Longest time.Duration
	// Objective is the route's target for the time to the first byte; 0 if it has none.
	Objective time.Duration
}

const (
	// unrepeatableMargin widens the longest time lately for requests that may not be executed
	// again, which a cut does the most harm.
	unrepeatableMargin = 1.5
	// objectivesToEnd is how many times its objective a request that may be repeated is expected
	// to take at most if none was answered lately.
	objectivesToEnd = 4
)

// MaySend reports whether a request that is sent at now is expected to end before the cut.
func (s Stop) MaySend(now time.Time, r Request) bool {
	if !r.Deadline.After(s.Cut) {
		return true
	}
	expected, margin := r.Longest, 1.0
	switch {
	case r.Repeat == version.RepeatNever && r.Longest == 0:
		return false
	case r.Repeat == version.RepeatNever:
		margin = unrepeatableMargin
	case r.Longest == 0:
		expected = objectivesToEnd * r.Objective
	}
	return now.Add(time.Duration(margin * float64(expected))).Before(s.Cut)
}

const (
	// longestHalfLife is the time in which the longest duration of a route halves.
	longestHalfLife = 20 * time.Second
	// maxRoutes limits the routes whose durations are remembered.
	maxRoutes = 1024
)

// Durations remembers how long the requests of each route took lately.
type Durations struct{ byRoute map[string]longest }

type longest struct {
	duration time.Duration
	at       time.Time
}

// NewDurations returns an empty memory of durations.
func NewDurations() *Durations { return &Durations{byRoute: make(map[string]longest)} }

// Record records that a request of a route ended at now.
func (d *Durations) Record(now time.Time, route string, duration time.Duration) {
	if duration < d.Longest(now, route) {
		return
	}
	if _, present := d.byRoute[route]; !present && len(d.byRoute) >= maxRoutes {
		d.dropOldest()
	}
	d.byRoute[route] = longest{duration, now}
}

// Longest returns the longest duration of a route, which decays with its age; 0 if there is none.
func (d *Durations) Longest(now time.Time, route string) time.Duration {
	l, present := d.byRoute[route]
	if !present {
		return 0
	}
	age := max(now.Sub(l.at), 0)
	return time.Duration(float64(l.duration) * math.Exp2(-float64(age)/float64(longestHalfLife)))
}

func (d *Durations) dropOldest() {
	var oldest string
	var at time.Time
	for route, l := range d.byRoute {
		if at.IsZero() || l.at.Before(at) {
			oldest, at = route, l.at
		}
	}
	delete(d.byRoute, oldest)
}
