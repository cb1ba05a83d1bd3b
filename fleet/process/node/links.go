package node

import (
	"slices"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// linkRetention is how long a link to another data centre is kept after it was
// last needed.
const linkRetention = 30 * time.Second

// unreachableRetryDelay is how long after a failed send the registration with a
// daemon is tried again.
const unreachableRetryDelay = 200 * time.Millisecond

// links tracks which daemons are dialled: all of the own data centre, where the
// daemon with the lower name dials, the dispatchers of the same pools in other
// data centres, and one contact in each other data centre.
type links struct {
	// lastWanted is when a link to a daemon of another data centre was last
	// needed.
	lastWanted map[version.VMID]time.Time
	// dialled holds the addresses that are dialled at present.
	dialled map[version.VMID]string
}

func newLinks() links {
	return links{
		lastWanted: make(map[version.VMID]time.Time),
		dialled:    make(map[version.VMID]string),
	}
}

// markWanted records that a link to a daemon of another data centre is needed.
func (l *links) markWanted(now time.Time, vm version.VMID) { l.lastWanted[vm] = now }

// updateLinks asks for the links that are missing and ends those that are not
// needed.
func (n *Node) updateLinks(now time.Time) {
	for _, dataCentre := range n.otherDataCentres() {
		if vm, found := n.view.Owner(dataCentre, n.contactKey()); found {
			n.links.markWanted(now, vm)
		}
	}
	wanted := n.wantedAddresses(now)
	for _, vm := range sortedVMs(n.links.dialled) {
		if wanted[vm] != n.links.dialled[vm] {
			delete(n.links.dialled, vm)
			n.emit(Disconnect{VM: vm})
		}
	}
	for _, vm := range sortedVMs(wanted) {
		if _, dialled := n.links.dialled[vm]; !dialled {
			n.links.dialled[vm] = wanted[vm]
			n.emit(Connect{VM: vm, Address: wanted[vm]})
		}
	}
}

// wantedAddresses returns the daemons to dial and their addresses.
func (n *Node) wantedAddresses(now time.Time) map[version.VMID]string {
	wanted := make(map[version.VMID]string)
	for _, vm := range n.tracker.Addresses() {
		if n.options.VM < vm.ID {
			wanted[vm.ID] = vm.Address
		}
	}
	for vm, at := range n.links.lastWanted {
		if now.Sub(at) > linkRetention {
			delete(n.links.lastWanted, vm)
			continue
		}
		if address := n.tracker.Address(vm); address != "" {
			wanted[vm] = address
			n.tracker.LinkWanted(now, vm)
		}
	}
	return wanted
}

// contactFor returns the linked daemon that forwards a message about service
// sums to another daemon of its data centre, and whether there is one.
func (n *Node) contactFor(to version.VMID, message wire.Message) (version.VMID, bool) {
	switch message.(type) {
	case wire.ServiceDataCentreReport, wire.ServiceRestore:
	default:
		return "", false
	}
	target, present := n.tracker.Member(to)
	if !present || target.DataCentre == n.options.DataCentre {
		return "", false
	}
	contact, found := n.view.Owner(target.DataCentre, n.contactKey())
	return contact, found && n.tracker.Linked(contact)
}

// contactKey is the rendezvous hashing key of this daemon's contacts in other
// data centres, so that the daemons spread over them.
func (n *Node) contactKey() string { return "contact/" + string(n.options.VM) }

// sortedVMs returns the keys, in order.
func sortedVMs(byVM map[version.VMID]string) []version.VMID {
	vms := make([]version.VMID, 0, len(byVM))
	for vm := range byVM {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b version.VMID) int { return strings.Compare(string(a), string(b)) })
	return vms
}

// peerUp handles a new link to another daemon. Registrations made over an
// earlier link, or with an earlier process, are void.
func (n *Node) peerUp(now time.Time, hello wire.Hello) {
	member, present := n.tracker.Member(hello.VM)
	if present && hello.Incarnation < member.Incarnation {
		return
	}
	restarted := present && hello.Incarnation > member.Incarnation
	n.dropRegistrations(now, hello.VM, restarted, now)
	n.tracker.LinkUp(now, hello)
	n.servicePeerChanged(hello.VM)
}

// peerDown handles the loss of a link. The loss of a link to an earlier process
// does not concern the present one.
func (n *Node) peerDown(now time.Time, hello wire.Hello) {
	member, present := n.tracker.Member(hello.VM)
	if !present || member.Incarnation != hello.Incarnation {
		return
	}
	n.tracker.LinkDown(now, hello)
	n.dropRegistrations(now, hello.VM, member.State == membership.Leaving, now)
	n.servicePeerChanged(hello.VM)
}

// dropRegistrations ends this daemon's registrations with a daemon, and that
// daemon's registrations here. processEnded is set if its process has ended;
// retryAt is when to register with it again.
func (n *Node) dropRegistrations(now time.Time, vm version.VMID, processEnded bool, retryAt time.Time) {
	n.entry.LinkLost(vm, retryAt)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].EntryLost(now, vm, processEnded)
		n.dispatchers[pool].PeerLost(now, vm)
	}
	n.roles.stale = true
}

// unreachable handles messages to a daemon that could not be sent. The link may
// be about to fail, so the registration is not tried again at once.
func (n *Node) unreachable(now time.Time, vm version.VMID) {
	n.dropRegistrations(now, vm, false, now.Add(unreachableRetryDelay))
}

// updateVMList applies the platform's list of VMs.
func (n *Node) updateVMList(now time.Time, vms []membership.VM) { n.tracker.ApplyList(now, vms) }

// leave starts draining: the daemon gives up its roles.
func (n *Node) leave(now time.Time) { n.tracker.Leave(now) }
