// Package slots decides how much work each upstream may hold.
//
// A slot is the right to run one request at an upstream. A Table belongs to
// one dispatcher and one pool. Four things bound what it hands out at an
// upstream:
//
//   - the limit that the upstream has earned by answering promptly (warmth.go);
//   - the members that own the limit's slots and are registered here
//     (owner.go), so that two dispatchers never use the same slot;
//   - what its owning team keeps back (lending in this file);
//   - load that the upstream reports but no entry has registered (report.go).
package slots

import (
	"cmp"
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

// Demand asks for a slot.
type Demand struct {
	Hold Hold
	// Team is the account's team; empty is none.
	Team string
	// Avoid is an upstream to be taken only if no other is free; 0 is none.
	Avoid version.UpstreamID
	// Prefix is a hash of the prompt's head; 0 is none.
	Prefix uint64
}

// Table holds the slots of a pool's upstreams in one data centre. It is not
// safe for concurrent use.
//
// Invariant: Acquire never takes an upstream above its usable slots. Only
// Occupy, which records work that runs already, can.
type Table struct {
	// expected is the first-token time of a healthy warm upstream.
	expected  time.Duration
	started   time.Time
	upstreams map[version.UpstreamID]*state
	// order holds the upstreams in service by ID.
	order    []*state
	members  members
	prefixes prefixes
	// spare is what Spare reports.
	spare bool
}

// state is what is kept per upstream.
type state struct {
	upstream *version.Upstream
	// out is set while the upstream takes no new work by configuration; the
	// state stays until its last hold ends.
	out    bool
	warmth warmth
	report reported
	// evidence counts the prompt answers that entries brought along.
	evidence map[version.VMID]int
	owners   owners
	holds    map[Hold]held
	// foreign counts the holds of accounts outside the upstream's team.
	foreign int
	// usable caches the number of earned slots whose owner is registered.
	usable    int
	lastGrant time.Time
	// toldCold and toldEjected are what Changed last told.
	toldCold    bool
	toldEjected bool
}

// held is what is kept per hold.
type held struct {
	// epoch and ejections are those of the warmth at the grant.
	epoch     uint32
	ejections uint32
	foreign   bool
	// began is when the hold was taken.
	began time.Time
	// orphaned is when the holding entry was lost; zero while it is
	// registered.
	orphaned time.Time
	// settled is set once the holding process is known to have ended.
	settled bool
}

// New returns a table without upstreams and members.
func New(now time.Time) *Table {
	return &Table{
		started:   now,
		upstreams: make(map[version.UpstreamID]*state),
	}
}

// Configure replaces the set of upstreams in service. One that is new, that
// returns or that stands at another address is cold; one that goes keeps its
// holds until they end.
func (t *Table) Configure(now time.Time, expectedFirstToken time.Duration, upstreams []*version.Upstream) {
	t.expected = expectedFirstToken
	for _, s := range t.upstreams {
		s.out = true
	}
	t.order = t.order[:0]
	for _, upstream := range upstreams {
		t.order = append(t.order, t.configure(now, upstream))
	}
	slices.SortFunc(t.order, func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for id, s := range t.upstreams {
		if s.out {
			s.returnCold()
			t.dropIfEmpty(id, s)
		}
	}
}

func (t *Table) configure(now time.Time, upstream *version.Upstream) *state {
	s, present := t.upstreams[upstream.ID]
	if !present {
		s = &state{upstream: upstream, holds: make(map[Hold]held)}
		s.warmth.reset(now, upstream.ColdLimit)
		t.upstreams[upstream.ID] = s
	}
	old := s.upstream
	s.upstream = upstream
	s.out = false
	if old.Address != upstream.Address || old.ColdLimit != upstream.ColdLimit {
		s.warmth.reset(now, upstream.ColdLimit)
		s.evidence = nil
	}
	s.warmth.limit = min(s.warmth.limit, upstream.WarmLimit)
	t.members.assign(s)
	t.refresh(now, s)
	return s
}

// Acquire takes a slot at a free upstream and reports false if there is none.
// It prefers the least loaded one and, among those about as loaded, the one
// that last served the prefix.
func (t *Table) Acquire(now time.Time, demand Demand) (version.UpstreamID, bool) {
	best := t.choose(now, demand)
	if best == nil {
		return 0, false
	}
	t.hold(now, best, demand.Hold, demand.Team)
	best.lastGrant = now
	best.warmth.began(now)
	t.prefixes.remember(demand.Prefix, best.upstream.ID)
	return best.upstream.ID, true
}

// nearEqualLoad is how much more loaded an upstream may be, as a fraction of
// its usable slots, for its prompt cache to be preferred.
const nearEqualLoad = 0.25

func (t *Table) choose(now time.Time, demand Demand) *state {
	var best, cached *state
	var bestLoad, cachedLoad float64
	preferred := t.prefixes.lookup(demand.Prefix)
	t.spare = false
	for _, s := range t.order {
		if !s.room(now) {
			continue
		}
		t.spare = true
		if !s.lends(demand.Team) {
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

// Occupy records an attempt that already runs.
func (t *Table) Occupy(now time.Time, hold Hold, team string, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	if known, present := s.holds[hold]; present {
		known.orphaned, known.settled = time.Time{}, false
		s.holds[hold] = known
		return
	}
	t.hold(now, s, hold, team)
	s.report.unknown = max(0, s.report.unknown-1)
	t.refresh(now, s)
}

// Release frees the slot of a finished attempt and learns from its outcome. It
// reports false if the attempt held no slot.
func (t *Table) Release(now time.Time, hold Hold, finish request.Finish) bool {
	s, present := t.upstreams[finish.Upstream]
	if !present {
		return false
	}
	info, present := s.holds[hold]
	if !present {
		return false
	}
	s.drop(hold)
	t.learn(now, s, info, finish)
	t.dropIfEmpty(finish.Upstream, s)
	return true
}

// Drop frees a slot without learning anything.
func (t *Table) Drop(hold Hold, upstream version.UpstreamID) {
	s, present := t.upstreams[upstream]
	if !present {
		return
	}
	s.drop(hold)
	t.dropIfEmpty(upstream, s)
}

// Empty reports whether no upstream is in service.
func (t *Table) Empty() bool { return len(t.order) == 0 }

// Tick ends ejections and forgets what is out of date.
func (t *Table) Tick(now time.Time) {
	for id, s := range t.upstreams {
		t.expireOrphans(now, s)
		if !s.out && s.warmth.idle(now, len(s.holds)) {
			s.returnCold()
		}
		t.refresh(now, s)
		t.dropIfEmpty(id, s)
	}
}

// Free returns the number of slots that an account of no team could take now.
func (t *Table) Free(now time.Time) int {
	total := 0
	for _, s := range t.order {
		if s.room(now) && s.lends("") {
			total += min(s.spare(), s.capacity()-s.kept()-s.foreign)
		}
	}
	return total
}

// Spare reports whether the last Acquire met a free slot that a team keeps
// back.
func (t *Table) Spare() bool { return t.spare }

func (t *Table) hold(now time.Time, s *state, hold Hold, team string) {
	info := held{
		epoch:     s.warmth.epoch,
		ejections: s.warmth.ejections,
		foreign:   s.foreignTo(team),
		began:     now,
	}
	s.holds[hold] = info
	if info.foreign {
		s.foreign++
	}
	s.report.peak = max(s.report.peak, len(s.holds))
}

func (t *Table) dropIfEmpty(id version.UpstreamID, s *state) {
	if s.out && len(s.holds) == 0 {
		delete(t.upstreams, id)
	}
}

// refresh recounts the usable slots.
func (t *Table) refresh(now time.Time, s *state) {
	s.usable = t.members.usable(now, s, t.started)
}

func (s *state) drop(hold Hold) {
	info, present := s.holds[hold]
	if !present {
		return
	}
	delete(s.holds, hold)
	if info.foreign {
		s.foreign--
	}
}

// room reports whether an account of the owning team may take one more slot.
func (s *state) room(now time.Time) bool {
	return s.spare() > 0 && !s.out && !s.warmth.ejected(now)
}

// lends reports whether an account of a team may take one more slot, as far as
// lending goes.
func (s *state) lends(team string) bool {
	return !s.foreignTo(team) || s.foreign < s.capacity()-s.kept()
}

func (s *state) foreignTo(team string) bool {
	return s.upstream.Team != "" && team != s.upstream.Team
}

// kept returns the number of slots that the owning team keeps back.
func (s *state) kept() int {
	if s.upstream.Team == "" {
		return 0
	}
	return int((1 - s.upstream.LentShare) * float64(s.capacity()))
}

// spare returns the number of free slots. Load that nobody registered here may
// run in the slots that others use, so it counts against the whole limit.
func (s *state) spare() int {
	capacity := s.capacity()
	limit := s.warmth.limit
	if s.warmth.onTrial() {
		limit = capacity
	}
	return min(capacity-len(s.holds), limit-s.used())
}

// capacity returns the number of slots that may be held at present.
func (s *state) capacity() int {
	if s.warmth.onTrial() {
		return min(s.usable, 1)
	}
	return s.usable
}

// used returns the held slots and the reported load that nobody registered.
func (s *state) used() int { return len(s.holds) + s.report.unknown }

func (s *state) load() float64 { return float64(s.used()) / float64(max(s.capacity(), 1)) }

// returnCold makes the upstream start again from its cold limit.
func (s *state) returnCold() {
	s.warmth.fall(s.upstream.ColdLimit)
	s.evidence = nil
}

// cold reports whether the upstream has earned no more than its cold limit.
func (s *state) cold() bool {
	return s.warmth.limit <= s.upstream.ColdLimit && s.upstream.ColdLimit < s.upstream.WarmLimit
}
