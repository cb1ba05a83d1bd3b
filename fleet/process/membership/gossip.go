package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxChanges bounds the changes in one message.
	maxChanges = 6
	// spreadFactor times the logarithm of the number of members is how often
	// a change is sent.
	spreadFactor = 3
)

// rumour is a member whose state is still to be told.
type rumour struct {
	vm version.VMID
	// left is how often more it is sent.
	left int
}

// gossip holds the rumours, the least told first.
type gossip struct {
	rumours []rumour
}

// spread begins to tell a member's present state to members others.
func (g *gossip) spread(vm version.VMID, members int) {
	g.rumours = slices.DeleteFunc(g.rumours, func(r rumour) bool { return r.vm == vm })
	left := spreadFactor * bits.Len(uint(members))
	g.rumours = append(g.rumours, rumour{vm: vm, left: left})
	slices.SortStableFunc(g.rumours, func(a, b rumour) int { return b.left - a.left })
}

func (t *Tracker) spread(r *record) {
	if t.own(r) {
		t.gossip.spread(r.VM, len(t.members))
	}
}

// changesFor returns the changes to send along with a message to a member. It
// always has what is thought of that member if that is not alive.
func (t *Tracker) changesFor(to version.VMID) []wire.MemberChange {
	var changes []wire.MemberChange
	if r, present := t.members[to]; present && r.State != Alive {
		changes = append(changes, change(r))
	}
	var kept []rumour
	for _, rumour := range t.gossip.rumours {
		r, present := t.members[rumour.vm]
		if !present {
			continue
		}
		if len(changes) < maxChanges && rumour.vm != to {
			changes = append(changes, change(r))
			rumour.left--
		}
		if rumour.left > 0 {
			kept = append(kept, rumour)
		}
	}
	slices.SortStableFunc(kept, func(a, b rumour) int { return b.left - a.left })
	t.gossip.rumours = kept
	return changes
}

func change(r *record) wire.MemberChange {
	return wire.MemberChange{
		VM:          r.VM,
		Incarnation: r.Incarnation,
		Refutation:  r.refutation,
		State:       uint8(r.State),
	}
}

// merge takes in what another member knows.
func (t *Tracker) merge(now time.Time, changes []wire.MemberChange) {
	for _, c := range changes {
		state := State(c.State)
		if state > Lapsed {
			continue
		}
		if c.VM == t.options.Self.VM {
			t.refute(now, c, state)
			continue
		}
		t.mergeOne(now, c, state)
	}
}

// refute denies that this daemon has lapsed.
func (t *Tracker) refute(now time.Time, c wire.MemberChange, state State) {
	self := t.self()
	wrong := state == Suspect || state == Lapsed
	if c.Incarnation != self.Incarnation || !wrong || c.Refutation < self.refutation {
		return
	}
	self.refutation = c.Refutation + 1
	t.set(now, self, self.State)
	t.spread(self)
}

func (t *Tracker) mergeOne(now time.Time, c wire.MemberChange, state State) {
	r, present := t.members[c.VM]
	if !present {
		r = t.record(c.VM, t.options.Self.DataCentre)
	}
	if !t.own(r) || (r.known && !newer(c, state, r)) {
		return
	}
	if r.linked && c.Incarnation > r.Incarnation {
		r.linked = false
	}
	r.known = true
	r.Incarnation = c.Incarnation
	r.refutation = c.Refutation
	t.set(now, r, state)
	t.spread(r)
}

// newer reports whether a change says more than what is known.
func newer(c wire.MemberChange, state State, r *record) bool {
	if c.Incarnation != r.Incarnation {
		return c.Incarnation > r.Incarnation
	}
	if c.Refutation != r.refutation {
		return c.Refutation > r.refutation
	}
	return state > r.State
}

// Addresses returns the listed VMs of the own data centre that have an address
// and are not this one, by VM.
func (t *Tracker) Addresses() []VM {
	var list []VM
	for _, r := range t.order {
		if r.listed && t.own(r) && r.address != "" && r.VM != t.options.Self.VM {
			list = append(list, VM{ID: r.VM, DataCentre: r.DataCentre, Address: r.address})
		}
	}
	return list
}
