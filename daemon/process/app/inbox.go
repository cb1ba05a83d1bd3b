package app

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/trefoilwell/trefoilwell/daemon/process/ledger"
	"github.com/trefoilwell/trefoilwell/daemon/process/loop"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/version/follow"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// inbox hands the messages of peer links to the parts that handle them.
type inbox struct {
	loop     *loop.Loop
	follower *follow.Follower
	ledger   *ledger.Ledger
	// linksChanged is called after the last link to a daemon went down.
	linksChanged func()

	mu     sync.Mutex
	linked map[version.VMID]linkedVM
}

// linkedVM is a daemon with its open links; there are two for a moment while
// one replaces the other.
type linkedVM struct {
	hello wire.Hello
	links int
}

// LinkUp implements peer.Handler.
func (i *inbox) LinkUp(hello wire.Hello) {
	i.mu.Lock()
	i.linked[hello.VM] = linkedVM{hello: hello, links: i.linked[hello.VM].links + 1}
	i.mu.Unlock()
	i.follower.LinkUp(hello)
	i.loop.LinkUp(hello)
}

// Receive implements peer.Handler.
func (i *inbox) Receive(from wire.Hello, messages []wire.Message) {
	var claims, others []wire.Message
	for _, message := range messages {
		switch message.(type) {
		case wire.Announce, wire.HeadRequest, wire.HeadOffer, wire.PartRequest, wire.PartChunk:
			i.follower.Receive(from.VM, message)
		default:
			if wire.IsLedger(message) {
				claims = append(claims, message)
			} else {
				others = append(others, message)
			}
		}
	}
	i.loop.Receive(from, others)
	i.ledger.Receive(from.VM, claims)
}

// LinkDown implements peer.Handler.
func (i *inbox) LinkDown(hello wire.Hello) {
	if i.unlink(hello.VM) {
		i.follower.LinkDown(hello.VM)
		i.linksChanged()
		i.ledger.LinkDown(hello.VM)
	}
	i.loop.LinkDown(hello)
}

// unlink counts a link that went down and reports whether it was the last one.
func (i *inbox) unlink(vm version.VMID) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	left := i.linked[vm]
	left.links--
	if left.links > 0 {
		i.linked[vm] = left
		return false
	}
	delete(i.linked, vm)
	return true
}

// members returns the daemons that are linked, by VM.
func (i *inbox) members() []operator.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	members := make([]operator.Member, 0, len(i.linked))
	for linked := range maps.Values(i.linked) {
		hello := linked.hello
		members = append(members, operator.Member{
			VM:          hello.VM,
			DataCentre:  hello.DataCentre,
			Incarnation: hello.Incarnation,
			Confirmed:   i.follower.Peer(hello.VM),
			Leaving:     hello.Leaving,
		})
	}
	slices.SortFunc(members, func(a, b operator.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}
