package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxChanges is the maximum number of changes in one message.
	maxChanges = 6
	// spreadFactor times the binary logarithm of the number of members is the number
	// of times that a change is sent.
	spreadFactor = 3
)

// rumour is a member whose current state is still to be sent to other members.
type rumour struct {
	vm version.VMID
	// sendsLeft is how many more times the state is sent.
	sendsLeft int
}

// gossip holds the rumours, those with the most sends left first.
type gossip struct {
	rumours []rumour
}

// spread starts to send the current state of a member, in a group of the given number
// of members. It replaces an earlier rumour about the member.
func (g *gossip) spread(vm version.VMID, members int) {
	g.rumours = slices.DeleteFunc(g.rumours, func(r rumour) bool { return r.vm == vm })
	sends := spreadFactor * bits.Len(uint(members))
	g.rumours = append(g.rumours, rumour{vm: vm, sendsLeft: sends})
	slices.SortStableFunc(g.rumours, func(a, b rumour) int { return b.sendsLeft - a.sendsLeft })
}

// spread starts gossip about a member if it is in the own data centre.
func (t *Tracker) spread(r *record) {
	if t.inOwnDataCentre(r) {
		t.gossip.spread(r.VM, len(t.members))
	}
}

// changesFor returns the changes to send along with a message to a member. They always
// include the state of the receiver itself if it is not Alive, so that it can refute it.
func (t *Tracker) changesFor(to version.VMID) []wire.MemberChange {
	var changes []wire.MemberChange
	if r, present := t.members[to]; present && r.State != Alive {
		changes = append(changes, changeOf(r))
	}
	var remaining []rumour
	for _, rumour := range t.gossip.rumours {
		r, present := t.members[rumour.vm]
		if !present {
			continue
		}
		if len(changes) < maxChanges && rumour.vm != to {
			changes = append(changes, changeOf(r))
			rumour.sendsLeft--
		}
		if rumour.sendsLeft > 0 {
			remaining = append(remaining, rumour)
		}
	}
	slices.SortStableFunc(remaining, func(a, b rumour) int { return b.sendsLeft - a.sendsLeft })
	t.gossip.rumours = remaining
	return changes
}

func changeOf(r *record) wire.MemberChange {
	return wire.MemberChange{
		VM:          r.VM,
		Incarnation: r.Incarnation,
		Refutation:  r.refutation,
		State:       uint8(r.State),
	}
}

// merge applies the changes that another member sent.
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

// refute answers a change that calls this daemon suspect or lapsed with a higher
// refutation number.
func (t *Tracker) refute(now time.Time, c wire.MemberChange, state State) {
	self := t.self()
	refutable := state == Suspect || state == Lapsed
	if c.Incarnation != self.Incarnation || !refutable || c.Refutation < self.refutation {
		return
	}
	self.refutation = c.Refutation + 1
	t.setState(now, self, self.State)
	t.spread(self)
}

// mergeOne applies a change of another member of the own data centre if it is newer.
func (t *Tracker) mergeOne(now time.Time, c wire.MemberChange, state State) {
	r, present := t.members[c.VM]
	if !present {
		r = t.record(c.VM, t.options.Self.DataCentre)
	}
	if !t.inOwnDataCentre(r) || (r.observed && !newer(c, state, r)) {
		return
	}
	if r.linked && c.Incarnation > r.Incarnation {
		r.linked = false
	}
	r.observed = true
	r.Incarnation = c.Incarnation
	r.refutation = c.Refutation
	t.setState(now, r, state)
	t.spread(r)
}

// newer reports whether a change supersedes the recorded state: by incarnation, then
// by refutation, then by state.
func newer(c wire.MemberChange, state State, r *record) bool {
	if c.Incarnation != r.Incarnation {
		return c.Incarnation > r.Incarnation
	}
	if c.Refutation != r.refutation {
		return c.Refutation > r.refutation
	}
	return state > r.State
}

// Addresses returns the listed VMs of the own data centre that have an address, except
// this one, sorted by VM.
func (t *Tracker) Addresses() []VM {
	var list []VM
	for _, r := range t.sorted {
		if r.listed && t.inOwnDataCentre(r) && r.address != "" && r.VM != t.options.Self.VM {
			list = append(list, VM{ID: r.VM, DataCentre: r.DataCentre, Address: r.address})
		}
	}
	return list
}
