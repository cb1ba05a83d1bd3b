package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
)

// An event is what the bad responses of one upstream within a historyStep count as: one.

// criterion says when the new version is worse than the old one in one respect. Both versions are
// compared by the fraction of bad responses.
type criterion struct {
	name string
	// bad and of are the counts that are compared.
	bad, of func(tally.Counts) float64
	// minEvents is the number of events beyond those that the old version would have, and
	// minDifference by how much the fraction of bad responses is higher. minRatio is how many times
	// the expected number the bad ones are at least.
	minEvents, minDifference, minRatio float64
	// minZ is the number of standard deviations by which bad responses exceed the expected number.
	minZ float64
	// prior is the fraction that is assumed of the old version before it is known.
	prior float64
}

// priorWeight is the number of responses that the prior fraction counts as.
const priorWeight = 10

var (
	// failures condemn early: five events beyond the expected ones, on several upstreams, are not
	// chance. A route may fail up to 14 % of its requests in ordinary operation.
	failures = criterion{
		name: "failed",
		bad:  func(c tally.Counts) float64 { return float64(c.Failed) },
		of:   func(c tally.Counts) float64 { return float64(c.Ended) },

		minEvents: 5, minDifference: 0.02, minRatio: 1.5, minZ: 4.5, prior: 0.1,
	}
	// slowness needs more: machines that others load are slow for 600 ms at a time, so that slow
	// responses come in clusters.
	slowness = criterion{
		name: "were slow",
		bad:  func(c tally.Counts) float64 { return float64(c.Slow) },
		of:   func(c tally.Counts) float64 { return float64(c.Timed) },

		minEvents: 6, minDifference: 0.2, minRatio: 2.5, minZ: 5, prior: 0.05,
	}
)

const (
	// suspectZ and suspectEvents make a canary that is not condemned doubtful, so that it is
	// watched for longer.
	suspectZ      = 2.5
	suspectEvents = 2
	// lastLookZ replaces minZ before the order is done.
	lastLookZ = 4
	// soloEvents is the number of events beyond the expected ones that condemn a version with one
	// upstream, which cannot be compared with others.
	soloEvents = 8
	// spreadFraction is the number of upstreams with events beyond those that the expected ones
	// explain, relative to how many there would be if all were spread evenly. Crashes of a few
	// upstreams, or of a data centre, stay below it.
	spreadFraction = 0.6
	// minRestEvents is the number of events beyond the expected ones without those of the worst
	// upstream.
	minRestEvents = 2
	// minWindowOlds is the number of responses of the old version within a window from which its
	// fraction is used.
	minWindowOlds = 30
)

// comparison compares the versions over one window, for all routes together or one of them.
type comparison struct {
	// ended and bad count the responses of the new version, oldEnded and oldBad those of the old.
	ended, bad, oldEnded, oldBad float64
	// expected is the number of bad responses that the old version would have had.
	expected, variance float64
	// burst is the number of bad responses in an event, of which the responses of an event are not
	// independent.
	burst float64
}

func (a comparison) excess() float64 { return a.bad - a.expected }

// events returns the number of events beyond the expected ones.
func (a comparison) events() float64 { return a.excess() / a.burst }

// z returns by how many standard deviations the bad responses exceed the expected number. The
// quarter stands for counts being whole.
func (a comparison) z() float64 { return a.excess() / math.Sqrt(a.variance*a.burst+0.25) }

// compare compares the versions on one route. window holds what has ended in the window and whole
// what has ended since the order.
func (k criterion) compare(window, whole tally.Route) comparison {
	a := comparison{
		ended: k.of(window.New), bad: k.bad(window.New), oldEnded: k.of(whole.Old), oldBad: k.bad(whole.Old),
	}
	fraction := (a.oldBad + k.prior*priorWeight) / (a.oldEnded + priorWeight)
	if n := k.of(window.Old); n >= minWindowOlds {
		// On a bad day the old version fails at the same time.
		fraction = max(fraction, (k.bad(window.Old)+k.prior)/(n+1))
	}
	a.expected = a.ended * fraction
	a.variance = a.expected * (1 - fraction) * (1 + a.ended/(a.oldEnded+priorWeight))
	return a
}

func (a comparison) plus(b comparison) comparison {
	return comparison{
		a.ended + b.ended, a.bad + b.bad, a.oldEnded + b.oldEnded, a.oldBad + b.oldBad,
		a.expected + b.expected, a.variance + b.variance, 1,
	}
}

// meets reports whether a comparison meets the criterion.
func (k criterion) meets(a comparison) bool {
	return a.events() >= k.minEvents && a.z() >= k.minZ && a.bad >= k.minRatio*a.expected &&
		a.excess() >= k.minDifference*a.ended
}

// finding is the outcome of a test.
type finding struct {
	// reason says why the version is bad; empty if it is not found to be.
	reason string
	// doubtful is set if it may be bad.
	doubtful bool
}

// test tests the new version by one criterion, per route and over all routes. upstreams is the
// number of upstreams that the requests were spread over.
func (k criterion) test(before, present snapshot, upstreams int, name func(uint32) string) finding {
	var all comparison
	var result finding
	reason := ""
	bad, events := k.events(before, present)
	check := func(route string, a comparison) {
		// It is not known on which routes the responses of an event were: at worst, on this one.
		a.burst = max(a.bad, 1) / max(a.bad-(bad-events), 1)
		result.doubtful = result.doubtful || a.events() >= suspectEvents && a.z() >= suspectZ
		if reason == "" && k.meets(a) {
			reason = k.reason(route, a)
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(present.total.Routes)) {
		whole, earlier := present.total.Routes[hash], before.total.Routes[hash]
		a := k.compare(tally.Route{New: whole.New.Minus(earlier.New), Old: whole.Old.Minus(earlier.Old)}, whole)
		all = all.plus(a)
		check(name(hash), a)
	}
	check("all routes", all)
	all.burst = max(bad, 1) / max(events, 1)
	if reason != "" && k.isSpread(before, present, all, upstreams) {
		result.reason = reason
	}
	return result
}

// events returns the numbers of bad responses and of events in a window.
func (k criterion) events(before, present snapshot) (bad, events float64) {
	for id, counts := range present.total.Upstreams {
		bad += k.bad(counts.Minus(before.total.Upstreams[id]))
		events += k.bad(present.events[id].Minus(before.events[id]))
	}
	return bad, events
}

func (k criterion) reason(route string, a comparison) string {
	return fmt.Sprintf("%s: %.0f of %.0f responses %s, %.0f of %.0f at other versions", route, a.bad, a.ended, k.name, a.oldBad, a.oldEnded)
}

// isSpread reports whether the events come from several upstreams, as those of a bad version
// do, and not from one or a few that are bad or have crashed.
func (k criterion) isSpread(before, present snapshot, all comparison, upstreams int) bool {
	var events, worst, worstEnded, distinct float64
	for id, counts := range present.events {
		n := k.bad(counts.Minus(before.events[id]))
		events += n
		if n > 0 {
			distinct++
		}
		if n > worst {
			worst, worstEnded = n, k.of(present.total.Upstreams[id].Minus(before.total.Upstreams[id]))
		}
	}
	expected := all.expected / all.burst
	if upstreams <= 1 {
		return events-expected >= soloEvents
	}
	rest := events - worst - expected*(1-worstEnded/max(all.ended, 1))
	touched := func(events float64) float64 {
		return float64(upstreams) * (1 - math.Exp(-events/float64(upstreams)))
	}
	return rest >= minRestEvents && distinct-touched(expected) >= spreadFraction*(touched(events)-touched(expected))
}
