package slots

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ObserveLimit applies what an upstream's answer says of the rate that it takes from the whole
// fleet. age is the time since the request of that answer was sent.
func (t *Table) ObserveLimit(now time.Time, upstream version.UpstreamID, age time.Duration, limit request.RateLimit) {
	if s, present := t.upstreams[upstream]; present {
		s.limit.Observe(now, now.Add(-age), limit)
	}
}

// withinLimit reports whether another request may be granted at an upstream that may name a
// limit.
func (t *Table) withinLimit(now time.Time, s *upstreamState) bool {
	if !s.limit.Named() {
		return true
	}
	// What the dispatcher before this one granted is not known, but may still count.
	known := min(now.Sub(t.startedAt).Seconds()/ratelimit.Window.Seconds(), 1)
	return float64(s.sends.Within(now, ratelimit.Window)+1) <= s.limit.Budget(now)*t.members.ownedPart(s)*known
}

// ownedPart returns the part of an upstream's slots, 0 to 1, whose owner is registered here.
func (m *members) ownedPart(s *upstreamState) float64 {
	if len(s.owners.warm) == 0 {
		return 0
	}
	owned := 0
	for _, owner := range s.owners.warm {
		if owner != noOwner && m.list[owner].registered {
			owned++
		}
	}
	return float64(owned) / float64(len(s.owners.warm))
}
