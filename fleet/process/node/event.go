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

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Event is an input to a Node.
type Event interface {
	apply(n *Node, now time.Time)
}

// Submit is a caller's request, or a further attempt of one.
type Submit struct{ Ticket request.Ticket }

// Withdraw ends a waiting request whose caller has disconnected.
type Withdraw struct{ ID request.ID }

// Charge is service that an account received from a running attempt.
type Charge struct {
	// ID is the request of the attempt; without a known ID the service is
	// charged only at the end of the attempt.
	ID      request.ID
	Account version.AccountID
	Cost    request.Cost
}

// Finish is the completion of an attempt at an upstream.
type Finish struct{ Finish request.Finish }

// Limit is what the answer to a request says of its upstream's rate limit.
type Limit struct {
	Upstream version.UpstreamID
	Limit    request.RateLimit
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Receive is one message from another daemon.
type Receive struct {
	From        version.VMID
	Incarnation uint64
	Message     wire.Message
}

// Configure is a configuration version that this daemon received.
type Configure struct{ Config *version.Config }

// Directory is the platform's list of VMs, which lags behind the actual VMs.
type Directory struct{ VMs []membership.VM }

// Leave starts draining: the daemon gives up its roles.
type Leave struct{}

// Unreachable is a daemon to which messages could not be sent.
type Unreachable struct{ VM version.VMID }

// Load is an upstream's load report.
type Load struct {
	Upstream version.UpstreamID
	Load     slots.Load
}

// LoadUnsupported is an upstream's answer that it does not report its load.
type LoadUnsupported struct{ Upstream version.UpstreamID }

// PeerUp is a link to another daemon that was established.
type PeerUp struct{ Hello wire.Hello }

// PeerDown is a link to another daemon that was closed or lost.
type PeerDown struct{ Hello wire.Hello }

func (e Submit) apply(n *Node, now time.Time)    { n.submit(now, e.Ticket) }
func (e Charge) apply(n *Node, now time.Time)    { n.charge(now, e) }
func (e Configure) apply(n *Node, now time.Time) { n.configure(now, e.Config) }
func (e Directory) apply(n *Node, now time.Time) { n.updateVMList(now, e.VMs) }
func (Leave) apply(n *Node, now time.Time)       { n.leave(now) }
func (e PeerUp) apply(n *Node, now time.Time)    { n.peerUp(now, e.Hello) }
func (e PeerDown) apply(n *Node, now time.Time)  { n.peerDown(now, e.Hello) }

func (e Withdraw) apply(n *Node, _ time.Time) {
	n.dropAttempt(e.ID)
	n.entry.Withdraw(e.ID)
}

func (e Unreachable) apply(n *Node, now time.Time) { n.unreachable(now, e.VM) }

func (e Load) apply(n *Node, now time.Time) {
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].ReportLoad(now, e.Upstream, e.Load)
	}
}

func (e LoadUnsupported) apply(n *Node, now time.Time) {
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].LoadUnsupported(now, e.Upstream)
	}
}

func (e Finish) apply(n *Node, now time.Time) {
	n.finishAttempt(e.Finish)
	n.entry.End(now, e.Finish, n.expectedFirstToken(e.Finish.Pool))
	n.options.Timeline.Record(now, timeline.Event{
		Kind:     timeline.KindFinished,
		Request:  request.Key{Entry: n.options.VM, Incarnation: n.options.Incarnation, ID: e.Finish.ID},
		Attempt:  e.Finish.Attempt,
		Pool:     e.Finish.Pool,
		Upstream: e.Finish.Upstream,
	})
}

func (e Limit) apply(n *Node, now time.Time) {
	if n.config == nil {
		return
	}
	if upstream, present := n.config.Upstreams[e.Upstream]; present {
		n.entry.ObserveLimit(now, upstream.Pool, e.Upstream, now.Sub(e.SentAt), e.Limit)
	}
}

func (e Receive) apply(n *Node, now time.Time) {
	n.received++
	from := dispatcher.EntryID{VM: e.From, Incarnation: e.Incarnation}
	n.receive(now, from, e.Message)
}

// Action is an output of a Node, which its caller has to carry out.
type Action interface{ action() }

// Send is a message to send to another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Granted is a request that may now be sent to an upstream.
type Granted struct{ Grant request.Grant }

// Refused is a request to refuse.
type Refused struct {
	ID      request.ID
	Refusal request.Refusal
}

// Connect asks the caller to keep a link to a daemon open.
type Connect struct {
	VM version.VMID
	// Address is the host:port of the daemon's peer listener.
	Address string
}

// Disconnect asks the caller to stop dialling a daemon and to close the link if
// it was dialled from here.
type Disconnect struct{ VM version.VMID }

// Poll asks the caller for an upstream's load, to be answered by Load or
// LoadUnsupported.
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
