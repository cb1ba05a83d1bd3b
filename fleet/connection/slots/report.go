package slots

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// pollQuiet is how often a warm upstream is asked for its load.
	pollQuiet = 15 * time.Second
	// pollBusy is how often one is asked that is cold, that has unknown load or
	// that others may give work to.
	pollBusy = 3 * time.Second
	// unsettledTime is how long after a change of the members another
	// dispatcher may give work to the same upstreams.
	unsettledTime = time.Minute
	// orphanWarm is how long a lost entry's work counts at a warm upstream.
	orphanWarm = 10 * time.Second
	// orphanMax is how long it counts at a cold one without any evidence.
	orphanMax = 10 * time.Minute
	// settledTime is how long the work of a process that has ended counts at an
	// upstream that does not report, until it has noticed.
	settledTime = 2 * time.Second
)

// Load is what an upstream reports of itself, late.
type Load struct {
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Cold is set while the upstream cannot bear its warm limit.
	Cold bool
}

// reported is what is kept of an upstream's reports.
type reported struct {
	// seen is set once the upstream has reported, or is known not to.
	seen bool
	// unknown is the load that no entry has registered, in requests.
	unknown int
	// last is when the last report came, and clean the last one without unknown
	// load; zero is never.
	last  time.Time
	clean time.Time
	// peak and previousPeak are the most holds since the last report and
	// between the two before it: a late report may still show them.
	peak         int
	previousPeak int
	nextPoll     time.Time
}

// Report takes an upstream's report. It may lower what the upstream gets, and
// never raises its limit.
func (t *Table) Report(now time.Time, upstream version.UpstreamID, load Load) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	if load.Cold {
		// One that had earned nothing yet starts again, too: answers to what it was
		// given before say nothing of it as it is now.
		s.returnCold()
	}
	r := &s.report
	r.seen = true
	r.last = now
	total := load.Running + load.Waiting
	r.unknown = max(0, total-max(r.peak, r.previousPeak))
	r.previousPeak, r.peak = r.peak, len(s.holds)
	if r.unknown == 0 {
		r.clean = now
	}
	t.dropOrphans(now, s, total)
	t.applyEvidence(now, s)
	t.refresh(now, s)
}

// covers reports whether a report shows all work that other dispatchers gave
// to the upstream before since. At a cold upstream there must be none; at a
// warm one it counts as used.
func (r *reported) covers(now, since time.Time, cold bool) bool {
	if cold {
		return r.clean.Sub(since) >= evidenceDelay
	}
	return r.last.Sub(since) >= evidenceDelay || now.Sub(since) >= unreportedTime
}

// NoReport notes that an upstream does not report its load.
func (t *Table) NoReport(now time.Time, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	s.report.seen = true
	t.applyEvidence(now, s)
}

// dropOrphans frees the slots of lost entries that the report shows as idle:
// those beyond the load that registered entries do not explain.
func (t *Table) dropOrphans(now time.Time, s *state, total int) {
	explained := 0
	var orphans []Hold
	for hold, info := range s.holds {
		switch {
		case !info.orphaned.IsZero():
			orphans = append(orphans, hold)
		case now.Sub(info.began) >= evidenceDelay:
			explained++
		}
	}
	running := max(0, total-explained)
	surplus := len(orphans) - running
	for _, hold := range orphans {
		if surplus > 0 && now.Sub(s.holds[hold].orphaned) >= evidenceDelay {
			s.drop(hold)
			surplus--
		}
	}
}

// Polls returns the upstreams whose load is to be asked for now.
func (t *Table) Polls(now time.Time) []version.UpstreamID {
	var due []version.UpstreamID
	for _, s := range t.order {
		if now.Before(s.report.nextPoll) {
			continue
		}
		s.report.nextPoll = now.Add(t.pollInterval(now, s))
		due = append(due, s.upstream.ID)
	}
	return due
}

func (t *Table) pollInterval(now time.Time, s *state) time.Duration {
	unsettled := now.Sub(t.members.changed) < unsettledTime
	if unsettled || s.cold() || s.report.unknown > 0 || s.usable < s.warmth.limit {
		return pollBusy
	}
	return pollQuiet
}

// Orphan marks the slots held by an entry that is registered no more. settled
// says that its process has ended.
func (t *Table) Orphan(now time.Time, vm version.VMID, incarnation uint64, settled bool) {
	for _, s := range t.upstreams {
		for hold, info := range s.holds {
			if hold.Key.Entry != vm || hold.Key.Incarnation != incarnation {
				continue
			}
			if info.orphaned.IsZero() || settled && !info.settled {
				info.orphaned = now
			}
			info.settled = info.settled || settled
			s.holds[hold] = info
		}
	}
}

// Held calls yield with each hold of an entry and its upstream.
func (t *Table) Held(vm version.VMID, incarnation uint64, yield func(Hold, version.UpstreamID)) {
	for id, s := range t.upstreams {
		for hold := range s.holds {
			if hold.Key.Entry == vm && hold.Key.Incarnation == incarnation {
				yield(hold, id)
			}
		}
	}
}

// expireOrphans frees the slots of lost entries after their time.
func (t *Table) expireOrphans(now time.Time, s *state) {
	for hold, info := range s.holds {
		if info.orphaned.IsZero() {
			continue
		}
		keep := orphanMax
		switch {
		case info.settled && s.report.last.IsZero():
			keep = settledTime
		case !s.cold():
			keep = orphanWarm
		}
		if now.Sub(info.orphaned) >= keep {
			s.drop(hold)
		}
	}
}

// Upstream describes an upstream's slots for people and metrics.
type Upstream struct {
	Upstream version.UpstreamID
	Used     int
	Limit    int
	Usable   int
	Cold     bool
	Ejected  bool
}

// Upstreams describes the upstreams in service, by ID.
func (t *Table) Upstreams(now time.Time) []Upstream {
	list := make([]Upstream, 0, len(t.order))
	for _, s := range t.order {
		list = append(list, t.describe(now, s))
	}
	return list
}

// Changed returns the upstreams that became cold, warm, ejected or not since
// the last call.
func (t *Table) Changed(now time.Time) []Upstream {
	var changed []Upstream
	for _, s := range t.order {
		cold, ejected := s.cold(), s.warmth.ejected(now)
		if cold == s.toldCold && ejected == s.toldEjected {
			continue
		}
		s.toldCold, s.toldEjected = cold, ejected
		changed = append(changed, t.describe(now, s))
	}
	return changed
}

func (t *Table) describe(now time.Time, s *state) Upstream {
	return Upstream{
		Upstream: s.upstream.ID,
		Used:     s.used(),
		Limit:    s.warmth.limit,
		Usable:   s.capacity(),
		Cold:     s.cold(),
		Ejected:  s.warmth.ejected(now),
	}
}
