// Package node joins the decisions of one daemon: its entry, the dispatchers
// it owns, service accounting and membership.
//
// A Node does no I/O and reads no clock. Its caller feeds it events and the
// current time with Step and Tick, and carries out what Ready returns:
//
//	node.Step(now, event)
//	for _, action := range node.Ready() { ... }
package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/entry"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Options set up a Node.
type Options struct {
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	// Seed feeds the node's random choices.
	Seed  uint64
	Queue queue.Options
	// Timeline records what happens; it must not be nil.
	Timeline *timeline.Ring
}

// Node is the decision core of one daemon. It is not safe for concurrent use.
type Node struct {
	options     Options
	config      *version.Config
	view        membership.View
	entry       *entry.Entry
	sums        *sums
	dispatchers map[version.PoolID]*dispatcher.Dispatcher
	// registered is the dispatcher that each pool's requests are registered
	// with.
	registered map[version.PoolID]version.VMID
	actions    []Action

	crossRegionBytes uint64
	sent             uint64
	received         uint64
}

// New returns a node that knows no configuration and no peers.
func New(options Options) *Node {
	self := membership.Member{
		VM:          options.VM,
		DataCentre:  options.DataCentre,
		Incarnation: options.Incarnation,
	}
	return &Node{
		options:     options,
		view:        membership.NewView([]membership.Member{self}),
		entry:       entry.New(),
		sums:        newSums(),
		dispatchers: make(map[version.PoolID]*dispatcher.Dispatcher),
		registered:  make(map[version.PoolID]version.VMID),
	}
}

// Config returns the configuration version in force, or nil.
func (n *Node) Config() *version.Config { return n.config }

// View returns the members as seen from here.
func (n *Node) View() membership.View { return n.view }

// Step handles one event.
func (n *Node) Step(now time.Time, event Event) {
	event.apply(n, now)
	n.settle(now)
}

// Tick advances time. It is called every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.entry.Tick(now)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Tick(now)
	}
	n.tickService(now)
	n.settle(now)
}

// Ready takes out the actions to carry out, in order.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// configure applies a higher version and ignores any other.
func (n *Node) configure(now time.Time, config *version.Config) {
	if n.config != nil && config.Number <= n.config.Number {
		return
	}
	n.config = config
	n.sums.meter.Configure(config)
	n.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindConfigured, Version: config.Number})
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Configure(now, config)
	}
	n.register(now)
}

// setView applies a new picture of the members.
func (n *Node) setView(now time.Time, view membership.View) {
	n.view = view
	n.serviceViewChanged(now)
	n.register(now)
}

// peerUp adds a daemon to the view and registers with it if it dispatches.
func (n *Node) peerUp(now time.Time, hello wire.Hello) {
	member := membership.Member{
		VM:          hello.VM,
		DataCentre:  hello.DataCentre,
		Incarnation: hello.Incarnation,
	}
	if hello.Leaving {
		member.State = membership.Leaving
	}
	n.forgetRegistrations(hello.VM)
	n.servicePeerChanged(hello.VM)
	n.setView(now, n.view.With(member))
}

// peerDown takes a daemon out of the view.
func (n *Node) peerDown(now time.Time, hello wire.Hello) {
	n.forgetRegistrations(hello.VM)
	n.servicePeerChanged(hello.VM)
	n.setView(now, n.view.Without(hello.VM))
}

// forgetRegistrations makes the next register send everything to vm again.
func (n *Node) forgetRegistrations(vm version.VMID) {
	for pool, owner := range n.registered {
		if owner == vm {
			delete(n.registered, pool)
		}
	}
}

// register registers each pool's requests with its dispatcher if that changed.
func (n *Node) register(now time.Time) {
	if n.config == nil {
		return
	}
	for _, pool := range n.pools() {
		owner, found := n.view.Owner(n.options.DataCentre, dispatcherKey(pool))
		if !found || n.registered[pool] == owner {
			continue
		}
		n.registered[pool] = owner
		n.entry.Register(now, pool)
	}
}

// settle moves messages between the parts until none is left.
func (n *Node) settle(now time.Time) {
	for n.drainEntry(now) || n.drainDispatchers(now) {
		continue
	}
	for _, grant := range n.entry.Granted() {
		n.streamStarted(grant)
		n.act(Granted{Grant: grant})
	}
	for _, refused := range n.entry.Refused() {
		n.act(Refused{ID: refused.ID, Refusal: refused.Refusal})
	}
}

func (n *Node) drainEntry(now time.Time) bool {
	outbox := n.entry.Outbox()
	for _, send := range outbox {
		n.deliver(now, n.registered[send.Pool], send.Message)
	}
	return len(outbox) > 0
}

func (n *Node) drainDispatchers(now time.Time) bool {
	moved := false
	for _, pool := range n.ownedPools() {
		for _, send := range n.dispatchers[pool].Outbox() {
			moved = true
			n.deliver(now, send.To.VM, send.Message)
		}
	}
	return moved
}

// deliver sends a message, or handles it at once if it is for this daemon.
func (n *Node) deliver(now time.Time, to version.VMID, message wire.Message) {
	if to != n.options.VM {
		n.sent++
		n.act(Send{To: to, Message: message})
		return
	}
	from := dispatcher.Entry{VM: n.options.VM, Incarnation: n.options.Incarnation}
	n.receive(now, from, message)
}

// receive handles one message.
func (n *Node) receive(now time.Time, from dispatcher.Entry, message wire.Message) {
	if n.receiveService(now, from, message) {
		return
	}
	switch m := message.(type) {
	case wire.Ticket:
		n.dispatcher(now, m.Pool).Ticket(now, from, m.Request())
	case wire.Withdraw:
		n.dispatcher(now, m.Pool).Withdraw(now, from, m.ID)
	case wire.Finish:
		n.dispatcher(now, m.Pool).Finish(now, from, m.Request())
	case wire.Register:
		n.dispatcher(now, m.Pool).Register(now, from, m)
	case wire.Grant:
		n.entry.Grant(m)
	case wire.Refuse:
		n.entry.Refuse(m)
	}
}

// dispatcher returns the pool's dispatcher and starts it if needed.
func (n *Node) dispatcher(now time.Time, pool version.PoolID) *dispatcher.Dispatcher {
	d, present := n.dispatchers[pool]
	if present {
		return d
	}
	d = dispatcher.New(dispatcher.Options{
		Pool:       pool,
		DataCentre: n.options.DataCentre,
		Queue:      n.options.Queue,
		Meter:      n.sums.meter,
	})
	if n.config != nil {
		d.Configure(now, n.config)
	}
	n.dispatchers[pool] = d
	return d
}

func (n *Node) act(action Action) { n.actions = append(n.actions, action) }

// pools returns the configured pools in order.
func (n *Node) pools() []version.PoolID {
	pools := make([]version.PoolID, 0, len(n.config.Pools))
	for id := range n.config.Pools {
		pools = append(pools, id)
	}
	slices.Sort(pools)
	return pools
}

// ownedPools returns the pools dispatched here, in order.
func (n *Node) ownedPools() []version.PoolID {
	pools := make([]version.PoolID, 0, len(n.dispatchers))
	for id := range n.dispatchers {
		pools = append(pools, id)
	}
	slices.Sort(pools)
	return pools
}

func dispatcherKey(pool version.PoolID) string {
	return "dispatcher/" + strconv.FormatUint(uint64(pool), 10)
}

// submit admits a request of a caller.
func (n *Node) submit(now time.Time, ticket request.Ticket) {
	if n.config == nil {
		n.act(Refused{ID: ticket.ID, Refusal: request.Refusal{
			Reason:    request.ReasonNotReady,
			Execution: request.NotRun,
		}})
		return
	}
	n.entry.Submit(now, ticket)
}
