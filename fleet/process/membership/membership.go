// Package membership keeps which VMs of the fleet take part, as one daemon
// sees it.
//
// In its own data centre a daemon probes one random member a period, so the
// cost does not depend on the number of members (probe.go). What is found out
// rides on the probes (gossip.go). The platform's list says who may exist; of
// other data centres it is all that is known, beside the links that are up.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// SuspectTime is how long a member may deny that it has lapsed.
	SuspectTime = time.Second
	// LapseTime is how long a lapsed or merely listed member still owns slots
	// of warm upstreams.
	LapseTime = 3 * time.Second
	// UnlistedTime is how long a daemon that started waits until the
	// platform's list has it.
	UnlistedTime = 10 * time.Second
	// unreachableTime is how long a listed daemon of another data centre may
	// take to be linked before another one is taken in its place.
	unreachableTime = 3 * time.Second
)

// VM is one row of the platform's list.
type VM struct {
	ID         version.VMID
	DataCentre version.DataCentreID
	// Address is the host:port of the VM's peer listener.
	Address string
	Leaving bool
}

// Send is a message for another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Options set up a Tracker.
type Options struct {
	Self Member
	// Seed feeds the choice of whom to probe.
	Seed uint64
}

// Tracker keeps the members. It is not safe for concurrent use.
//
// Invariant: of a VM, the incarnation that is known never falls; of an
// incarnation, neither does the refutation.
type Tracker struct {
	options Options
	random  *rand.Rand
	members map[version.VMID]*record
	// order holds the members by VM, so that the same events give the same
	// messages.
	order []*record
	// listedAt is when the platform's list last came; zero is never.
	listedAt time.Time
	// selfListed is set once the platform's list has had this daemon's VM, so
	// that it has all that were started before.
	selfListed bool
	// asked is when MayOwn was first called; zero is never.
	asked   time.Time
	probes  probes
	gossip  gossip
	outbox  []Send
	changed bool
}

// record is what is kept of one VM.
type record struct {
	Member
	refutation uint32
	// known is set once the member was linked or heard of by others.
	known  bool
	linked bool
	// listed is set while the platform's list has the VM, and leaving while
	// that list says so.
	listed  bool
	leaving bool
	address string
	// ended is set for a lapsed member that had said that it leaves.
	ended bool
	// since is when the state began.
	since time.Time
	// dialled is when a link was first wanted and not there; zero is not.
	dialled time.Time
}

// New returns a tracker that knows itself only.
func New(options Options) *Tracker {
	t := &Tracker{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self.VM)))),
		members: make(map[version.VMID]*record),
		changed: true,
	}
	self := t.record(options.Self.VM, options.Self.DataCentre)
	self.Member, self.known, self.linked = options.Self, true, true
	t.gossip.spread(options.Self.VM, 1)
	return t
}

// Changed reports whether the view changed since the last call.
func (t *Tracker) Changed() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// View returns the members as seen at now.
func (t *Tracker) View(now time.Time) View {
	members := make([]Member, 0, len(t.members))
	for _, r := range t.order {
		if member, visible := t.visible(now, r); visible {
			members = append(members, member)
		}
	}
	return View{Members: members}
}

// visible returns a record as others see it.
func (t *Tracker) visible(now time.Time, r *record) (Member, bool) {
	member := r.Member
	if r.leaving && member.State < Leaving {
		member.State = Leaving
	}
	if r.known && t.own(r) {
		return member, true
	}
	if t.own(r) {
		member.State = Listed
		return member, r.listed
	}
	unreachable := !r.dialled.IsZero() && now.Sub(r.dialled) >= unreachableTime
	if !r.linked && unreachable {
		member.State = Lapsed
	}
	return member, r.linked || r.listed
}

// MayOwn reports whether this daemon may own roles: the platform's list has had
// its VM, and with it all that were started before. Until then, daemons that
// were started together may not know of one another, and each would use all
// slots. One that is not listed within UnlistedTime of the first call goes by
// its peers.
func (t *Tracker) MayOwn(now time.Time) bool {
	if t.asked.IsZero() {
		t.asked = now
	}
	return t.selfListed || now.Sub(t.asked) >= UnlistedTime
}

// SlotMembers returns the VMs of the data centre that may own slots. One that
// is live by the platform's list or by peers counts for cold upstreams.
func (t *Tracker) SlotMembers(now time.Time) []slots.Member {
	var list []slots.Member
	for _, r := range t.order {
		if !t.own(r) || !t.mayRun(r) {
			continue
		}
		live := r.known && r.State < Lapsed || now.Sub(r.since) < LapseTime
		lapsed := !r.known || r.State == Lapsed
		list = append(list, slots.Member{VM: r.VM, Live: live, Lapsed: lapsed})
	}
	return list
}

// mayRun reports whether a VM may still run work: it does unless it said that
// it ends, or lapsed and a later list of the platform has it no more.
func (t *Tracker) mayRun(r *record) bool {
	if !r.known || r.State != Lapsed {
		return r.known || r.listed
	}
	if r.ended {
		return false
	}
	if r.listed {
		return true
	}
	return !t.listedAt.After(r.since)
}

// LinkUp notes a link to another daemon.
func (t *Tracker) LinkUp(now time.Time, hello wire.Hello) {
	r := t.record(hello.VM, hello.DataCentre)
	if hello.Incarnation < r.Incarnation {
		return
	}
	state := Alive
	if hello.Leaving {
		state = Leaving
	}
	if hello.Incarnation > r.Incarnation {
		r.refutation = 0
	}
	r.Incarnation = hello.Incarnation
	r.known, r.linked = true, true
	r.dialled = time.Time{}
	t.set(now, r, state)
	t.spread(r)
	t.greet(now, r)
}

// LinkDown notes that a link went down. A member of the data centre is probed
// through others at once; one that was leaving has ended.
func (t *Tracker) LinkDown(now time.Time, hello wire.Hello) {
	r, present := t.members[hello.VM]
	if !present || r.Incarnation != hello.Incarnation || !r.linked {
		return
	}
	r.linked = false
	r.dialled = now
	t.changed = true
	switch {
	case !t.own(r) || r.State == Leaving:
		t.set(now, r, Lapsed)
		t.spread(r)
	case r.State == Alive:
		t.probeNow(now, r)
	}
}

// List takes the platform's list, which lags.
func (t *Tracker) List(now time.Time, vms []VM) {
	t.listedAt = now
	for _, r := range t.members {
		r.listed = false
	}
	for _, vm := range vms {
		r := t.record(vm.ID, vm.DataCentre)
		if r.since.IsZero() {
			r.since = now
		}
		r.listed, r.leaving, r.address = true, vm.Leaving, vm.Address
		if vm.ID == t.options.Self.VM {
			t.selfListed = true
		}
	}
	t.order = slices.DeleteFunc(t.order, func(r *record) bool {
		gone := !r.listed && !r.linked && (!r.known || r.State == Lapsed)
		if gone {
			delete(t.members, r.VM)
		}
		return gone
	})
	t.changed = true
}

// Leave makes this daemon a leaving one and tells all linked members at once.
func (t *Tracker) Leave(now time.Time) {
	self := t.self()
	t.set(now, self, Leaving)
	t.spread(self)
	for _, r := range t.linkedMembers() {
		t.ping(now, r.VM)
	}
}

// Known returns what is known of a VM.
func (t *Tracker) Known(vm version.VMID) (Member, bool) {
	r, present := t.members[vm]
	if !present {
		return Member{}, false
	}
	return r.Member, true
}

// Address returns where a VM can be linked to, or "".
func (t *Tracker) Address(vm version.VMID) string {
	r, present := t.members[vm]
	if !present {
		return ""
	}
	return r.address
}

// Linked reports whether there is a link to a VM. There always is to itself.
func (t *Tracker) Linked(vm version.VMID) bool {
	r, present := t.members[vm]
	return present && r.linked
}

// Wanted notes that a link to a VM is wanted.
func (t *Tracker) Wanted(now time.Time, vm version.VMID) {
	r, present := t.members[vm]
	if present && !r.linked && r.dialled.IsZero() {
		r.dialled = now
	}
}

// Outbox takes out the messages to send.
func (t *Tracker) Outbox() []Send {
	out := t.outbox
	t.outbox = nil
	return out
}

func (t *Tracker) self() *record { return t.members[t.options.Self.VM] }

func (t *Tracker) own(r *record) bool { return r.DataCentre == t.options.Self.DataCentre }

func (t *Tracker) record(vm version.VMID, dataCentre version.DataCentreID) *record {
	r, present := t.members[vm]
	if !present {
		r = &record{Member: Member{VM: vm, DataCentre: dataCentre}}
		t.members[vm] = r
		i, _ := slices.BinarySearchFunc(t.order, vm, func(o *record, vm version.VMID) int {
			return strings.Compare(string(o.VM), string(vm))
		})
		t.order = slices.Insert(t.order, i, r)
	}
	r.DataCentre = dataCentre
	return r
}

// set changes a member's state.
func (t *Tracker) set(now time.Time, r *record, state State) {
	if r.State != state || r.since.IsZero() {
		r.since = now
	}
	r.ended = state == Lapsed && (r.ended || r.State == Leaving)
	r.State = state
	t.changed = true
}

// linkedMembers returns the linked members of the data centre, by VM.
func (t *Tracker) linkedMembers() []*record {
	var linked []*record
	for _, r := range t.order {
		if r.linked && t.own(r) && r.VM != t.options.Self.VM {
			linked = append(linked, r)
		}
	}
	return linked
}

func (t *Tracker) send(to version.VMID, message wire.Message) {
	t.outbox = append(t.outbox, Send{To: to, Message: message})
}
