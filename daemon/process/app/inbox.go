package app

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/trefoilwell/trefoilwell/daemon/process/ledger"
	"github.com/trefoilwell/trefoilwell/daemon/process/loop"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// inbox hands the messages of peer links to the parts that handle them.
type inbox struct {
	loop   *loop.Loop
	ledger *ledger.Ledger
	// linksChanged is called after a link went down.
	linksChanged func()

	mu     sync.Mutex
	linked map[version.VMID]wire.Hello
}

// LinkUp implements peer.Handler.
func (i *inbox) LinkUp(hello wire.Hello) {
	i.mu.Lock()
	i.linked[hello.VM] = hello
	i.mu.Unlock()
	i.loop.LinkUp(hello)
}

// Receive implements peer.Handler.
func (i *inbox) Receive(from wire.Hello, messages []wire.Message) {
	var claims, others []wire.Message
	for _, message := range messages {
		if wire.IsLedger(message) {
			claims = append(claims, message)
		} else {
			others = append(others, message)
		}
	}
	i.loop.Receive(from, others)
	i.ledger.Receive(from.VM, claims)
}

// LinkDown implements peer.Handler.
func (i *inbox) LinkDown(hello wire.Hello) {
	i.mu.Lock()
	if i.linked[hello.VM].Incarnation == hello.Incarnation {
		delete(i.linked, hello.VM)
	}
	i.mu.Unlock()
	i.loop.LinkDown(hello)
	i.linksChanged()
	i.ledger.LinkDown(hello.VM)
}

// members returns the daemons that are linked, by VM.
func (i *inbox) members() []operator.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	members := make([]operator.Member, 0, len(i.linked))
	for hello := range maps.Values(i.linked) {
		members = append(members, operator.Member{
			VM:          hello.VM,
			DataCentre:  hello.DataCentre,
			Incarnation: hello.Incarnation,
			Confirmed:   hello.Version,
			Leaving:     hello.Leaving,
		})
	}
	slices.SortFunc(members, func(a, b operator.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}
