// Package membership tracks the members of the fleet as one daemon sees them, with
// failure detection and gossip in the manner of SWIM.
//
// In its own data centre a daemon probes one random member per interval, so the cost
// does not depend on the number of members (probe.go). State changes are piggybacked on
// the probes (gossip.go). The platform's list of VMs says which members may exist. For
// other data centres, that list and the links that are up are the only sources.
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
	// SuspectTimeout is how long a suspect member may refute the suspicion before it
	// counts as lapsed.
	SuspectTimeout = time.Second
	// WarmSlotGrace is how long a lapsed member, or one known from the platform's list
	// only, still owns slots of warm upstreams.
	WarmSlotGrace = 3 * time.Second
	// UnlistedTimeout is how long a daemon waits after its start for the platform's list
	// to contain its VM.
	UnlistedTimeout = 10 * time.Second
	// unreachableTimeout is how long a listed daemon of another data centre may remain
	// without a link before it counts as lapsed and another daemon takes its roles.
	unreachableTimeout = 3 * time.Second
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID         version.VMID
	DataCentre version.DataCentreID
	// Address is the host:port of the VM's peer listener.
	Address string
	// Leaving is set while the VM drains.
	Leaving bool
}

// Send is a message addressed to another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Options configure a Tracker.
type Options struct {
	// Self is the daemon that the Tracker belongs to.
	Self Member
	// Seed seeds the random choice of members to probe and of helpers.
	Seed uint64
}

// Tracker tracks the members of the fleet. It is not safe for concurrent use.
//
// Invariant: the recorded incarnation of a VM never decreases, and neither does the
// refutation number within an incarnation.
type Tracker struct {
	options Options
	random  *rand.Rand
	members map[version.VMID]*record
	// sorted holds the members sorted by VM, so that the same events produce the same
	// messages.
	sorted []*record
	// listedAt is when the platform's list was last received; zero if never.
	listedAt time.Time
	// selfListed is set once the platform's list has contained this daemon's VM. That
	// list also contains all VMs that were started before this one.
	selfListed bool
	// firstMayOwn is when MayOwnRoles was first called; zero if never.
	firstMayOwn time.Time
	probes      probes
	gossip      gossip
	outbox      []Send
	// viewChanged is set if the view changed since the last call of Changed.
	viewChanged bool
}

// record is the state of one VM.
type record struct {
	Member
	refutation uint32
	// observed is set once the member was linked or reported by another member.
	observed bool
	// linked is set while a link to the member is up.
	linked bool
	// listed is set while the platform's list contains the VM, and leaving while the
	// list marks it as leaving.
	listed  bool
	leaving bool
	// address is the host:port of the peer listener from the platform's list.
	address string
	// leftCleanly is set for a lapsed member that had announced that it leaves.
	leftCleanly bool
	// stateSince is when the member entered its state.
	stateSince time.Time
	// unlinkedSince is when the link went down, or when a missing link was first
	// wanted; zero while the link is up or was never wanted.
	unlinkedSince time.Time
}

// New returns a tracker that knows only its own daemon.
func New(options Options) *Tracker {
	t := &Tracker{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self.VM)))),
		members:     make(map[version.VMID]*record),
		viewChanged: true,
	}
	self := t.record(options.Self.VM, options.Self.DataCentre)
	self.Member, self.observed, self.linked = options.Self, true, true
	t.gossip.spread(options.Self.VM, 1)
	return t
}

// Changed reports whether the view changed since the last call.
func (t *Tracker) Changed() bool {
	changed := t.viewChanged
	t.viewChanged = false
	return changed
}

// View returns the members as this daemon sees them at the given time.
func (t *Tracker) View(now time.Time) View {
	members := make([]Member, 0, len(t.members))
	for _, r := range t.sorted {
		if member, visible := t.visible(now, r); visible {
			members = append(members, member)
		}
	}
	return View{Members: members}
}

// visible returns the member of a record as it appears in the view, and whether it
// appears there.
func (t *Tracker) visible(now time.Time, r *record) (Member, bool) {
	member := r.Member
	if r.leaving && member.State < Leaving {
		member.State = Leaving
	}
	if r.observed && t.inOwnDataCentre(r) {
		return member, true
	}
	if t.inOwnDataCentre(r) {
		member.State = Listed
		return member, r.listed
	}
	unreachable := !r.unlinkedSince.IsZero() && now.Sub(r.unlinkedSince) >= unreachableTimeout
	if !r.linked && unreachable {
		member.State = Lapsed
	}
	return member, r.linked || r.listed
}

// MayOwnRoles reports whether this daemon may own roles, that is, whether the platform's
// list has contained its VM and therefore all VMs that were started before. Until then,
// daemons that were started together may not know of one another, and each of them
// would use all slots. If the VM is not listed within UnlistedTimeout of the first call,
// the daemon may own roles nevertheless and relies on its peers.
func (t *Tracker) MayOwnRoles(now time.Time) bool {
	if t.firstMayOwn.IsZero() {
		t.firstMayOwn = now
	}
	return t.selfListed || now.Sub(t.firstMayOwn) >= UnlistedTimeout
}

// SlotMembers returns the VMs of the own data centre that may own slots, by the
// platform's list or by the reports of peers. Those that are not Live count for cold
// upstreams only.
func (t *Tracker) SlotMembers(now time.Time) []slots.Member {
	var list []slots.Member
	for _, r := range t.sorted {
		if !t.inOwnDataCentre(r) || !t.mayRun(r) {
			continue
		}
		live := r.observed && r.State < Lapsed || now.Sub(r.stateSince) < WarmSlotGrace
		lapsed := !r.observed || r.State == Lapsed
		list = append(list, slots.Member{VM: r.VM, Live: live, Lapsed: lapsed})
	}
	return list
}

// mayRun reports whether a VM may still run requests. A lapsed VM may, unless it had
// announced that it leaves or a later list of the platform does not contain it.
func (t *Tracker) mayRun(r *record) bool {
	if !r.observed || r.State != Lapsed {
		return r.observed || r.listed
	}
	if r.leftCleanly {
		return false
	}
	if r.listed {
		return true
	}
	return !t.listedAt.After(r.stateSince)
}

// LinkUp records that a link to another daemon came up. It ignores a link to an older
// incarnation than the recorded one.
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
	r.observed, r.linked = true, true
	r.unlinkedSince = time.Time{}
	t.setState(now, r, state)
	t.spread(r)
	t.pingLinked(now, r)
}

// LinkDown records that a link went down. An alive member of the own data centre is
// probed through other members at once. A leaving member, or one of another data
// centre, counts as lapsed.
func (t *Tracker) LinkDown(now time.Time, hello wire.Hello) {
	r, present := t.members[hello.VM]
	if !present || r.Incarnation != hello.Incarnation || !r.linked {
		return
	}
	r.linked = false
	r.unlinkedSince = now
	t.viewChanged = true
	switch {
	case !t.inOwnDataCentre(r) || r.State == Leaving:
		t.setState(now, r, Lapsed)
		t.spread(r)
	case r.State == Alive:
		t.probeIndirectly(now, r)
	}
}

// ApplyList applies the platform's list of VMs, which lags behind the actual state. It
// drops members that are neither listed nor linked, unless they are observed and not
// lapsed.
func (t *Tracker) ApplyList(now time.Time, vms []VM) {
	t.listedAt = now
	for _, r := range t.members {
		r.listed = false
	}
	for _, vm := range vms {
		r := t.record(vm.ID, vm.DataCentre)
		if r.stateSince.IsZero() {
			r.stateSince = now
		}
		r.listed, r.leaving, r.address = true, vm.Leaving, vm.Address
		if vm.ID == t.options.Self.VM {
			t.selfListed = true
		}
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(r *record) bool {
		obsolete := !r.listed && !r.linked && (!r.observed || r.State == Lapsed)
		if obsolete {
			delete(t.members, r.VM)
		}
		return obsolete
	})
	t.viewChanged = true
}

// Leave sets the state of this daemon to Leaving and sends it to all linked members of
// the data centre at once.
func (t *Tracker) Leave(now time.Time) {
	self := t.self()
	t.setState(now, self, Leaving)
	t.spread(self)
	for _, r := range t.linkedMembers() {
		t.ping(now, r.VM)
	}
}

// Member returns the member of a VM, and false if the VM is unknown.
func (t *Tracker) Member(vm version.VMID) (Member, bool) {
	r, present := t.members[vm]
	if !present {
		return Member{}, false
	}
	return r.Member, true
}

// Address returns the host:port of a VM's peer listener, or "" if it is unknown.
func (t *Tracker) Address(vm version.VMID) string {
	r, present := t.members[vm]
	if !present {
		return ""
	}
	return r.address
}

// Linked reports whether a link to a VM is up. A daemon always counts as linked to
// itself.
func (t *Tracker) Linked(vm version.VMID) bool {
	r, present := t.members[vm]
	return present && r.linked
}

// LinkWanted records that a link to a VM is wanted. If the link does not come up in time, a
// VM of another data centre counts as lapsed.
func (t *Tracker) LinkWanted(now time.Time, vm version.VMID) {
	r, present := t.members[vm]
	if present && !r.linked && r.unlinkedSince.IsZero() {
		r.unlinkedSince = now
	}
}

// Outbox returns the messages to send and clears them.
func (t *Tracker) Outbox() []Send {
	out := t.outbox
	t.outbox = nil
	return out
}

func (t *Tracker) self() *record { return t.members[t.options.Self.VM] }

func (t *Tracker) inOwnDataCentre(r *record) bool { return r.DataCentre == t.options.Self.DataCentre }

// record returns the record of a VM and adds it if there is none.
func (t *Tracker) record(vm version.VMID, dataCentre version.DataCentreID) *record {
	r, present := t.members[vm]
	if !present {
		r = &record{Member: Member{VM: vm, DataCentre: dataCentre}}
		t.members[vm] = r
		i, _ := slices.BinarySearchFunc(t.sorted, vm, func(other *record, vm version.VMID) int {
			return strings.Compare(string(other.VM), string(vm))
		})
		t.sorted = slices.Insert(t.sorted, i, r)
	}
	r.DataCentre = dataCentre
	return r
}

// setState sets a member's state.
func (t *Tracker) setState(now time.Time, r *record, state State) {
	if r.State != state || r.stateSince.IsZero() {
		r.stateSince = now
	}
	r.leftCleanly = state == Lapsed && (r.leftCleanly || r.State == Leaving)
	r.State = state
	t.viewChanged = true
}

// linkedMembers returns the linked members of the own data centre except this daemon,
// sorted by VM.
func (t *Tracker) linkedMembers() []*record {
	var linked []*record
	for _, r := range t.sorted {
		if r.linked && t.inOwnDataCentre(r) && r.VM != t.options.Self.VM {
			linked = append(linked, r)
		}
	}
	return linked
}

func (t *Tracker) send(to version.VMID, message wire.Message) {
	t.outbox = append(t.outbox, Send{To: to, Message: message})
}
