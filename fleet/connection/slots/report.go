package slots

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// quietPollInterval is how often a warm upstream is polled for its load.
	quietPollInterval = 15 * time.Second
	// busyPollInterval is how often an upstream is polled that is cold, has
	// unregistered load or may get work from another dispatcher.
	busyPollInterval = 3 * time.Second
	// membershipSettleTime is how long after a change of the members another dispatcher
	// may still give work to the same upstreams.
	membershipSettleTime = time.Minute
	// warmOrphanLifetime is how long the holds of a lost entry count at a warm
	// upstream.
	warmOrphanLifetime = 10 * time.Second
	// maxOrphanLifetime is how long they count at a cold upstream whose reports do not
	// show that the attempts ended.
	maxOrphanLifetime = 10 * time.Minute
	// endedProcessLifetime is how long the holds of a process that has ended count at
	// an upstream that does not report: the time that the upstream needs to notice.
	endedProcessLifetime = 2 * time.Second
)

// Load is an upstream's own report of its load. It may lag behind by up to
// maxReportDelay.
type Load struct {
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Cold is set while the upstream cannot handle its warm limit.
	Cold bool
}

// loadReports is the state derived from an upstream's load reports.
type loadReports struct {
	// reportingKnown is set once the upstream has reported, or is known not to report.
	reportingKnown bool
	// unregistered is the reported load that no entry has registered, in requests.
	unregistered int
	// lastAt is when the last report came, and lastCleanAt when the last one without
	// unregistered load came; zero is never.
	lastAt      time.Time
	lastCleanAt time.Time
	// peak is the largest number of holds since the last report, and previousPeak the
	// largest between that report and the one before. A delayed report may still show
	// either.
	peak         int
	previousPeak int
	nextPoll     time.Time
}

// Report applies a load report of an upstream. A report may lower the upstream's limit
// but never raises it.
func (t *Table) Report(now time.Time, upstream version.UpstreamID, load Load) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	if load.Cold {
		// Also done if the limit is still the cold one, because it starts a new epoch:
		// prompt answers to requests granted earlier say nothing about the upstream as
		// it is now.
		s.returnToColdLimit()
	}
	r := &s.reports
	r.reportingKnown = true
	r.lastAt = now
	total := load.Running + load.Waiting
	r.unregistered = max(0, total-max(r.peak, r.previousPeak))
	r.previousPeak, r.peak = r.peak, len(s.holds)
	if r.unregistered == 0 {
		r.lastCleanAt = now
	}
	t.dropOrphans(now, s, total)
	t.applyEvidence(now, s)
	t.recountUsable(now, s)
}

// coversWorkBefore reports whether the latest report shows all work that other
// dispatchers gave to the upstream before since. At a cold upstream the report must show
// no unregistered load; at a warm one such load counts as used. A warm upstream that does
// not report counts as covered once noReportTimeout has passed.
func (r *loadReports) coversWorkBefore(now, since time.Time, cold bool) bool {
	if cold {
		return r.lastCleanAt.Sub(since) >= maxReportDelay
	}
	return r.lastAt.Sub(since) >= maxReportDelay || now.Sub(since) >= noReportTimeout
}

// NoReport records that an upstream does not report its load.
func (t *Table) NoReport(now time.Time, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	s.reports.reportingKnown = true
	t.applyEvidence(now, s)
}

// dropOrphans frees holds of lost entries that a report shows to be finished. The load
// that registered entries do not explain is attributed to such holds; the holds beyond
// it are freed.
func (t *Table) dropOrphans(now time.Time, s *upstreamState, total int) {
	explained := 0
	var orphans []Hold
	for hold, info := range s.holds {
		switch {
		case !info.orphanedAt.IsZero():
			orphans = append(orphans, hold)
		case now.Sub(info.acquiredAt) >= maxReportDelay:
			explained++
		}
	}
	unexplained := max(0, total-explained)
	surplus := len(orphans) - unexplained
	for _, hold := range orphans {
		if surplus > 0 && now.Sub(s.holds[hold].orphanedAt) >= maxReportDelay {
			s.removeHold(hold)
			surplus--
		}
	}
}

// DuePolls returns the upstreams that are due to be polled for their load, and schedules
// their next poll.
func (t *Table) DuePolls(now time.Time) []version.UpstreamID {
	var due []version.UpstreamID
	for _, s := range t.inService {
		if now.Before(s.reports.nextPoll) {
			continue
		}
		s.reports.nextPoll = now.Add(t.pollInterval(now, s))
		due = append(due, s.upstream.ID)
	}
	return due
}

func (t *Table) pollInterval(now time.Time, s *upstreamState) time.Duration {
	unsettled := now.Sub(t.members.changedAt) < membershipSettleTime
	if unsettled || s.cold() || s.reports.unregistered > 0 || s.usable < s.slowStart.limit {
		return busyPollInterval
	}
	return quietPollInterval
}

// Orphan marks the holds of an entry that is no longer registered. processEnded is set
// if its process has ended.
func (t *Table) Orphan(now time.Time, vm version.VMID, incarnation uint64, processEnded bool) {
	for _, s := range t.upstreams {
		for hold, info := range s.holds {
			if hold.Key.Entry != vm || hold.Key.Incarnation != incarnation {
				continue
			}
			if info.orphanedAt.IsZero() || processEnded && !info.processEnded {
				info.orphanedAt = now
			}
			info.processEnded = info.processEnded || processEnded
			s.holds[hold] = info
		}
	}
}

// EachHold calls yield with each hold of an entry and its upstream.
func (t *Table) EachHold(vm version.VMID, incarnation uint64, yield func(Hold, version.UpstreamID)) {
	for id, s := range t.upstreams {
		for hold := range s.holds {
			if hold.Key.Entry == vm && hold.Key.Incarnation == incarnation {
				yield(hold, id)
			}
		}
	}
}

// expireOrphans frees the holds of lost entries whose lifetime has passed.
func (t *Table) expireOrphans(now time.Time, s *upstreamState) {
	for hold, info := range s.holds {
		if info.orphanedAt.IsZero() {
			continue
		}
		lifetime := maxOrphanLifetime
		switch {
		case info.processEnded && s.reports.lastAt.IsZero():
			lifetime = endedProcessLifetime
		case !s.cold():
			lifetime = warmOrphanLifetime
		}
		if now.Sub(info.orphanedAt) >= lifetime {
			s.removeHold(hold)
		}
	}
}

// Upstream describes an upstream's slots for operators and metrics.
type Upstream struct {
	Upstream version.UpstreamID
	Used     int
	Limit    int
	Usable   int
	Cold     bool
	Ejected  bool
	// NamedLimit is the limit that the upstream names, and Sent the requests granted
	// within the window of limits.
	NamedLimit ratelimit.Limit
	Sent       int
}

// Upstreams describes the upstreams in service, sorted by ID.
func (t *Table) Upstreams(now time.Time) []Upstream {
	list := make([]Upstream, 0, len(t.inService))
	for _, s := range t.inService {
		list = append(list, t.describe(now, s))
	}
	return list
}

// Changed returns the upstreams whose Cold or Ejected has changed since the last call.
func (t *Table) Changed(now time.Time) []Upstream {
	var changed []Upstream
	for _, s := range t.inService {
		cold, ejected := s.cold(), s.slowStart.ejected(now)
		if cold == s.notifiedCold && ejected == s.notifiedEjected {
			continue
		}
		s.notifiedCold, s.notifiedEjected = cold, ejected
		changed = append(changed, t.describe(now, s))
	}
	return changed
}

func (t *Table) describe(now time.Time, s *upstreamState) Upstream {
	return Upstream{
		Upstream: s.upstream.ID,
		Used:     s.used(),
		Limit:    s.slowStart.limit,
		Usable:   s.capacity(),
		Cold:     s.cold(),
		Ejected:  s.slowStart.ejected(now),

		NamedLimit: s.limit,
		Sent:       s.sends.Within(now, ratelimit.Window),
	}
}
