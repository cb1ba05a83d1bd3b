package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// Saved is a hold as it is kept outside the processes of the fleet, which may all end at once. It
// has no times, since they count from the start of a process.
type Saved struct {
	Subject Subject
	Round   uint32
	Crashes int
	Trials  int
}

// Saved returns the holds in force, in the order of their subjects.
func (t *Tracker) Saved() []Saved {
	list := make([]Saved, 0, len(t.holds))
	for subject, h := range t.holds {
		list = append(list, Saved{Subject: subject, Round: h.Round, Crashes: h.Crashes, Trials: h.Trials})
	}
	slices.SortFunc(list, func(a, b Saved) int { return cmp.Or(a.Subject.compare(b.Subject), cmp.Compare(a.Round, b.Round)) })
	return list
}

// Restore puts saved holds in force that this VM does not know, unless they were released since.
func (t *Tracker) Restore(now time.Time, saved []Saved) {
	for _, s := range saved[:min(len(saved), maxHolds+maxHeldRequests)] {
		t.mergeHold(now, s.Subject, wire.SegmentHold{
			Segment: s.Subject.ID, Round: s.Round, Crashes: uint32(max(s.Crashes, 0)), Trials: uint32(max(s.Trials, 0)),
			NextTrialMS: uint32(trialInterval(s.Trials).Milliseconds()),
		})
	}
}
