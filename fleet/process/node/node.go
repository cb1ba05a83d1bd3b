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
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/entry"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// pauseTime is how long a node may go without a step before what it believes
// of others is checked ahead of anything else.
const pauseTime = time.Second

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
	tracker     *membership.Tracker
	view        membership.View
	entry       *entry.Entry
	sums        *sums
	dispatchers map[version.PoolID]*dispatcher.Dispatcher
	roles       roles
	links       links
	out         outOfService
	actions     []Action
	lastStep    time.Time
	lastSession wire.Session

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
	n := &Node{
		options:     options,
		tracker:     membership.New(membership.Options{Self: self, Seed: options.Seed}),
		view:        membership.NewView([]membership.Member{self}),
		sums:        newSums(),
		dispatchers: make(map[version.PoolID]*dispatcher.Dispatcher),
		links:       newLinks(),
	}
	n.entry = entry.New(entry.Options{NextSession: n.nextSession})
	return n
}

// Config returns the configuration version in force, or nil.
func (n *Node) Config() *version.Config { return n.config }

// View returns the members as seen from here.
func (n *Node) View() membership.View { return n.view }

// Step handles one event.
func (n *Node) Step(now time.Time, event Event) {
	n.wake(now)
	event.apply(n, now)
	n.follow(now)
	n.settle(now)
}

// Tick advances time. It is called every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.lastStep = now
	n.tracker.Tick(now)
	n.entry.Tick(now)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Tick(now)
	}
	n.tickService(now)
	n.tickOutOfService(now)
	n.tickRoles(now)
	n.poll(now)
	n.settle(now)
}

// Ready takes out the actions to carry out, in order.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// wake checks what is believed of others after a pause: registrations that
// nobody renewed meanwhile must not be used for a grant.
func (n *Node) wake(now time.Time) {
	paused := !n.lastStep.IsZero() && now.Sub(n.lastStep) >= pauseTime
	n.lastStep = now
	if !paused {
		return
	}
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Tick(now)
	}
}

// configure applies a higher version and ignores any other.
func (n *Node) configure(now time.Time, config *version.Config) {
	if n.config != nil && config.Number <= n.config.Number {
		return
	}
	n.config = config
	n.sums.meter.Configure(config)
	n.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindConfigured, Version: config.Number})
	n.noteOutOfService(now)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Configure(now, config)
	}
	n.roles.stale = true
}

// settle moves messages between the parts until none is left.
func (n *Node) settle(now time.Time) {
	for n.drainTracker() || n.drainEntry(now) || n.drainDispatchers(now) {
		continue
	}
	for _, grant := range n.entry.Granted() {
		n.countCrossRegion(grant)
		n.act(Granted{Grant: grant})
	}
	for _, refused := range n.entry.Refused() {
		n.streamDropped(refused.ID)
		n.act(Refused{ID: refused.ID, Refusal: refused.Refusal})
	}
}

func (n *Node) drainTracker() bool {
	outbox := n.tracker.Outbox()
	for _, send := range outbox {
		n.transmit(send.To, send.Message)
	}
	return len(outbox) > 0
}

func (n *Node) drainEntry(now time.Time) bool {
	outbox := n.entry.Outbox()
	for _, send := range outbox {
		n.deliver(now, send.To, send.Message)
	}
	return len(outbox) > 0
}

func (n *Node) drainDispatchers(now time.Time) bool {
	moved := false
	for _, pool := range n.ownedPools() {
		for _, send := range n.dispatchers[pool].Outbox() {
			moved = true
			n.deliver(now, send.To, send.Message)
		}
	}
	return moved
}

// deliver sends a message, or handles it at once if it is for this daemon.
func (n *Node) deliver(now time.Time, to version.VMID, message wire.Message) {
	if to != n.options.VM {
		n.transmit(to, message)
		return
	}
	from := dispatcher.Entry{VM: n.options.VM, Incarnation: n.options.Incarnation}
	n.receive(now, from, message)
}

// transmit sends a message over the link to its receiver. One about service
// sums for a daemon in another data centre that is not linked goes to one that
// is, which passes it on. Without any link it is dropped; what it says is said
// again once there is one.
func (n *Node) transmit(to version.VMID, message wire.Message) {
	if !n.tracker.Linked(to) {
		contact, found := n.contactFor(to, message)
		if !found {
			return
		}
		to = contact
	}
	n.sent++
	n.act(Send{To: to, Message: message})
}

func (n *Node) act(action Action) { n.actions = append(n.actions, action) }

func (n *Node) nextSession() wire.Session {
	n.lastSession++
	return n.lastSession
}

// pools returns the configured pools in order.
func (n *Node) pools() []version.PoolID {
	if n.config == nil {
		return nil
	}
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
