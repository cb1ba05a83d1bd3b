// Package storeera orders the answers of a store that may return from an older copy of itself.
//
// Each return begins a new era. Within an era revisions only grow; in a new era they continue from
// the copy and are given out again. So states are ordered by era first, then by revision.
package storeera

import (
	"cmp"
	"time"
)

// SettleTime is how long after its return from an older copy the store may lack what its writers
// had written since that copy: they write it again.
const SettleTime = 2 * time.Second

// Position is a state of the store. The zero value precedes every other.
type Position struct {
	// Era counts the store's returns from older copies; 0 if the store names no era.
	Era uint64
	// Revision is the store's revision within the era.
	Revision uint64
}

// Compare returns a negative number if p precedes q, 0 if they are equal and a positive number
// otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Verdict says what an answer's era means.
type Verdict uint8

const (
	// Current is an answer of the era that is followed.
	Current Verdict = iota
	// Advanced is the first answer of a newer era.
	Advanced
	// Outdated is an answer of an older era, or of none although eras are known. It must not
	// replace anything.
	Outdated
)

// Tracker follows the era of the store. The zero value knows none.
type Tracker struct {
	era uint64
	// observed is set once there was an answer.
	observed bool
	since    time.Time
}

// Observe takes in the era of an answer.
func (t *Tracker) Observe(now time.Time, era uint64) Verdict {
	first := !t.observed
	t.observed = true
	switch {
	case era == t.era:
		return Current
	case era < t.era:
		return Outdated
	case first:
		// The first answer says nothing of when the era began.
		t.era = era
		return Current
	}
	t.era, t.since = era, now
	return Advanced
}

// Era returns the era that is followed; 0 if none is known.
func (t *Tracker) Era() uint64 { return t.era }

// Since returns when the present era was first observed; zero if it is the first one known.
func (t *Tracker) Since() time.Time { return t.since }

// Settled reports whether the store has caught up with what was written before its last return.
func (t *Tracker) Settled(now time.Time) bool {
	return t.since.IsZero() || now.Sub(t.since) >= SettleTime
}
