package app

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/trefoilwell/trefoilwell/daemon/process/ledger"
	"github.com/trefoilwell/trefoilwell/daemon/process/loop"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
	"github.com/trefoilwell/trefoilwell/daemon/version/follow"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// inbox is the handler of the peer links. It dispatches their messages to the
// configuration follower, the ledger and the decision loop, and keeps the linked daemons.
type inbox struct {
	loop     *loop.Loop
	follower *follow.Follower
	ledger   *ledger.Ledger

	quarantine *quarantine.Quarantine
	sender     quarantine.Sender
	// linksChanged is called when the last link to a daemon has gone down.
	linksChanged func()

	mu     sync.Mutex
	linked map[version.VMID]linkedDaemon
}

// linkedDaemon is a daemon with at least one open link. It has two links for a moment
// while a new link replaces an old one.
type linkedDaemon struct {
	hello wire.Hello
	// openLinks is the number of open links to the daemon.
	openLinks int
}

// LinkUp implements peer.Handler.
func (i *inbox) LinkUp(hello wire.Hello) {
	i.mu.Lock()
	i.linked[hello.VM] = linkedDaemon{hello: hello, openLinks: i.linked[hello.VM].openLinks + 1}
	i.mu.Unlock()
	i.follower.LinkUp(hello)
	i.loop.LinkUp(hello)
	i.quarantine.SetMembers(i.linkedVMs())
	i.quarantine.LinkUp(hello.VM, i.sender)
}

// Receive implements peer.Handler.
func (i *inbox) Receive(from wire.Hello, messages []wire.Message) {
	var ledgerMessages, loopMessages []wire.Message
	for _, message := range messages {
		switch m := message.(type) {
		case wire.PromptEvidence:
			i.quarantine.Receive(m)
		case wire.RequestEvidence:
			i.quarantine.ReceiveRequests(m)
		case wire.Announce, wire.HeadRequest, wire.HeadOffer, wire.PartRequest, wire.PartChunk:
			i.follower.Receive(from.VM, message)
		default:
			if wire.IsLedger(message) {
				ledgerMessages = append(ledgerMessages, message)
			} else {
				loopMessages = append(loopMessages, message)
			}
		}
	}
	i.loop.Receive(from, loopMessages)
	i.ledger.Receive(from.VM, ledgerMessages)
}

// LinkDown implements peer.Handler.
func (i *inbox) LinkDown(hello wire.Hello) {
	if i.unlink(hello.VM) {
		i.quarantine.LinkDown(hello.VM)
		i.quarantine.SetMembers(i.linkedVMs())
		i.follower.LinkDown(hello.VM)
		i.linksChanged()
		i.ledger.LinkDown(hello.VM)
	}
	i.loop.LinkDown(hello)
}

// unlink removes a link that went down and reports whether it was the last one to the VM.
func (i *inbox) unlink(vm version.VMID) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	daemon := i.linked[vm]
	daemon.openLinks--
	if daemon.openLinks > 0 {
		i.linked[vm] = daemon
		return false
	}
	delete(i.linked, vm)
	return true
}

// linkedVMs returns the VMs of the linked daemons.
func (i *inbox) linkedVMs() []version.VMID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.linked))
}

// members returns the linked daemons, sorted by VM.
func (i *inbox) members() []operator.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	members := make([]operator.Member, 0, len(i.linked))
	for daemon := range maps.Values(i.linked) {
		hello := daemon.hello
		members = append(members, operator.Member{
			VM:          hello.VM,
			DataCentre:  hello.DataCentre,
			Incarnation: hello.Incarnation,
			Confirmed:   i.follower.AnnouncedNumber(hello.VM),
			Leaving:     hello.Leaving,
		})
	}
	slices.SortFunc(members, func(a, b operator.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}
