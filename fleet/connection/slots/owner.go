package slots

import (
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
)

// Member is a VM of the data centre that may own slots.
type Member struct {
	VM version.VMID
	// Live is set while the VM counts for warm upstreams. The others count
	// for cold ones only.
	Live bool
}

// member is what is kept per Member.
type member struct {
	vm   version.VMID
	hash uint64
	live bool
	// registered is set while the VM's entry is registered here, since when
	// it can be relied on that no other dispatcher uses the VM's slots.
	registered bool
	since      time.Time
	// until is when the VM's entry was last registered here; what it ran up
	// to then is known.
	until time.Time
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
	list []member
}

// SetMembers replaces the members. What is known of those that stay is kept.
func (t *Table) SetMembers(now time.Time, list []Member) {
	old := t.members.list
	t.members.list = make([]member, 0, len(list))
	for _, m := range list {
		next := member{vm: m.VM, hash: xxhash.Sum64String(string(m.VM)), live: m.Live}
		if i := slices.IndexFunc(old, func(o member) bool { return o.vm == m.VM }); i >= 0 {
			next.registered, next.since, next.until = old[i].registered, old[i].since, old[i].until
		}
		t.members.list = append(t.members.list, next)
	}
	slices.SortFunc(t.members.list, func(a, b member) int { return strings.Compare(string(a.vm), string(b.vm)) })
	for _, s := range t.upstreams {
		t.members.assign(s)
		t.refresh(now, s)
	}
}

// Join makes the slots of a VM usable. Cold ones become so at since, when no
// other dispatcher can still use them.
func (t *Table) Join(now time.Time, vm version.VMID, since time.Time) {
	m := t.members.find(vm)
	if m == nil || m.registered {
		return
	}
	m.registered = true
	m.since = since
	t.refreshAll(now)
}

// Leave ends the use of a VM's slots. What the VM's entry ran up to until is
// known here.
func (t *Table) Leave(now time.Time, vm version.VMID, until time.Time) {
	m := t.members.find(vm)
	if m == nil || !m.registered {
		return
	}
	m.registered = false
	m.until = until
	t.refreshAll(now)
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

// usable counts the slots within the limit whose owner is registered.
func (m *members) usable(now time.Time, s *state, started time.Time) int {
	if s.cold() {
		return m.usableCold(now, s, started)
	}
	count := 0
	for _, owner := range s.owners.warm[:min(s.warmth.limit, len(s.owners.warm))] {
		if owner != noOwner && m.list[owner].registered {
			count++
		}
	}
	return count
}

// usableCold counts the usable slots of a cold upstream. An owner's slot may
// have been used by another dispatcher before the owner registered here. So it
// is usable only once everybody who may run something from that time has
// registered since, or a report from after that time shows no unknown load.
func (m *members) usableCold(now time.Time, s *state, started time.Time) int {
	known := m.knownUntil()
	count := 0
	for _, owner := range s.owners.cold[:min(s.warmth.limit, len(s.owners.cold))] {
		if owner == noOwner || !m.list[owner].registered {
			continue
		}
		since := m.list[owner].since
		complete := !since.After(now) && !since.After(known) && now.Sub(started) >= settleTime
		if complete || s.report.clean.Sub(since) >= evidenceDelay {
			count++
		}
	}
	return count
}

// knownUntil returns the time up to which everything that members ran is known
// here. It is the far future if all are registered.
func (m *members) knownUntil() time.Time {
	known := time.Unix(1<<40, 0)
	for i := range m.list {
		if !m.list[i].registered && m.list[i].until.Before(known) {
			known = m.list[i].until
		}
	}
	return known
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
