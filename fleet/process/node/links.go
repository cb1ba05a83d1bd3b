package node

import (
	"slices"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// linkTime is how long a link to another data centre is kept once nothing
// wants it any more.
const linkTime = 30 * time.Second

// unreachableRetry is how long after a failed send a daemon is registered with
// again.
const unreachableRetry = 200 * time.Millisecond

// links decides which daemons are dialled: all of the own data centre, of
// which the one with the lower name dials, the dispatchers of the same pools
// elsewhere, and one contact in each other data centre.
type links struct {
	// wanted is when a daemon of another data centre was last wanted.
	wanted map[version.VMID]time.Time
	// dialled holds the addresses that are dialled at present.
	dialled map[version.VMID]string
}

func newLinks() links {
	return links{
		wanted:  make(map[version.VMID]time.Time),
		dialled: make(map[version.VMID]string),
	}
}

func (l *links) want(now time.Time, vm version.VMID) { l.wanted[vm] = now }

// updateLinks asks for the links that are missing and ends the others.
func (n *Node) updateLinks(now time.Time) {
	for _, dataCentre := range n.otherDataCentres() {
		if vm, found := n.view.Owner(dataCentre, n.contactKey()); found {
			n.links.want(now, vm)
		}
	}
	wanted := n.wantedAddresses(now)
	for _, vm := range sortedVMs(n.links.dialled) {
		if wanted[vm] != n.links.dialled[vm] {
			delete(n.links.dialled, vm)
			n.act(Disconnect{VM: vm})
		}
	}
	for _, vm := range sortedVMs(wanted) {
		if _, dialled := n.links.dialled[vm]; !dialled {
			n.links.dialled[vm] = wanted[vm]
			n.act(Connect{VM: vm, Address: wanted[vm]})
		}
	}
}

// wantedAddresses returns whom to dial and where.
func (n *Node) wantedAddresses(now time.Time) map[version.VMID]string {
	wanted := make(map[version.VMID]string)
	for _, vm := range n.tracker.Addresses() {
		if n.options.VM < vm.ID {
			wanted[vm.ID] = vm.Address
		}
	}
	for vm, at := range n.links.wanted {
		if now.Sub(at) > linkTime {
			delete(n.links.wanted, vm)
			continue
		}
		if address := n.tracker.Address(vm); address != "" {
			wanted[vm] = address
			n.tracker.Wanted(now, vm)
		}
	}
	return wanted
}

// contactFor returns the linked daemon that passes a message about service
// sums on to another one of its data centre.
func (n *Node) contactFor(to version.VMID, message wire.Message) (version.VMID, bool) {
	switch message.(type) {
	case wire.ServiceExchange, wire.ServiceRestore:
	default:
		return "", false
	}
	target, known := n.tracker.Known(to)
	if !known || target.DataCentre == n.options.DataCentre {
		return "", false
	}
	contact, found := n.view.Owner(target.DataCentre, n.contactKey())
	return contact, found && n.tracker.Linked(contact)
}

func (n *Node) contactKey() string { return "contact/" + string(n.options.VM) }

func sortedVMs(of map[version.VMID]string) []version.VMID {
	vms := make([]version.VMID, 0, len(of))
	for vm := range of {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b version.VMID) int { return strings.Compare(string(a), string(b)) })
	return vms
}

// peerUp notes a link to another daemon. Whatever was registered over an
// earlier link, or with an earlier process, is void.
func (n *Node) peerUp(now time.Time, hello wire.Hello) {
	known, present := n.tracker.Known(hello.VM)
	if present && hello.Incarnation < known.Incarnation {
		return
	}
	restarted := present && hello.Incarnation > known.Incarnation
	n.lost(now, hello.VM, restarted, now)
	n.tracker.LinkUp(now, hello)
	n.servicePeerChanged(hello.VM)
}

// peerDown notes that a link went down. The end of a link to an earlier process
// says nothing about the present one.
func (n *Node) peerDown(now time.Time, hello wire.Hello) {
	known, present := n.tracker.Known(hello.VM)
	if !present || known.Incarnation != hello.Incarnation {
		return
	}
	n.tracker.LinkDown(now, hello)
	n.lost(now, hello.VM, known.State == membership.Leaving, now)
	n.servicePeerChanged(hello.VM)
}

// lost ends what was registered with a daemon, and what it registered here.
// settled says that its process has ended, again when to register with it again.
func (n *Node) lost(now time.Time, vm version.VMID, settled bool, again time.Time) {
	n.entry.Lost(vm, again)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Lost(now, vm, settled)
		n.dispatchers[pool].PeerLost(now, vm)
	}
	n.roles.stale = true
}

// unreachable notes that messages to a daemon were not sent. The link may be
// about to end, so nothing is sent again at once.
func (n *Node) unreachable(now time.Time, vm version.VMID) {
	n.lost(now, vm, false, now.Add(unreachableRetry))
}

// list takes the platform's list of VMs.
func (n *Node) list(now time.Time, vms []membership.VM) { n.tracker.List(now, vms) }

// leave begins to drain: the daemon gives up its roles.
func (n *Node) leave(now time.Time) { n.tracker.Leave(now) }
