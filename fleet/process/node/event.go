package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// TickInterval is how often Tick is called.
const TickInterval = 50 * time.Millisecond

// Event is something that happened to a daemon.
type Event interface {
	apply(n *Node, now time.Time)
}

// Submit is a caller's request, or a further attempt of one.
type Submit struct{ Ticket request.Ticket }

// Withdraw is a caller that went away while its request waited.
type Withdraw struct{ ID request.ID }

// Charge is service that an account received from a running attempt.
type Charge struct {
	// ID is the attempt's request; without it the charge waits for the end.
	ID      request.ID
	Account version.AccountID
	Cost    request.Cost
}

// End is the end of an attempt at an upstream.
type End struct{ Finish request.Finish }

// Receive is one message from another daemon.
type Receive struct {
	From        version.VMID
	Incarnation uint64
	Message     wire.Message
}

// Configure is a configuration version that became known.
type Configure struct{ Config *version.Config }

// Directory is the platform's list of VMs, which lags.
type Directory struct{ VMs []membership.VM }

// Leave begins to drain: the daemon gives up its roles.
type Leave struct{}

// Unreachable is a daemon to which messages could not be sent.
type Unreachable struct{ VM version.VMID }

// Load is an upstream's report of its load.
type Load struct {
	Upstream version.UpstreamID
	Load     slots.Load
}

// NoLoad is an upstream that answered that it does not report its load.
type NoLoad struct{ Upstream version.UpstreamID }

// PeerUp is a link to another daemon that came up.
type PeerUp struct{ Hello wire.Hello }

// PeerDown is a link to another daemon that went down.
type PeerDown struct{ Hello wire.Hello }

func (e Submit) apply(n *Node, now time.Time)    { n.submit(now, e.Ticket) }
func (e Charge) apply(n *Node, now time.Time)    { n.charge(now, e) }
func (e Configure) apply(n *Node, now time.Time) { n.configure(now, e.Config) }
func (e Directory) apply(n *Node, now time.Time) { n.list(now, e.VMs) }
func (Leave) apply(n *Node, now time.Time)       { n.leave(now) }
func (e PeerUp) apply(n *Node, now time.Time)    { n.peerUp(now, e.Hello) }
func (e PeerDown) apply(n *Node, now time.Time)  { n.peerDown(now, e.Hello) }

func (e Withdraw) apply(n *Node, _ time.Time) {
	n.streamDropped(e.ID)
	n.entry.Withdraw(e.ID)
}

func (e Unreachable) apply(n *Node, now time.Time) { n.unreachable(now, e.VM) }

func (e Load) apply(n *Node, now time.Time) {
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].Report(now, e.Upstream, e.Load)
	}
}

func (e NoLoad) apply(n *Node, now time.Time) {
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].NoReport(now, e.Upstream)
	}
}

func (e End) apply(n *Node, now time.Time) {
	n.streamEnded(e.Finish)
	n.entry.End(now, e.Finish, n.expectedFirstToken(e.Finish.Pool))
	n.options.Timeline.Record(now, timeline.Event{
		Kind:     timeline.KindFinished,
		Request:  request.Key{Entry: n.options.VM, Incarnation: n.options.Incarnation, ID: e.Finish.ID},
		Attempt:  e.Finish.Attempt,
		Pool:     e.Finish.Pool,
		Upstream: e.Finish.Upstream,
	})
}

func (e Receive) apply(n *Node, now time.Time) {
	n.received++
	from := dispatcher.Entry{VM: e.From, Incarnation: e.Incarnation}
	n.receive(now, from, e.Message)
}

// Action is something that the caller of a Node has to carry out.
type Action interface{ action() }

// Send is a message to be sent to another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Granted lets the entry send a request to an upstream.
type Granted struct{ Grant request.Grant }

// Refused is a request to be refused.
type Refused struct {
	ID      request.ID
	Refusal request.Refusal
}

// Connect asks to keep a link to a daemon open.
type Connect struct {
	VM version.VMID
	// Address is the host:port of its peer listener.
	Address string
}

// Disconnect asks to dial a daemon no more and to end a link that was dialled.
type Disconnect struct{ VM version.VMID }

// Poll asks for an upstream's load. It is answered by Load or NoLoad.
type Poll struct {
	Upstream version.UpstreamID
	// Address is the host:port of the upstream.
	Address string
}

func (Send) action()       {}
func (Granted) action()    {}
func (Refused) action()    {}
func (Connect) action()    {}
func (Disconnect) action() {}
func (Poll) action()       {}
