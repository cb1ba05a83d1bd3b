// Package ledger runs a daemon's part in the ledger of non-idempotent
// requests: one goroutine owns the decision core, a few carry its calls to the
// platform's store, and one removes objects after their retention.
package ledger

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ringEvents bounds the events that wait for the core.
	ringEvents = 8192
	// longestWait bounds a claim whose context has no deadline.
	longestWait = time.Minute
	// settleInterval is how often Drain looks whether all is recorded.
	settleInterval = 20 * time.Millisecond
)

// Sender carries messages to other daemons.
type Sender interface {
	// Send reports false if the message cannot be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Options set up a Ledger.
type Options struct {
	VM     version.VMID
	Store  objectstore.Store
	Sender Sender
	Log    *slog.Logger
	// WritesPerSecond bounds the writes of the whole fleet's ledger; default
	// core.DefaultWritesPerSecond.
	WritesPerSecond int
}

// Ledger owns the decision core. Its methods are safe for concurrent use. It
// implements serve.Ledger.
type Ledger struct {
	options Options
	core    *core.Ledger
	events  chan core.Event
	calls   chan core.Action
	// routing keeps the core's table the same as owners.
	routing  sync.Mutex
	owners   atomic.Pointer[core.Owners]
	settled  atomic.Bool
	counters counters
	// done is closed when Run ends.
	done chan struct{}

	waiters wait.Map[uuid.UUID, claim.Verdict]
}

// New returns a ledger that does not run yet.
func New(options Options) *Ledger {
	l := &Ledger{
		options: options,
		core: core.New(core.Options{
			VM:              options.VM,
			Start:           time.Now(),
			Seed:            rand.Uint64(),
			WritesPerSecond: options.WritesPerSecond,
		}),
		events: make(chan core.Event, ringEvents),
		// A shard has one call under way at most, so this ring never fills.
		calls: make(chan core.Action, core.Shards),
		done:  make(chan struct{}),
	}
	l.owners.Store(&core.Owners{})
	l.settled.Store(true)
	return l
}

// Run owns the core until ctx ends. It must be called once.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for range core.Shards {
		callers.Go(func() { l.carryCalls(ctx) })
	}
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			l.core.Step(time.Now(), event)
		case <-ticker.C:
			l.core.Tick(time.Now())
		}
		l.carryOut(ctx)
	}
}

// carryOut does what the core decided.
func (l *Ledger) carryOut(ctx context.Context) {
	for actions := l.core.Ready(); len(actions) > 0; actions = l.core.Ready() {
		for _, action := range actions {
			l.perform(ctx, action)
		}
	}
	l.settled.Store(len(l.events) == 0 && l.core.Settled())
}

func (l *Ledger) perform(ctx context.Context, action core.Action) {
	switch a := action.(type) {
	case core.Send:
		if !l.options.Sender.Send(a.To, a.Message) {
			l.core.Step(time.Now(), core.Undelivered(a))
		}
	case core.Decide:
		l.counters.verdict(a.Verdict)
		l.resolve(a)
	default:
		select {
		case l.calls <- a:
		case <-ctx.Done():
		}
	}
}

// Claim implements serve.Ledger.
func (l *Ledger) Claim(ctx context.Context, c claim.Claim) claim.Verdict {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(longestWait)
	}
	decided := l.waiters.Await(c.Attempt)
	l.settled.Store(false)
	select {
	case l.events <- core.Submit{Claim: c, Deadline: deadline}:
	default:
		l.waiters.Forget(c.Attempt)
		return claim.Verdict{Refusal: core.Overloaded()}
	}
	select {
	case verdict := <-decided:
		return verdict
	case <-ctx.Done():
		l.post(core.Withdraw{Attempt: c.Attempt})
	case <-l.done:
		return claim.Verdict{Refusal: core.Overloaded()}
	}
	// The core decides every claim once, a withdrawn one at once.
	select {
	case verdict := <-decided:
		return verdict
	case <-l.done:
		return claim.Verdict{Refusal: core.Overloaded()}
	}
}

// Record implements serve.Ledger.
func (l *Ledger) Record(c claim.Claim, answer *claim.Answer) {
	l.post(core.Finish{Claim: c, Answer: answer})
}

// Release implements serve.Ledger.
func (l *Ledger) Release(c claim.Claim) { l.post(core.Release{Claim: c}) }

// Receive handles messages of a link.
func (l *Ledger) Receive(from version.VMID, messages []wire.Message) {
	for _, message := range messages {
		l.post(core.Receive{From: from, Message: message})
	}
}

// SetOwners sets who writes the shards.
func (l *Ledger) SetOwners(owners core.Owners) {
	l.routing.Lock()
	defer l.routing.Unlock()
	if *l.owners.Load() == owners {
		return
	}
	l.owners.Store(&owners)
	l.post(core.Route{Owners: owners})
}

// LinkDown handles a link that went down.
func (l *Ledger) LinkDown(vm version.VMID) { l.post(core.LinkLost{VM: vm}) }

// Drain has every ending recorded at once and waits until all are, or ctx
// ends.
func (l *Ledger) Drain(ctx context.Context) {
	l.post(core.Flush{})
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for !l.settled.Load() {
		select {
		case <-ctx.Done():
			l.options.Log.Warn("endings of requests are left unrecorded")
			return
		case <-l.done:
			return
		case <-ticker.C:
		}
	}
}

// post hands an event to the core. It waits for room in the ring, so that a
// link that brings more than the core can handle is slowed down. After Run it
// does nothing.
func (l *Ledger) post(event core.Event) {
	l.settled.Store(false)
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// resolve ends the wait of a claim.
func (l *Ledger) resolve(d core.Decide) {
	// A claim that was given up has no waiter any more.
	l.waiters.Resolve(d.Attempt, d.Verdict)
}
