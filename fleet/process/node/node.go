// Package node combines the decision logic of one daemon: its entry, the
// dispatchers of the pools that it owns, service accounting and membership.
//
// A Node does no I/O and reads no clock. Its caller feeds it events and the
// current time with Step and Tick, and carries out the actions that Ready
// returns:
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

// maxStepGap is the time without a step or tick after which the registrations
// held here are checked for expiry before anything else.
const maxStepGap = time.Second

// Options configure a Node.
type Options struct {
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	// Seed seeds the node's random choices.
	Seed  uint64
	Queue queue.Options
	// Timeline records the node's events; it must not be nil.
	Timeline *timeline.Ring
}

// Node is the decision logic of one daemon. It is not safe for concurrent use.
type Node struct {
	options      Options
	config       *version.Config
	tracker      *membership.Tracker
	view         membership.View
	entry        *entry.Entry
	accounting   *serviceAccounting
	dispatchers  map[version.PoolID]*dispatcher.Dispatcher
	roles        roles
	links        links
	outOfService outOfService
	actions      []Action
	lastStep     time.Time
	lastSession  wire.Session

	crossRegionBytes uint64
	sent             uint64
	received         uint64
}

// New returns a node without configuration and peers.
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
		accounting:  newServiceAccounting(),
		dispatchers: make(map[version.PoolID]*dispatcher.Dispatcher),
		links:       newLinks(),
	}
	n.entry = entry.New(entry.Options{NextSession: n.nextSession})
	return n
}

// Config returns the active configuration version, or nil.
func (n *Node) Config() *version.Config { return n.config }

// View returns the members of the fleet as this daemon sees them.
func (n *Node) View() membership.View { return n.view }

// Step handles one event.
func (n *Node) Step(now time.Time, event Event) {
	n.refreshAfterPause(now)
	event.apply(n, now)
	n.refreshRoles(now)
	n.drain(now)
}

// Tick advances time. The caller calls it every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.lastStep = now
	n.tracker.Tick(now)
	n.entry.Tick(now)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Tick(now)
	}
	n.tickService(now)
	n.refuseWhileOutOfService(now)
	n.tickRoles(now)
	n.pollUpstreams(now)
	n.drain(now)
}

// Ready removes and returns the actions to carry out, in order.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// refreshAfterPause expires registrations after a pause of this process: one
// that was not renewed meanwhile must not be used for a grant.
func (n *Node) refreshAfterPause(now time.Time) {
	paused := !n.lastStep.IsZero() && now.Sub(n.lastStep) >= maxStepGap
	n.lastStep = now
	if !paused {
		return
	}
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Tick(now)
	}
}

// configure applies a configuration version if it is higher than the active
// one.
func (n *Node) configure(now time.Time, config *version.Config) {
	if n.config != nil && config.Number <= n.config.Number {
		return
	}
	n.config = config
	n.entry.Configure(config)
	n.accounting.meter.Configure(config)
	n.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindConfigured, Version: config.Number})
	n.updateOutOfService(now)
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Configure(now, config)
	}
	n.roles.stale = true
}

// drain moves messages between the components of the node until there are none
// left, and then collects the entry's grants and refusals.
func (n *Node) drain(now time.Time) {
	for n.drainTracker() || n.drainEntry(now) || n.drainDispatchers(now) {
		continue
	}
	for _, grant := range n.entry.Granted() {
		n.countCrossRegion(grant)
		n.emit(Granted{Grant: grant})
	}
	for _, refused := range n.entry.Refused() {
		n.dropAttempt(refused.ID)
		n.emit(Refused{ID: refused.ID, Refusal: refused.Refusal})
	}
}

// drainTracker sends the messages of the membership tracker and reports whether
// there were any.
func (n *Node) drainTracker() bool {
	outbox := n.tracker.Outbox()
	for _, send := range outbox {
		n.transmit(send.To, send.Message)
	}
	return len(outbox) > 0
}

// drainEntry sends the messages of the entry and reports whether there were
// any.
func (n *Node) drainEntry(now time.Time) bool {
	outbox := n.entry.Outbox()
	for _, send := range outbox {
		n.deliver(now, send.To, send.Message)
	}
	return len(outbox) > 0
}

// drainDispatchers sends the messages of the dispatchers and reports whether
// there were any.
func (n *Node) drainDispatchers(now time.Time) bool {
	sent := false
	for _, pool := range n.ownedPools() {
		for _, send := range n.dispatchers[pool].Outbox() {
			sent = true
			n.deliver(now, send.To, send.Message)
		}
	}
	return sent
}

// deliver sends a message, or handles it at once if it is addressed to this
// daemon.
func (n *Node) deliver(now time.Time, to version.VMID, message wire.Message) {
	if to != n.options.VM {
		n.transmit(to, message)
		return
	}
	from := dispatcher.EntryID{VM: n.options.VM, Incarnation: n.options.Incarnation}
	n.receive(now, from, message)
}

// transmit sends a message over the link to its receiver. A message about
// service sums for a daemon of another data centre that is not linked is sent
// to a linked daemon there, which forwards it. Without any link a message is
// dropped; its content is sent again once there is a link.
func (n *Node) transmit(to version.VMID, message wire.Message) {
	if !n.tracker.Linked(to) {
		contact, found := n.contactFor(to, message)
		if !found {
			return
		}
		to = contact
	}
	n.sent++
	n.emit(Send{To: to, Message: message})
}

// emit adds an action for the caller to carry out.
func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// nextSession returns a session number greater than any before it.
func (n *Node) nextSession() wire.Session {
	n.lastSession++
	return n.lastSession
}

// pools returns the configured pools, in order.
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

// ownedPools returns the pools that have a dispatcher here, in order.
func (n *Node) ownedPools() []version.PoolID {
	pools := make([]version.PoolID, 0, len(n.dispatchers))
	for id := range n.dispatchers {
		pools = append(pools, id)
	}
	slices.Sort(pools)
	return pools
}
