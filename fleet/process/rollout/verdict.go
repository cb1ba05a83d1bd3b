package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
)

// criterion says when the new version is worse than the old one in one respect. Both versions are
// compared by the fraction of bad responses.
type criterion struct {
	name string
	// bad and of are the counts that are compared.
	bad, of func(tally.Counts) float64
	// minExcess is the number of bad responses beyond those that the old version would have, and
	// minDifference by how much the fraction is higher. minRatio is how many times the expected
	// number the bad ones are at least.
	minExcess, minDifference, minRatio float64
	// minZ is the number of standard deviations by which bad responses exceed the expected number.
	minZ float64
	// prior is the fraction that is assumed of the old version before it is known.
	prior float64
}

// priorWeight is the number of responses that the prior fraction counts as.
const priorWeight = 10

var (
	// failures condemn early: four beyond the expected number, on several upstreams, are not
	// chance. A route may fail up to 14 % of its requests in ordinary operation.
	failures = criterion{
		name: "failed",
		bad:  func(c tally.Counts) float64 { return float64(c.Failed) },
		of:   func(c tally.Counts) float64 { return float64(c.Ended) },

		minExcess: 4, minDifference: 0.02, minRatio: 1.5, minZ: 4, prior: 0.1,
	}
	// slowness needs more: machines that others load are slow for 600 ms at a time, so that slow
	// responses come in clusters.
	slowness = criterion{
		name: "were slow",
		bad:  func(c tally.Counts) float64 { return float64(c.Slow) },
		of:   func(c tally.Counts) float64 { return float64(c.Timed) },

		minExcess: 8, minDifference: 0.2, minRatio: 2.5, minZ: 5, prior: 0.05,
	}
)

const (
	// suspectZ and suspectExcess make a canary that is not condemned doubtful, so that it is
	// watched for longer.
	suspectZ      = 2.5
	suspectExcess = 2
	// soloExcess is the number of bad responses beyond the expected ones that condemn a version
	// with one upstream, which cannot be compared with others.
	soloExcess = 10
	// spreadFraction is the number of upstreams with bad responses beyond those that the expected
	// ones explain, relative to how many there would be if all were spread evenly. Crashes of a few
	// upstreams, or of a data centre, stay below it.
	spreadFraction = 0.6
	// minRestExcess is the number of bad responses beyond the expected ones without those of the
	// worst upstream.
	minRestExcess = 2
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
}

func (a comparison) excess() float64 { return a.bad - a.expected }

// z returns by how many standard deviations the bad responses exceed the expected number. The
// quarter stands for counts being whole.
func (a comparison) z() float64 { return a.excess() / math.Sqrt(a.variance+0.25) }

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
		a.expected + b.expected, a.variance + b.variance,
	}
}

// meets reports whether a comparison meets the criterion.
func (k criterion) meets(a comparison) bool {
	return a.excess() >= k.minExcess && a.z() >= k.minZ && a.bad >= k.minRatio*a.expected &&
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
func (k criterion) test(before, total *tally.Order, upstreams int, name func(uint32) string) finding {
	var all comparison
	var result finding
	reason := ""
	for _, hash := range slices.Sorted(maps.Keys(total.Routes)) {
		whole := total.Routes[hash]
		window := tally.Route{New: whole.New.Minus(before.Routes[hash].New), Old: whole.Old.Minus(before.Routes[hash].Old)}
		a := k.compare(window, whole)
		all = all.plus(a)
		result.doubtful = result.doubtful || a.excess() >= suspectExcess && a.z() >= suspectZ
		if reason == "" && k.meets(a) {
			reason = k.reason(name(hash), a)
		}
	}
	if reason == "" && k.meets(all) {
		reason = k.reason("all routes", all)
	}
	result.doubtful = result.doubtful || all.excess() >= suspectExcess && all.z() >= suspectZ
	if reason != "" && k.isSpread(before, total, all, upstreams) {
		result.reason = reason
	}
	return result
}

func (k criterion) reason(route string, a comparison) string {
	return fmt.Sprintf("%s: %.0f of %.0f responses %s, %.0f of %.0f at other versions", route, a.bad, a.ended, k.name, a.oldBad, a.oldEnded)
}

// isSpread reports whether the bad responses come from several upstreams, as those of a bad version
// do, and not from one or a few that are bad or have crashed.
func (k criterion) isSpread(before, total *tally.Order, all comparison, upstreams int) bool {
	var bad, worst, worstEnded, distinct float64
	for id, counts := range total.Upstreams {
		counts = counts.Minus(before.Upstreams[id])
		b := k.bad(counts)
		bad += b
		if b > 0 {
			distinct++
		}
		if b > worst {
			worst, worstEnded = b, k.of(counts)
		}
	}
	if upstreams <= 1 {
		return all.excess() >= soloExcess
	}
	rest := bad - worst - all.expected*(1-worstEnded/max(all.ended, 1))
	touched := func(bad float64) float64 { return float64(upstreams) * (1 - math.Exp(-bad/float64(upstreams))) }
	explained := touched(all.expected)
	return rest >= minRestExcess && distinct-explained >= spreadFraction*(touched(bad)-explained)
}
