// Package slots decides how much work each upstream may hold.
//
// A slot is the right to run one request at an upstream. A Table belongs to
// one dispatcher and one pool.
package slots

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Hold identifies the attempt that holds a slot.
type Hold struct {
	Key     request.Key
	Attempt request.Attempt
}

// Table holds the slots of a pool's upstreams in one data centre. It is not
// safe for concurrent use.
//
// Invariant: an upstream never holds more than its limit, except for attempts
// that registered with Occupy.
type Table struct {
	upstreams map[version.UpstreamID]*state
	order     []version.UpstreamID
}

// state is what is kept per upstream.
type state struct {
	upstream *version.Upstream
	limit    int
	holds    map[Hold]struct{}
}

// New returns a table without upstreams.
func New() *Table {
	return &Table{upstreams: make(map[version.UpstreamID]*state)}
}

// Configure replaces the set of upstreams and keeps what is held at those that
// stay.
func (t *Table) Configure(upstreams []*version.Upstream) {
	kept := make(map[version.UpstreamID]*state, len(upstreams))
	t.order = t.order[:0]
	for _, upstream := range upstreams {
		s, present := t.upstreams[upstream.ID]
		if !present {
			s = &state{limit: upstream.ColdLimit, holds: make(map[Hold]struct{})}
		}
		s.upstream = upstream
		s.limit = min(s.limit, upstream.WarmLimit)
		kept[upstream.ID] = s
		t.order = append(t.order, upstream.ID)
	}
	slices.Sort(t.order)
	t.upstreams = kept
}

// Acquire takes a slot at the least loaded upstream other than avoid. It falls
// back to avoid if no other upstream has a free slot.
func (t *Table) Acquire(_ time.Time, hold Hold, avoid version.UpstreamID) (version.UpstreamID, bool) {
	var best *state
	var bestLoad float64
	for _, id := range t.order {
		s := t.upstreams[id]
		if len(s.holds) >= s.limit {
			continue
		}
		load := float64(len(s.holds)) / float64(s.limit)
		if id == avoid {
			load++
		}
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best == nil {
		return 0, false
	}
	best.holds[hold] = struct{}{}
	return best.upstream.ID, true
}

// Occupy records an attempt that already runs.
func (t *Table) Occupy(hold Hold, upstream version.UpstreamID) {
	if s, present := t.upstreams[upstream]; present {
		s.holds[hold] = struct{}{}
	}
}

// Release frees the slot of a finished attempt and learns from its outcome.
func (t *Table) Release(_ time.Time, hold Hold, finish request.Finish) {
	s, present := t.upstreams[finish.Upstream]
	if !present {
		return
	}
	if _, held := s.holds[hold]; !held {
		return
	}
	delete(s.holds, hold)
	if finish.Outcome == request.OutcomeDone {
		s.limit = min(s.limit+1, s.upstream.WarmLimit)
	}
}

// Empty reports whether the table has no upstream at all.
func (t *Table) Empty() bool { return len(t.upstreams) == 0 }
