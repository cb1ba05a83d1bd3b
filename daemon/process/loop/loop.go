// Package loop runs a daemon's decision core: one goroutine owns the node,
// takes events from a bounded ring and carries out the resulting actions.
package loop

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ringEvents bounds the events that wait for the node.
const ringEvents = 16384

// statsTicks is the number of ticks between two pictures of the node.
const statsTicks = 10

// Sender carries messages to other daemons.
type Sender interface {
	// Send reports false if the message cannot be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Linker keeps links to other daemons open.
type Linker interface {
	// Connect keeps a link to a VM open until ctx ends or Disconnect.
	Connect(ctx context.Context, vm version.VMID, address string)
	// Disconnect stops dialling a VM and ends a link that was dialled.
	Disconnect(vm version.VMID)
}

// Poller asks upstreams for their load.
type Poller interface {
	// Poll asks an upstream; the answer is an event of the loop.
	Poll(upstream version.UpstreamID, address string)
}

// Options set up a Loop.
type Options struct {
	Node   *node.Node
	Sender Sender
	Linker Linker
	Poller Poller
	Log    *slog.Logger
}

// Loop owns a node. Its methods are safe for concurrent use.
type Loop struct {
	options Options
	events  chan node.Event
	config  atomic.Pointer[version.Config]
	stats   atomic.Pointer[node.Stats]
	nextID  atomic.Uint64
	// ticks belongs to the goroutine of Run.
	ticks uint64

	// done is closed when Run ends.
	done chan struct{}

	waiters wait.Map[request.ID, decision]
}

// decision ends a request's wait: exactly one field is set.
type decision struct {
	grant   *request.Grant
	refusal *request.Refusal
}

// New returns a loop that does not run yet.
func New(options Options) *Loop {
	return &Loop{
		options: options,
		events:  make(chan node.Event, ringEvents),
		done:    make(chan struct{}),
	}
}

// SetSender sets the carrier of messages. It must be called before Run.
func (l *Loop) SetSender(sender Sender) { l.options.Sender = sender }

// SetLinker sets the keeper of links. It must be called before Run.
func (l *Loop) SetLinker(linker Linker) { l.options.Linker = linker }

// SetPoller sets who asks for loads. It must be called before Run.
func (l *Loop) SetPoller(poller Poller) { l.options.Poller = poller }

// Run owns the node until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			l.options.Node.Step(time.Now(), event)
		case <-ticker.C:
			l.tick(time.Now())
		}
		l.carryOut(ctx)
	}
}

// tick advances the node and publishes its picture every statsTicks.
func (l *Loop) tick(now time.Time) {
	l.options.Node.Tick(now)
	l.ticks++
	if l.ticks%statsTicks == 1 {
		stats := l.options.Node.Stats(now)
		l.stats.Store(&stats)
	}
}

// Stats returns the latest picture of the node, or nil before the first tick.
// Nobody may change it.
func (l *Loop) Stats() *node.Stats { return l.stats.Load() }

// RingFill returns how many events wait for the node, and how many may.
func (l *Loop) RingFill() (waiting, capacity int) { return len(l.events), cap(l.events) }

// Config returns the configuration in force, or nil.
func (l *Loop) Config() *version.Config { return l.config.Load() }

// NewID returns an unused request ID.
func (l *Loop) NewID() request.ID { return request.ID(l.nextID.Add(1)) }

// Acquire waits until the fleet grants an upstream for the ticket, refuses it
// or ctx ends.
func (l *Loop) Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	decided := l.waiters.Await(ticket.ID)
	defer l.waiters.Forget(ticket.ID)
	if !l.offer(node.Submit{Ticket: ticket}) {
		return request.Grant{}, &request.Refusal{
			Reason:     request.ReasonQueueFull,
			Execution:  request.NotRun,
			RetryAfter: time.Second,
		}
	}
	select {
	case d := <-decided:
		return l.decide(d)
	case <-ctx.Done():
		return l.abandon(ctx, ticket.ID, decided)
	}
}

// abandon ends a wait whose ctx has ended. A grant that came at the same time
// is handed back.
func (l *Loop) abandon(ctx context.Context, id request.ID, decided <-chan decision) (request.Grant, *request.Refusal) {
	l.waiters.Forget(id)
	select {
	case d := <-decided:
		if d.grant != nil {
			l.End(d.grant.Unused())
		}
	default:
		l.Post(node.Withdraw{ID: id})
	}
	refusal := &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotRun, RetryAfter: time.Second}
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal = &request.Refusal{Reason: request.ReasonCallerGone, Execution: request.NotRun}
	}
	return request.Grant{}, refusal
}

func (l *Loop) decide(d decision) (request.Grant, *request.Refusal) {
	if d.refusal != nil {
		return request.Grant{}, d.refusal
	}
	return *d.grant, nil
}

// Post hands an event to the node. It waits for room in the ring, so that a
// link or a relay that brings more than the node can handle is slowed down
// rather than cut. After Run it does nothing.
func (l *Loop) Post(event node.Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// offer hands an event to the node unless the ring is full.
func (l *Loop) offer(event node.Event) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// carryOut does what the node decided.
func (l *Loop) carryOut(ctx context.Context) {
	for actions := l.options.Node.Ready(); len(actions) > 0; actions = l.options.Node.Ready() {
		for _, vm := range l.perform(ctx, actions) {
			l.options.Node.Step(time.Now(), node.Unreachable{VM: vm})
		}
	}
	l.config.Store(l.options.Node.Config())
}

// perform carries out actions and returns the VMs to which a message could not
// be sent.
func (l *Loop) perform(ctx context.Context, actions []node.Action) []version.VMID {
	var unreachable []version.VMID
	for _, action := range actions {
		switch a := action.(type) {
		case node.Send:
			sent := slices.Contains(unreachable, a.To) || l.options.Sender.Send(a.To, a.Message)
			if !sent {
				unreachable = append(unreachable, a.To)
			}
		case node.Granted:
			l.resolve(a.Grant.ID, decision{grant: &a.Grant})
		case node.Refused:
			l.resolve(a.ID, decision{refusal: &a.Refusal})
		case node.Connect:
			l.options.Linker.Connect(ctx, a.VM, a.Address)
		case node.Disconnect:
			l.options.Linker.Disconnect(a.VM)
		case node.Poll:
			l.options.Poller.Poll(a.Upstream, a.Address)
		}
	}
	return unreachable
}

// resolve ends a wait. A grant that nobody waits for any more is handed back.
func (l *Loop) resolve(id request.ID, d decision) {
	if !l.waiters.Resolve(id, d) && d.grant != nil {
		l.options.Node.Step(time.Now(), node.End{Finish: d.grant.Unused()})
	}
}

// LinkUp implements peer.Handler.
func (l *Loop) LinkUp(hello wire.Hello) { l.Post(node.PeerUp{Hello: hello}) }

// Receive implements peer.Handler.
func (l *Loop) Receive(from wire.Hello, messages []wire.Message) {
	for _, message := range messages {
		l.Post(node.Receive{From: from.VM, Incarnation: from.Incarnation, Message: message})
	}
}

// LinkDown implements peer.Handler.
func (l *Loop) LinkDown(hello wire.Hello) { l.Post(node.PeerDown{Hello: hello}) }

// Charge counts service of a running attempt.
func (l *Loop) Charge(id request.ID, account version.AccountID, cost request.Cost) {
	l.Post(node.Charge{ID: id, Account: account, Cost: cost})
}

// End reports the end of an attempt.
func (l *Loop) End(finish request.Finish) { l.Post(node.End{Finish: finish}) }

// Load implements upstream.LoadHandler.
func (l *Loop) Load(upstream version.UpstreamID, load slots.Load) {
	l.Post(node.Load{Upstream: upstream, Load: load})
}

// NoLoad implements upstream.LoadHandler.
func (l *Loop) NoLoad(upstream version.UpstreamID) { l.Post(node.NoLoad{Upstream: upstream}) }
