// Package slots decides how many concurrent requests each upstream may run.
//
// A slot is the right to run one request at an upstream. A Table belongs to one
// dispatcher and one pool. The slots that it grants at an upstream are bounded by:
//
//   - the slow-start limit, which the upstream raises by answering promptly
//     (warmth.go);
//   - slot ownership: each slot of the limit belongs to one VM, and only slots
//     whose owner is registered with this dispatcher are usable, so that two
//     dispatchers never use the same slot (owner.go);
//   - the slots that the upstream's owning team reserves for itself (team lending,
//     in this file);
//   - load that the upstream reports but that no entry has registered
//     (report.go);
//   - the request rate that the upstream names, of which this dispatcher has the part
//     of the slots that it owns (limit.go).
package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Hold identifies the attempt that occupies a slot.
type Hold struct {
	Key     request.Key
	Attempt request.Attempt
}

// Demand describes the request that a slot is wanted for.
type Demand struct {
	Hold Hold
	// Team is the account's team; empty if it has none.
	Team string
	// Avoid is an upstream to use only if no other has a free slot; 0 is none.
	Avoid version.UpstreamID
	// Prefix is a hash of the first bytes of the prompt; 0 is none.
	Prefix uint64
}

// Table tracks the slots of a pool's upstreams in one data centre. It is not safe for
// concurrent use.
//
// Invariant: Acquire never takes an upstream above its usable slots. Only Occupy, which
// records attempts that already run, can.
type Table struct {
	// expectedFirstToken is the time to first token of a healthy warm upstream.
	expectedFirstToken time.Duration
	startedAt          time.Time
	upstreams          map[version.UpstreamID]*upstreamState
	// inService holds the upstreams in service, sorted by ID.
	inService []*upstreamState
	members   members
	prefixes  prefixAffinity
	// sawFreeSlot is the value that FoundFreeSlot returns.
	sawFreeSlot bool
}

// upstreamState is the state that a Table keeps per upstream.
type upstreamState struct {
	upstream *version.Upstream
	// outOfService is set while the upstream takes no new work by configuration. The
	// state is kept until its last hold is released.
	outOfService bool
	slowStart    slowStart
	reports      loadReports
	// evidence counts, per VM, the prompt answers that its entry reported when it
	// registered.
	evidence map[version.VMID]int
	owners   slotOwners
	holds    map[Hold]holdInfo
	// foreignHolds counts the holds of accounts outside the upstream's team.
	foreignHolds int
	// usable caches the number of slots within the limit whose owner is registered.
	usable    int
	lastGrant time.Time
	// limit is the request rate that the upstream takes from the whole fleet, and sends holds
	// the requests that were granted lately.
	limit ratelimit.Limit
	sends ratelimit.History
	// notifiedCold and notifiedEjected are the values that Changed last returned.
	notifiedCold    bool
	notifiedEjected bool
}

// holdInfo is the state of one hold.
type holdInfo struct {
	// epoch and ejections are copies of the slow-start counters at the time of the
	// grant.
	epoch     uint32
	ejections uint32
	foreign   bool
	// acquiredAt is when the slot was taken.
	acquiredAt time.Time
	// orphanedAt is when the holding entry's registration was lost; zero while it is
	// registered.
	orphanedAt time.Time
	// processEnded is set once the holding process is known to have ended.
	processEnded bool
}

// New returns a Table without upstreams or members.
func New(now time.Time) *Table {
	return &Table{
		startedAt: now,
		upstreams: make(map[version.UpstreamID]*upstreamState),
	}
}

// Configure replaces the set of upstreams in service. An upstream that is new, returns
// to service, or has changed its address or cold limit starts cold. An upstream that is
// removed keeps its holds until they are released.
func (t *Table) Configure(now time.Time, expectedFirstToken time.Duration, upstreams []*version.Upstream) {
	t.expectedFirstToken = expectedFirstToken
	for _, s := range t.upstreams {
		s.outOfService = true
	}
	t.inService = t.inService[:0]
	for _, upstream := range upstreams {
		t.inService = append(t.inService, t.configure(now, upstream))
	}
	slices.SortFunc(t.inService, func(a, b *upstreamState) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for id, s := range t.upstreams {
		if s.outOfService {
			s.returnToColdLimit()
			t.dropIfEmpty(id, s)
		}
	}
}

func (t *Table) configure(now time.Time, upstream *version.Upstream) *upstreamState {
	s, present := t.upstreams[upstream.ID]
	if !present {
		s = &upstreamState{upstream: upstream, holds: make(map[Hold]holdInfo)}
		s.slowStart.reset(now, upstream.ColdLimit)
		t.upstreams[upstream.ID] = s
	}
	old := s.upstream
	s.upstream = upstream
	s.outOfService = false
	if old.Address != upstream.Address || old.ColdLimit != upstream.ColdLimit {
		s.slowStart.reset(now, upstream.ColdLimit)
		s.evidence = nil
	}
	s.slowStart.limit = min(s.slowStart.limit, upstream.WarmLimit)
	t.members.assignOwners(s)
	t.recountUsable(now, s)
	return s
}

// Acquire takes a slot at an upstream that has one free, and returns false if none has.
// It prefers the least loaded upstream; among upstreams of nearly equal load, it
// prefers the one that last served the prompt prefix.
func (t *Table) Acquire(now time.Time, demand Demand) (version.UpstreamID, bool) {
	best := t.choose(now, demand)
	if best == nil {
		return 0, false
	}
	t.addHold(now, best, demand.Hold, demand.Team)
	best.lastGrant = now
	best.sends.Record(now)
	best.slowStart.recordWork(now)
	t.prefixes.record(demand.Prefix, best.upstream.ID)
	return best.upstream.ID, true
}

// nearEqualLoad is how much more loaded an upstream may be, as a fraction of its usable
// slots, and still be preferred for its prefix cache.
const nearEqualLoad = 0.25

// choose returns the upstream for a demand, or nil if none has a free slot for it. It
// also sets sawFreeSlot.
func (t *Table) choose(now time.Time, demand Demand) *upstreamState {
	var best, cached *upstreamState
	var bestLoad, cachedLoad float64
	preferred := t.prefixes.lookup(demand.Prefix)
	t.sawFreeSlot = false
	for _, s := range t.inService {
		if !s.hasFreeSlot(now) || !t.withinLimit(now, s) {
			continue
		}
		t.sawFreeSlot = true
		if !s.allowsTeam(demand.Team) {
			continue
		}
		load := s.load()
		if s.upstream.ID == demand.Avoid {
			load++
		} else if s.upstream.ID == preferred {
			cached, cachedLoad = s, load
		}
		if best == nil || load < bestLoad || (load == bestLoad && s.lastGrant.Before(best.lastGrant)) {
			best, bestLoad = s, load
		}
	}
	if cached != nil && cachedLoad <= bestLoad+nearEqualLoad {
		return cached
	}
	return best
}

// Occupy records an attempt that already runs at the upstream, even if that exceeds its
// usable slots.
func (t *Table) Occupy(now time.Time, hold Hold, team string, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	if existing, present := s.holds[hold]; present {
		existing.orphanedAt, existing.processEnded = time.Time{}, false
		s.holds[hold] = existing
		return
	}
	t.addHold(now, s, hold, team)
	s.reports.unregistered = max(0, s.reports.unregistered-1)
	t.recountUsable(now, s)
}

// Release frees the slot of a finished attempt and updates the upstream's slow start
// and ejection state from the outcome. It returns false if the attempt held no slot.
func (t *Table) Release(now time.Time, hold Hold, finish request.Finish) bool {
	s, present := t.upstreams[finish.Upstream]
	if !present {
		return false
	}
	info, present := s.holds[hold]
	if !present {
		return false
	}
	s.removeHold(hold)
	t.recordOutcome(now, s, info, finish)
	t.dropIfEmpty(finish.Upstream, s)
	return true
}

// Drop frees a slot without taking the attempt's outcome into account.
func (t *Table) Drop(hold Hold, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	s.removeHold(hold)
	t.dropIfEmpty(upstream, s)
}

// Empty reports whether no upstream is in service.
func (t *Table) Empty() bool { return len(t.inService) == 0 }

// Tick expires the holds of lost entries, returns idle upstreams to their cold limit and
// recounts the usable slots.
func (t *Table) Tick(now time.Time) {
	for id, s := range t.upstreams {
		t.expireOrphans(now, s)
		if !s.outOfService && s.slowStart.idle(now, len(s.holds)) {
			s.returnToColdLimit()
		}
		t.recountUsable(now, s)
		t.dropIfEmpty(id, s)
	}
}

// Free returns the number of slots that an account without a team could take now.
func (t *Table) Free(now time.Time) int {
	total := 0
	for _, s := range t.inService {
		if s.hasFreeSlot(now) && s.allowsTeam("") && t.withinLimit(now, s) {
			total += min(s.freeSlots(), s.capacity()-s.reservedSlots()-s.foreignHolds)
		}
	}
	return total
}

// FoundFreeSlot reports whether the last Acquire found an upstream with a free slot,
// even if its owning team reserves that slot.
func (t *Table) FoundFreeSlot() bool { return t.sawFreeSlot }

func (t *Table) addHold(now time.Time, s *upstreamState, hold Hold, team string) {
	info := holdInfo{
		epoch:      s.slowStart.epoch,
		ejections:  s.slowStart.ejections,
		foreign:    s.foreignTo(team),
		acquiredAt: now,
	}
	s.holds[hold] = info
	if info.foreign {
		s.foreignHolds++
	}
	s.reports.peak = max(s.reports.peak, len(s.holds))
}

func (t *Table) dropIfEmpty(id version.UpstreamID, s *upstreamState) {
	if s.outOfService && len(s.holds) == 0 {
		delete(t.upstreams, id)
	}
}

// recountUsable updates the number of usable slots.
func (t *Table) recountUsable(now time.Time, s *upstreamState) {
	s.usable = t.members.countUsable(now, s, t.startedAt)
}

func (s *upstreamState) removeHold(hold Hold) {
	info, present := s.holds[hold]
	if !present {
		return
	}
	delete(s.holds, hold)
	if info.foreign {
		s.foreignHolds--
	}
}

// hasFreeSlot reports whether an account of the owning team may take one more slot.
func (s *upstreamState) hasFreeSlot(now time.Time) bool {
	return s.freeSlots() > 0 && !s.outOfService && !s.slowStart.ejected(now)
}

// allowsTeam reports whether the slots reserved by the owning team leave a slot free for
// one more hold of an account of the given team.
func (s *upstreamState) allowsTeam(team string) bool {
	return !s.foreignTo(team) || s.foreignHolds < s.capacity()-s.reservedSlots()
}

// foreignTo reports whether the upstream is owned by a team other than the given one.
func (s *upstreamState) foreignTo(team string) bool {
	return s.upstream.Team != "" && team != s.upstream.Team
}

// reservedSlots returns the number of slots that the owning team does not lend.
func (s *upstreamState) reservedSlots() int {
	if s.upstream.Team == "" {
		return 0
	}
	return int((1 - s.upstream.LentShare) * float64(s.capacity()))
}

// freeSlots returns the number of free slots. Unregistered load may run in slots that
// other dispatchers use, so it counts against the whole limit rather than against the
// slots usable here.
func (s *upstreamState) freeSlots() int {
	capacity := s.capacity()
	limit := s.slowStart.limit
	if s.slowStart.probing() {
		limit = capacity
	}
	return min(capacity-len(s.holds), limit-s.used())
}

// capacity returns the number of slots that may be held at present: at most one while
// the upstream is probed after an ejection.
func (s *upstreamState) capacity() int {
	if s.slowStart.probing() {
		return min(s.usable, 1)
	}
	return s.usable
}

// used returns the number of held slots plus the unregistered load.
func (s *upstreamState) used() int { return len(s.holds) + s.reports.unregistered }

// load returns the used fraction of the capacity. It exceeds 1 if more is used.
func (s *upstreamState) load() float64 { return float64(s.used()) / float64(max(s.capacity(), 1)) }

// returnToColdLimit makes the upstream start again from its cold limit.
func (s *upstreamState) returnToColdLimit() {
	s.slowStart.fallTo(s.upstream.ColdLimit)
	s.evidence = nil
}

// cold reports whether the limit has not risen above the cold limit.
func (s *upstreamState) cold() bool {
	return s.slowStart.limit <= s.upstream.ColdLimit && s.upstream.ColdLimit < s.upstream.WarmLimit
}
