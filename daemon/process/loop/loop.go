// Package loop runs a daemon's decision core: one goroutine owns the node,
// takes events from a bounded ring and carries out the resulting actions.
package loop

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

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

// Options set up a Loop.
type Options struct {
	Node   *node.Node
	Sender Sender
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

	mu      sync.Mutex
	waiters map[request.ID]chan decision
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
		waiters: make(map[request.ID]chan decision),
	}
}

// SetSender sets the carrier of messages. It must be called before Run.
func (l *Loop) SetSender(sender Sender) { l.options.Sender = sender }

// Run owns the node until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
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
		l.carryOut()
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

// Config returns the configuration in force, or nil.
func (l *Loop) Config() *version.Config { return l.config.Load() }

// NewID returns an unused request ID.
func (l *Loop) NewID() request.ID { return request.ID(l.nextID.Add(1)) }

// Acquire waits until the fleet grants an upstream for the ticket, refuses it
// or ctx ends.
func (l *Loop) Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	decided := l.await(ticket.ID)
	defer l.forget(ticket.ID)
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
		l.Post(node.Withdraw{ID: ticket.ID})
		return request.Grant{}, &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotRun}
	}
}

func (l *Loop) decide(d decision) (request.Grant, *request.Refusal) {
	if d.refusal != nil {
		return request.Grant{}, d.refusal
	}
	return *d.grant, nil
}

// Post hands an event to the node and waits for room in the ring.
func (l *Loop) Post(event node.Event) { l.events <- event }

// offer hands an event to the node unless the ring is full.
func (l *Loop) offer(event node.Event) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

func (l *Loop) await(id request.ID) chan decision {
	decided := make(chan decision, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters[id] = decided
	return decided
}

func (l *Loop) forget(id request.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
}

// carryOut does what the node decided.
func (l *Loop) carryOut() {
	for _, action := range l.options.Node.Ready() {
		switch a := action.(type) {
		case node.Send:
			l.options.Sender.Send(a.To, a.Message)
		case node.Granted:
			l.resolve(a.Grant.ID, decision{grant: &a.Grant})
		case node.Refused:
			l.resolve(a.ID, decision{refusal: &a.Refusal})
		}
	}
	l.config.Store(l.options.Node.Config())
}

// resolve ends a wait. A grant that nobody waits for any more is handed back.
func (l *Loop) resolve(id request.ID, d decision) {
	l.mu.Lock()
	decided, waiting := l.waiters[id]
	delete(l.waiters, id)
	l.mu.Unlock()
	if waiting {
		decided <- d
		return
	}
	if d.grant != nil {
		l.options.Node.Step(time.Now(), node.End{Finish: unused(*d.grant)})
	}
}

func unused(grant request.Grant) request.Finish {
	return request.Finish{
		ID:       grant.ID,
		Attempt:  grant.Attempt,
		Pool:     grant.Pool,
		Upstream: grant.Upstream,
		Outcome:  request.OutcomeUnused,
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
func (l *Loop) Charge(account version.AccountID, cost request.Cost) {
	l.Post(node.Charge{Account: account, Cost: cost})
}

// End reports the end of an attempt.
func (l *Loop) End(finish request.Finish) { l.Post(node.End{Finish: finish}) }
