package ledger

import (
	"sync/atomic"

	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// Stats holds totals since the start of the process and current counts.
type Stats struct {
	// Permitted, Replayed and Refused count the verdicts on this daemon's
	// claims.
	Permitted uint64 `json:"permitted"`
	Replayed  uint64 `json:"replayed"`
	Refused   uint64 `json:"refused"`
	// Reads and Writes count store calls. Conflicts, Limited and Unresolved
	// count the calls with the result of that name.
	Reads      uint64 `json:"reads"`
	Writes     uint64 `json:"writes"`
	Conflicts  uint64 `json:"conflicts"`
	Limited    uint64 `json:"limited"`
	Unresolved uint64 `json:"unresolved"`
	// Waiting is the current number of claims without a verdict.
	Waiting int `json:"waiting"`
	// Shards is the number of shards that this daemon owns.
	Shards int `json:"shards"`
}

// counters holds the totals of Stats.
type counters struct {
	permitted, replayed, refused   atomic.Uint64
	reads, writes                  atomic.Uint64
	conflicts, limited, unresolved atomic.Uint64
}

func (c *counters) countVerdict(v claim.Verdict) {
	switch {
	case v.Run != nil:
		c.permitted.Add(1)
	case v.Replay != nil:
		c.replayed.Add(1)
	default:
		c.refused.Add(1)
	}
}

func (c *counters) countResult(r core.Result) {
	switch r {
	case core.Conflict:
		c.conflicts.Add(1)
	case core.Limited:
		c.limited.Add(1)
	case core.Unresolved:
		c.unresolved.Add(1)
	}
}

// Stats returns the current totals and counts.
func (l *Ledger) Stats() Stats {
	waiting := l.waiters.Len()
	shards := 0
	for _, owner := range l.owners.Load() {
		if owner == (core.Owner{VM: l.options.VM}) {
			shards++
		}
	}
	c := &l.counters
	return Stats{
		Permitted:  c.permitted.Load(),
		Replayed:   c.replayed.Load(),
		Refused:    c.refused.Load(),
		Reads:      c.reads.Load(),
		Writes:     c.writes.Load(),
		Conflicts:  c.conflicts.Load(),
		Limited:    c.limited.Load(),
		Unresolved: c.unresolved.Load(),
		Waiting:    waiting,
		Shards:     shards,
	}
}
