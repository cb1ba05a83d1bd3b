// Package balance spreads requests over upstreams whose known load is out of date. Many VMs decide at
// the same time with much the same information; if each chose the upstream that looks best, they would
// overload it together and leave it together while others are idle (a herd effect).
//
// Two rules are for two kinds of work. Where upstreams do the same work at the same cost, Pick spreads
// requests so that all of them together even out the cost, including those that nobody has reported
// yet. Where most requests have an upstream of their own (prefix affinity) and the rest cost extra
// anywhere else, SampleSize bounds among how many upstreams one decision chooses, so that an upstream
// that looks idle is found by few.
//
// The package does no I/O, reads no clock and draws no random numbers: the caller passes them in.
package balance

import "math"

const (
	// minSample is the smallest sample: two upstreams by their load are much better than one.
	minSample = 2
	// sampleBudget is the number of unreported requests for each upstream, times the sample size,
	// that a pool bears. With more, VMs that sample the same upstream overload it.
	sampleBudget = 4
	// changesPerRequest is the number of changes of loads for each request that has been sent
	// unseen: while loads are steady, one has completed unseen for each, so that the known
	// differences have shrunk. With 1 the excess over the slots at news of 120 ms is half as high
	// again as by random choice, with 2 it is not above it.
	changesPerRequest = 2
)

// Choice is an upstream that could execute a request.
type Choice struct {
	// Index is the caller's own number of the choice.
	Index int
	// Cost is the predicted cost of the request there, and Slope by how much one more request
	// raises it; Slope is above 0. Any unit will do, the same for all choices.
	Cost, Slope float64
}

// Pick returns the Index of one of the choices, of which there must be one at least. unseen is the number of
// requests that others are expected to have sent to these choices since the state that the costs
// describe. random is from [0, 1).
//
// The unseen requests and this one are taken to raise the cheapest choices to one level, and each
// choice is picked with the probability with which a request is among those that it takes in. Without
// unseen requests this is one of the cheapest; with very many, choices are picked by capacity alone.
func Pick(choices []Choice, unseen, random float64) int {
	requests := requestsFor(unseen)
	level := levelOf(choices, requests)
	rest := random * requests
	last := choices[0].Index
	for _, c := range choices {
		if c.Cost >= level {
			continue
		}
		last = c.Index
		if rest -= c.takesIn(level); rest < 0 {
			break
		}
	}
	return last
}

// Chances returns the probability, 0 to 1, with which Pick picks each of the choices.
func Chances(choices []Choice, unseen float64) []float64 {
	requests := requestsFor(unseen)
	level := levelOf(choices, requests)
	chances := make([]float64, len(choices))
	for i, c := range choices {
		chances[i] = max(c.takesIn(level), 0) / requests
	}
	return chances
}

// requestsFor returns the number of requests that raise the choices, this one included.
func requestsFor(unseen float64) float64 { return changesPerRequest*max(unseen, 0) + 1 }

// takesIn returns the number of requests that raise the cost of the choice to a level.
func (c Choice) takesIn(level float64) float64 { return (level - c.Cost) / c.Slope }

// levelOf returns the cost to which requests raise the cheapest choices.
func levelOf(choices []Choice, requests float64) float64 {
	// Without the choices above the level, the level falls; those below it stay.
	level, taking := math.Inf(1), 0
	for {
		capacity, filled, n := 0.0, 0.0, 0
		for _, c := range choices {
			if c.Cost < level {
				capacity += 1 / c.Slope
				filled += c.Cost / c.Slope
				n++
			}
		}
		if n == taking || n == 0 {
			return level
		}
		level, taking = (requests+filled)/capacity, n
	}
}

// SampleSize returns among how many upstreams of a pool a decision chooses by their load, limit at
// most. unseen is the number of requests that others are expected to have sent to each upstream of the
// pool, on the mean, since the state that is known of it.
func SampleSize(unseen float64, limit int) int {
	if unseen*float64(limit) <= sampleBudget {
		return limit
	}
	return min(max(int(sampleBudget/unseen), minSample), limit)
}
