package slots

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// startupDelay is how long a new dispatcher grants no slots of cold upstreams, so
	// that dispatchers of other data centres can first register the attempts that they
	// run there.
	startupDelay = 500 * time.Millisecond
	// maxReportDelay is the time after an event by which every load report shows it.
	maxReportDelay = 5 * time.Second
	// noReportTimeout is how long slots of a warm upstream that does not report are
	// left unused while a member's running attempts may be unknown.
	noReportTimeout = 10 * time.Second
)

// Member is a VM of the data centre that may own slots.
type Member struct {
	VM version.VMID
	// Live is set while the VM may own slots of warm upstreams. A member that is not
	// live owns slots of cold upstreams only.
	Live bool
	// Lapsed is set for a VM that no longer answers.
	Lapsed bool
}

// member is the state that is kept per Member. The fields named Seq are sequence
// numbers that count the joins, leaves and renewals of all members, so that events
// within one instant are still ordered.
type member struct {
	vm     version.VMID
	hash   uint64
	live   bool
	lapsed bool
	// registered is set while the VM's entry is registered with this dispatcher.
	registered bool
	// exclusiveSince is the time from which no other dispatcher uses the VM's slots.
	// usedElsewhere is set if another dispatcher may have used them after the VM
	// joined.
	exclusiveSince time.Time
	usedElsewhere  bool
	// knownAt is the time of knownSeq.
	knownAt time.Time
	// joinSeq and leaveSeq number the latest join and leave. knownSeq numbers the
	// latest event at which all attempts that the entry ran were known here.
	joinSeq  uint64
	leaveSeq uint64
	knownSeq uint64
}

// slotOwners holds the owner of each slot of an upstream, as an index into members.list
// or noOwner.
type slotOwners struct {
	warm []int16
	cold []int16
}

const noOwner = -1

// members assigns slots to VMs by rendezvous hashing: slot k of an upstream belongs to
// the member with the highest score for (upstream, k).
type members struct {
	list []member
	// lastSeq is the last sequence number that was assigned.
	lastSeq uint64
	// changedAt is when the set of members last changed.
	changedAt time.Time
}

// SetMembers replaces the members. The state of members that stay is kept.
func (t *Table) SetMembers(now time.Time, list []Member) {
	if t.members.equal(list) {
		return
	}
	old := t.members.list
	t.members.changedAt = now
	t.members.list = make([]member, 0, len(list))
	for _, m := range list {
		next := member{vm: m.VM, hash: xxhash.Sum64String(string(m.VM))}
		if i := slices.IndexFunc(old, func(o member) bool { return o.vm == m.VM }); i >= 0 {
			next = old[i]
		}
		next.live, next.lapsed = m.Live, m.Lapsed
		t.members.list = append(t.members.list, next)
	}
	slices.SortFunc(t.members.list, func(a, b member) int { return strings.Compare(string(a.vm), string(b.vm)) })
	for _, s := range t.upstreams {
		t.members.assignOwners(s)
		t.recountUsable(now, s)
	}
}

// equal reports whether list equals the current members.
func (m *members) equal(list []Member) bool {
	if len(list) != len(m.list) {
		return false
	}
	for _, n := range list {
		o := m.find(n.VM)
		if o == nil || o.live != n.Live || o.lapsed != n.Lapsed {
			return false
		}
	}
	return true
}

// Join makes the slots of a registered VM usable. Its slots of cold upstreams become
// usable at since, when no other dispatcher can still use them.
func (t *Table) Join(now time.Time, vm version.VMID, since time.Time) {
	m := t.members.find(vm)
	if m == nil {
		return
	}
	t.members.markKnown(now, m)
	if !m.registered {
		m.registered = true
		m.exclusiveSince = since
		m.usedElsewhere = since.After(now)
		m.joinSeq = t.members.lastSeq
	}
	t.recountAllUsable(now)
}

// Renew records that all attempts that a registered VM's entry runs are known now.
func (t *Table) Renew(now time.Time, vm version.VMID) {
	if m := t.members.find(vm); m != nil && m.registered {
		t.members.markKnown(now, m)
	}
}

// Leave ends the use of a VM's slots. unannounced is set if the entry did not announce
// that it leaves, so that its latest attempts may be unknown.
func (t *Table) Leave(now time.Time, vm version.VMID, unannounced bool) {
	m := t.members.find(vm)
	if m == nil || !m.registered {
		return
	}
	if unannounced {
		t.members.lastSeq++
	} else {
		t.members.markKnown(now, m)
	}
	m.registered = false
	m.leaveSeq = t.members.lastSeq
	t.recountAllUsable(now)
}

// markKnown records that all attempts that the member runs are known now.
func (m *members) markKnown(now time.Time, o *member) {
	m.lastSeq++
	o.knownSeq = m.lastSeq
	o.knownAt = now
}

func (t *Table) recountAllUsable(now time.Time) {
	for _, s := range t.upstreams {
		t.recountUsable(now, s)
	}
}

// find returns the state of a VM, or nil if it is not a member.
func (m *members) find(vm version.VMID) *member {
	for i := range m.list {
		if m.list[i].vm == vm {
			return &m.list[i]
		}
	}
	return nil
}

// assignOwners computes the owner of each slot of an upstream.
func (m *members) assignOwners(s *upstreamState) {
	s.owners.warm = m.appendOwners(s.owners.warm[:0], s.upstream.ID, s.upstream.WarmLimit, true)
	s.owners.cold = m.appendOwners(s.owners.cold[:0], s.upstream.ID, s.upstream.ColdLimit, false)
}

func (m *members) appendOwners(into []int16, upstream version.UpstreamID, slots int, liveOnly bool) []int16 {
	for k := range slots {
		owner := int16(noOwner)
		var best uint64
		for i := range m.list {
			if liveOnly && !m.list[i].live {
				continue
			}
			score := mix(m.list[i].hash ^ uint64(upstream)<<32 ^ uint64(k))
			if owner == noOwner || score > best {
				owner, best = int16(i), score
			}
		}
		into = append(into, owner)
	}
	return into
}

// countUsable returns the number of slots within the limit that may be used here. The
// slot's owner must be registered with this dispatcher, and all attempts that another
// dispatcher granted in its slots before it registered must be known.
func (m *members) countUsable(now time.Time, s *upstreamState, started time.Time) int {
	cold := s.cold()
	owners := s.owners.warm
	if cold {
		owners = s.owners.cold
	}
	known, knownAt := m.knownUpTo(cold)
	count := 0
	for _, owner := range owners[:min(s.slowStart.limit, len(owners))] {
		if owner == noOwner || !m.list[owner].registered {
			continue
		}
		o := &m.list[owner]
		complete := o.joinSeq <= known
		if cold && complete {
			complete = now.Sub(started) >= startupDelay && (!o.usedElsewhere || knownAt.After(o.exclusiveSince))
		}
		if complete || s.reports.coversWorkBefore(now, o.exclusiveSince, cold) {
			count++
		}
	}
	return count
}

// knownUpTo returns the sequence number and the time up to which the attempts granted
// to all members are known here. For cold upstreams every member counts, with what its
// own entry last reported. For warm upstreams a registered member counts as known, and
// the attempts of a lapsed member are left to the upstream's load reports.
func (m *members) knownUpTo(cold bool) (uint64, time.Time) {
	known, knownAt := uint64(math.MaxUint64), time.Unix(math.MaxInt32, 0)
	for i := range m.list {
		o := &m.list[i]
		switch {
		case cold:
			known = min(known, o.knownSeq)
			if o.knownAt.Before(knownAt) {
				knownAt = o.knownAt
			}
		case !o.lapsed && !o.registered:
			known = min(known, o.leaveSeq)
		}
	}
	return known, knownAt
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
