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
	// settleTime is how long a new dispatcher leaves cold upstreams alone, so
	// that dispatchers of other data centres can register what they run.
	settleTime = 500 * time.Millisecond
	// evidenceDelay is how long after an event a load report surely shows it.
	evidenceDelay = 5 * time.Second
	// unreportedTime is how long slots of a warm upstream that does not report
	// are left alone while some member's work may be unknown.
	unreportedTime = 10 * time.Second
)

// Member is a VM of the data centre that may own slots.
type Member struct {
	VM version.VMID
	// Live is set while the VM owns slots of warm upstreams. The others own
	// slots of cold ones only.
	Live bool
	// Lapsed is set for a VM that no longer answers.
	Lapsed bool
}

// member is what is kept per Member. Moments count the joins, leaves and
// renewals of all members, so that they can be told apart within one instant.
type member struct {
	vm     version.VMID
	hash   uint64
	live   bool
	lapsed bool
	// registered is set while the VM's entry is registered here.
	registered bool
	// since is from when on no other dispatcher uses the VM's slots. doubtful
	// says that one may have used them after the VM joined.
	since    time.Time
	doubtful bool
	// heardAt is the time of heard.
	heardAt time.Time
	// joined and left are the moments of the latest join and leave, and heard
	// that at which all that the entry ran was last known here.
	joined uint64
	left   uint64
	heard  uint64
}

// owners holds the owner of each slot of an upstream as an index of a member,
// or noOwner.
type owners struct {
	warm []int16
	cold []int16
}

const noOwner = -1

// members decides who owns a slot: slot k of an upstream belongs to the member
// with the highest score for (upstream, k).
type members struct {
	list   []member
	moment uint64
	// changed is when a VM last came or went.
	changed time.Time
}

// SetMembers replaces the members. What is known of those that stay is kept.
func (t *Table) SetMembers(now time.Time, list []Member) {
	if t.members.same(list) {
		return
	}
	old := t.members.list
	t.members.changed = now
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
		t.members.assign(s)
		t.refresh(now, s)
	}
}

// same reports whether the members are as they were.
func (m *members) same(list []Member) bool {
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

// Join makes the slots of a VM usable. Cold ones become so at since, when no
// other dispatcher can still use them.
func (t *Table) Join(now time.Time, vm version.VMID, since time.Time) {
	m := t.members.find(vm)
	if m == nil {
		return
	}
	t.members.note(now, m)
	if !m.registered {
		m.registered = true
		m.since = since
		m.doubtful = since.After(now)
		m.joined = t.members.moment
	}
	t.refreshAll(now)
}

// Heard notes that all that a registered VM's entry runs is known at present.
func (t *Table) Heard(now time.Time, vm version.VMID) {
	if m := t.members.find(vm); m != nil && m.registered {
		t.members.note(now, m)
	}
}

// Leave ends the use of a VM's slots. silent says that the entry was not heard
// of for a while, rather than that it said goodbye.
func (t *Table) Leave(now time.Time, vm version.VMID, silent bool) {
	m := t.members.find(vm)
	if m == nil || !m.registered {
		return
	}
	if silent {
		t.members.moment++
	} else {
		t.members.note(now, m)
	}
	m.registered = false
	m.left = t.members.moment
	t.refreshAll(now)
}

// note makes the present the moment up to which what a member runs is known.
func (m *members) note(now time.Time, o *member) {
	m.moment++
	o.heard = m.moment
	o.heardAt = now
}

func (t *Table) refreshAll(now time.Time) {
	for _, s := range t.upstreams {
		t.refresh(now, s)
	}
}

func (m *members) find(vm version.VMID) *member {
	for i := range m.list {
		if m.list[i].vm == vm {
			return &m.list[i]
		}
	}
	return nil
}

// assign works out the owner of each slot of an upstream.
func (m *members) assign(s *state) {
	s.owners.warm = m.owners(s.owners.warm[:0], s.upstream.ID, s.upstream.WarmLimit, true)
	s.owners.cold = m.owners(s.owners.cold[:0], s.upstream.ID, s.upstream.ColdLimit, false)
}

func (m *members) owners(into []int16, upstream version.UpstreamID, slots int, liveOnly bool) []int16 {
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

// usable counts the slots within the limit that may be used: the owner is
// registered here, and what others got in its slots from another dispatcher,
// before it registered, is known.
func (m *members) usable(now time.Time, s *state, started time.Time) int {
	cold := s.cold()
	owners := s.owners.warm
	if cold {
		owners = s.owners.cold
	}
	known, knownAt := m.knownUntil(cold)
	count := 0
	for _, owner := range owners[:min(s.warmth.limit, len(owners))] {
		if owner == noOwner || !m.list[owner].registered {
			continue
		}
		o := &m.list[owner]
		complete := o.joined <= known
		if cold && complete {
			complete = now.Sub(started) >= settleTime && (!o.doubtful || knownAt.After(o.since))
		}
		if complete || s.report.covers(now, o.since, cold) {
			count++
		}
	}
	return count
}

// knownUntil returns the moment and the time up to which what was granted to
// any member is known here. For cold upstreams each member counts, and only
// what it said itself; for warm ones a member that is registered is trusted,
// and one that lapsed is left to the reports.
func (m *members) knownUntil(cold bool) (uint64, time.Time) {
	known, knownAt := uint64(math.MaxUint64), time.Unix(math.MaxInt32, 0)
	for i := range m.list {
		o := &m.list[i]
		switch {
		case cold:
			known = min(known, o.heard)
			if o.heardAt.Before(knownAt) {
				knownAt = o.heardAt
			}
		case !o.lapsed && !o.registered:
			known = min(known, o.left)
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
