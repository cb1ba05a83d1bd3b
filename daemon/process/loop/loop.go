// Package loop runs a daemon's decision core: one goroutine owns the node, takes events
// from a bounded queue and performs the resulting actions.
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

// eventQueueCapacity bounds the number of events that wait for the node.
const eventQueueCapacity = 16384

// ticksPerStats is the number of node ticks between two updates of the statistics.
const ticksPerStats = 10

// Sender sends messages to other daemons.
type Sender interface {
	// Send reports whether the message could be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Linker keeps links to other daemons open.
type Linker interface {
	// Connect keeps a link to a VM open until ctx ends or Disconnect is called.
	Connect(ctx context.Context, vm version.VMID, address string)
	// Disconnect stops dialling a VM and closes a link that was dialled.
	Disconnect(vm version.VMID)
}

// Poller polls upstreams for their load.
type Poller interface {
	// Poll polls an upstream without waiting; the result is posted to the loop.
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

// Loop owns a node. Its methods are safe for concurrent use, except as noted.
type Loop struct {
	options Options
	events  chan node.Event
	config  atomic.Pointer[version.Config]
	stats   atomic.Pointer[node.Stats]
	nextID  atomic.Uint64
	// ticks counts the node's ticks. Only the goroutine of Run uses it.
	ticks uint64

	// stopped is closed when Run returns.
	stopped chan struct{}

	// pending are the calls of Acquire that wait for a decision.
	pending wait.Map[request.ID, decision]
}

// decision is the result of Acquire: exactly one field is set.
type decision struct {
	grant   *request.Grant
	refusal *request.Refusal
}

// New returns a loop that is started by Run.
func New(options Options) *Loop {
	return &Loop{
		options: options,
		events:  make(chan node.Event, eventQueueCapacity),
		stopped: make(chan struct{}),
	}
}

// SetSender sets the sender of messages. It must be called before Run.
func (l *Loop) SetSender(sender Sender) { l.options.Sender = sender }

// SetLinker sets the linker. It must be called before Run.
func (l *Loop) SetLinker(linker Linker) { l.options.Linker = linker }

// SetPoller sets the poller. It must be called before Run.
func (l *Loop) SetPoller(poller Poller) { l.options.Poller = poller }

// Run steps the node until ctx ends, and returns the error of ctx. It must be called once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
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
		l.performActions(ctx)
	}
}

// tick advances the node and publishes its statistics every ticksPerStats ticks.
func (l *Loop) tick(now time.Time) {
	l.options.Node.Tick(now)
	l.ticks++
	if l.ticks%ticksPerStats == 1 {
		stats := l.options.Node.Stats(now)
		l.stats.Store(&stats)
	}
}

// Stats returns the latest statistics of the node, or nil before the first tick. The
// caller must not modify them.
func (l *Loop) Stats() *node.Stats { return l.stats.Load() }

// EventQueueFill returns the number of events that wait for the node, and the capacity of
// their queue.
func (l *Loop) EventQueueFill() (waiting, capacity int) { return len(l.events), cap(l.events) }

// Config returns the active configuration, or nil before the first one.
func (l *Loop) Config() *version.Config { return l.config.Load() }

// NewID returns a request ID that this loop has not returned before.
func (l *Loop) NewID() request.ID { return request.ID(l.nextID.Add(1)) }

// Acquire waits until the fleet grants an upstream for the ticket or refuses it, or until
// ctx ends. It refuses at once if the event queue is full.
func (l *Loop) Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	decided := l.pending.Await(ticket.ID)
	defer l.pending.Forget(ticket.ID)
	if !l.tryPost(node.Submit{Ticket: ticket}) {
		return request.Grant{}, &request.Refusal{
			Reason:     request.ReasonQueueFull,
			Execution:  request.NotExecuted,
			RetryAfter: time.Second,
		}
	}
	select {
	case d := <-decided:
		return l.unpack(d)
	case <-ctx.Done():
		return l.abandon(ctx, ticket.ID, decided)
	}
}

// abandon ends a wait whose ctx has ended, and returns the refusal. A grant that arrived
// in the meantime is handed back.
func (l *Loop) abandon(ctx context.Context, id request.ID, decided <-chan decision) (request.Grant, *request.Refusal) {
	l.pending.Forget(id)
	select {
	case d := <-decided:
		if d.grant != nil {
			l.End(d.grant.Unused())
		}
	default:
		l.Post(node.Withdraw{ID: id})
	}
	refusal := &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotExecuted, RetryAfter: time.Second}
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal = &request.Refusal{Reason: request.ReasonCallerGone, Execution: request.NotExecuted}
	}
	return request.Grant{}, refusal
}

// unpack returns a decision as the results of Acquire.
func (l *Loop) unpack(d decision) (request.Grant, *request.Refusal) {
	if d.refusal != nil {
		return request.Grant{}, d.refusal
	}
	return *d.grant, nil
}

// Post queues an event for the node. It blocks while the queue is full, so that a link or
// a relay that posts more events than the node can handle is slowed down rather than
// closed. After Run has returned, it does not wait and events may be dropped.
func (l *Loop) Post(event node.Event) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// tryPost queues an event for the node. It reports false if the queue is full.
func (l *Loop) tryPost(event node.Event) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// performActions performs the actions that the node has decided on, until it has no more,
// and publishes its configuration.
func (l *Loop) performActions(ctx context.Context) {
	for actions := l.options.Node.Ready(); len(actions) > 0; actions = l.options.Node.Ready() {
		for _, vm := range l.perform(ctx, actions) {
			l.options.Node.Step(time.Now(), node.Unreachable{VM: vm})
		}
	}
	l.config.Store(l.options.Node.Config())
}

// perform performs actions and returns the VMs to which a message could not be sent.
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

// resolve ends the wait for a decision. A grant whose wait has already ended is handed
// back.
func (l *Loop) resolve(id request.ID, d decision) {
	if !l.pending.Resolve(id, d) && d.grant != nil {
		l.options.Node.Step(time.Now(), node.Finish{Finish: d.grant.Unused()})
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

// Charge implements relay.Accounting: it counts service of a running attempt.
func (l *Loop) Charge(id request.ID, account version.AccountID, cost request.Cost) {
	l.Post(node.Charge{ID: id, Account: account, Cost: cost})
}

// End implements relay.Accounting: it reports the outcome of an attempt.
func (l *Loop) End(finish request.Finish) { l.Post(node.Finish{Finish: finish}) }

// RecordAdvice records what the answer to a request, sent at sentAt, says of its upstream's rate
// limit.
func (l *Loop) RecordAdvice(upstream version.UpstreamID, _ string, sentAt time.Time, advice request.Advice) {
	if advice.Limit.State != request.LimitUnsaid {
		l.Post(node.Limit{Upstream: upstream, Limit: advice.Limit, SentAt: sentAt})
	}
}

// Load implements upstream.LoadHandler.
func (l *Loop) Load(upstream version.UpstreamID, load slots.Load) {
	l.Post(node.Load{Upstream: upstream, Load: load})
}

// LoadUnsupported implements upstream.LoadHandler.
func (l *Loop) LoadUnsupported(upstream version.UpstreamID) {
	l.Post(node.LoadUnsupported{Upstream: upstream})
}
