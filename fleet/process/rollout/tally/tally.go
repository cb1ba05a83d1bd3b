// Package tally adds up what VMs report of rollouts.
package tally

import (
	"cmp"
	"maps"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Counts counts attempts that have ended.
type Counts struct{ Ended, Failed, Timed, Slow uint32 }

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts {
	return Counts{c.Ended + other.Ended, c.Failed + other.Failed, c.Timed + other.Timed, c.Slow + other.Slow}
}

// Minus returns what c exceeds other by, at least 0.
func (c Counts) Minus(other Counts) Counts {
	return Counts{
		c.Ended - min(other.Ended, c.Ended), c.Failed - min(other.Failed, c.Failed),
		c.Timed - min(other.Timed, c.Timed), c.Slow - min(other.Slow, c.Slow),
	}
}

func (c Counts) max(other Counts) Counts {
	return Counts{
		max(c.Ended, other.Ended), max(c.Failed, other.Failed), max(c.Timed, other.Timed), max(c.Slow, other.Slow),
	}
}

func (c Counts) wire() wire.RolloutCounts {
	return wire.RolloutCounts{Ended: c.Ended, Failed: c.Failed, Timed: c.Timed, Slow: c.Slow}
}

func fromWire(c wire.RolloutCounts) Counts { return Counts{c.Ended, c.Failed, c.Timed, c.Slow} }

// Route counts the attempts of a route at the new version and at the others.
type Route struct{ New, Old Counts }

// Order is what was observed of one order.
type Order struct {
	// ElapsedMS, Progress and Condemned are the highest value and the first reason that a VM
	// reported.
	ElapsedMS uint32
	Progress  uint8
	Condemned string
	// Drained and OldRunning describe the present.
	Drained, OldRunning uint32
	// Requests, Sent, Routes and Upstreams only grow.
	Requests, Sent uint64
	Routes         map[uint32]Route
	Upstreams      map[version.UpstreamID]Counts
}

// New returns an empty tally.
func New() *Order {
	return &Order{Routes: make(map[uint32]Route), Upstreams: make(map[version.UpstreamID]Counts)}
}

// FromWire returns the tally of a report.
func FromWire(report wire.RolloutOrder) *Order {
	o := New()
	o.ElapsedMS, o.Progress, o.Condemned = report.ElapsedMS, report.Progress, report.Condemned
	o.Drained, o.OldRunning = report.Drained, report.OldRunning
	o.Requests, o.Sent = report.Requests, report.Sent
	for _, route := range report.Routes[:min(len(report.Routes), wire.MaxRolloutRoutes)] {
		o.Routes[route.Route] = Route{New: fromWire(route.New), Old: fromWire(route.Old)}
	}
	for _, upstream := range report.Upstreams[:min(len(report.Upstreams), wire.MaxRolloutUpstreams)] {
		o.Upstreams[upstream.Upstream] = fromWire(upstream.Counts)
	}
	return o
}

// Wire returns the report of the tally. Routes beyond the bound are summed up; of the upstreams
// beyond it those with the fewest failures are left out.
func (o *Order) Wire(key uint64) wire.RolloutOrder {
	report := wire.RolloutOrder{
		Key: key, ElapsedMS: o.ElapsedMS, Progress: o.Progress, Condemned: o.Condemned,
		Drained: o.Drained, OldRunning: o.OldRunning, Requests: o.Requests, Sent: o.Sent,
	}
	var rest Route
	for _, hash := range slices.Sorted(maps.Keys(o.Routes)) {
		route := o.Routes[hash]
		if hash == 0 || len(report.Routes) == wire.MaxRolloutRoutes-1 {
			rest = Route{rest.New.Plus(route.New), rest.Old.Plus(route.Old)}
			continue
		}
		report.Routes = append(report.Routes, wire.RolloutRoute{Route: hash, New: route.New.wire(), Old: route.Old.wire()})
	}
	if rest != (Route{}) {
		report.Routes = append(report.Routes, wire.RolloutRoute{New: rest.New.wire(), Old: rest.Old.wire()})
	}
	for id, counts := range o.Upstreams {
		report.Upstreams = append(report.Upstreams, wire.RolloutUpstream{Upstream: id, Counts: counts.wire()})
	}
	if len(report.Upstreams) > wire.MaxRolloutUpstreams {
		slices.SortFunc(report.Upstreams, func(a, b wire.RolloutUpstream) int {
			return cmp.Or(
				cmp.Compare(b.Counts.Failed+b.Counts.Slow, a.Counts.Failed+a.Counts.Slow), cmp.Compare(a.Upstream, b.Upstream))
		})
		report.Upstreams = report.Upstreams[:wire.MaxRolloutUpstreams]
	}
	return report
}

// Add adds the tally of other VMs.
func (o *Order) Add(other *Order) {
	o.raiseProgress(other)
	o.Drained += other.Drained
	o.OldRunning += other.OldRunning
	o.Requests += other.Requests
	o.Sent += other.Sent
	for hash, route := range other.Routes {
		known := o.Routes[hash]
		o.Routes[hash] = Route{known.New.Plus(route.New), known.Old.Plus(route.Old)}
	}
	for id, counts := range other.Upstreams {
		o.Upstreams[id] = o.Upstreams[id].Plus(counts)
	}
}

// Subtract takes away the counts of VMs that were added before.
func (o *Order) Subtract(other *Order) {
	o.Drained -= min(other.Drained, o.Drained)
	o.OldRunning -= min(other.OldRunning, o.OldRunning)
	o.Requests -= min(other.Requests, o.Requests)
	o.Sent -= min(other.Sent, o.Sent)
	for hash, route := range other.Routes {
		known := o.Routes[hash]
		o.Routes[hash] = Route{known.New.Minus(route.New), known.Old.Minus(route.Old)}
	}
	for id, counts := range other.Upstreams {
		o.Upstreams[id] = o.Upstreams[id].Minus(counts)
	}
}

// Raise takes in a later tally of the same VMs: counts are raised to its counts, and what describes
// the present is replaced.
func (o *Order) Raise(later *Order) {
	o.raiseProgress(later)
	o.Drained, o.OldRunning = later.Drained, later.OldRunning
	o.Requests, o.Sent = max(o.Requests, later.Requests), max(o.Sent, later.Sent)
	for hash, route := range later.Routes {
		known := o.Routes[hash]
		o.Routes[hash] = Route{known.New.max(route.New), known.Old.max(route.Old)}
	}
	for id, counts := range later.Upstreams {
		o.Upstreams[id] = o.Upstreams[id].max(counts)
	}
}

func (o *Order) raiseProgress(other *Order) {
	o.ElapsedMS, o.Progress = max(o.ElapsedMS, other.ElapsedMS), max(o.Progress, other.Progress)
	o.Condemned = cmp.Or(o.Condemned, other.Condemned)
}

// Bad returns how many responses of the new version have failed or were slow.
func (o *Order) Bad() int {
	bad := 0
	for _, route := range o.Routes {
		bad += int(route.New.Failed) + int(route.New.Slow)
	}
	return bad
}

// Clone returns a copy.
func (o *Order) Clone() *Order {
	clone := *o
	clone.Routes, clone.Upstreams = maps.Clone(o.Routes), maps.Clone(o.Upstreams)
	return &clone
}
