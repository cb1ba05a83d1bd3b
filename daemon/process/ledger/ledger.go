// Package ledger runs a daemon's decision core for the ledger of non-idempotent
// requests: one goroutine owns the core, a pool of workers makes its calls to the
// platform's store, and a sweep removes objects after their retention.
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
	// eventQueueLength limits the events that wait for the core.
	eventQueueLength = 8192
	// defaultClaimTimeout limits a claim whose context has no deadline.
	defaultClaimTimeout = time.Minute
	// drainPollInterval is how often Drain checks whether everything is recorded.
	drainPollInterval = 20 * time.Millisecond
)

// Sender sends messages to other daemons.
type Sender interface {
	// Send reports false if the message cannot be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Options configures a Ledger.
type Options struct {
	VM     version.VMID
	Store  objectstore.Store
	Sender Sender
	Log    *slog.Logger
	// WritesPerSecond limits the rate of ledger writes of the whole fleet;
	// default core.DefaultWritesPerSecond.
	WritesPerSecond int
}

// Ledger owns the decision core. Its methods are safe for concurrent use. It
// implements serve.Ledger.
type Ledger struct {
	options Options
	core    *core.Ledger
	events  chan core.Event
	calls   chan core.Action
	// ownersMu makes the updates of owners and of the core's table happen in the
	// same order.
	ownersMu sync.Mutex
	owners   atomic.Pointer[core.Owners]
	settled  atomic.Bool
	// era is the store's era of the last return that was handled.
	era      atomic.Uint64
	counters counters
	// done is closed when Run returns.
	done chan struct{}

	waiters wait.Map[uuid.UUID, claim.Verdict]
}

// New returns a ledger that handles no events until Run is called.
func New(options Options) *Ledger {
	l := &Ledger{
		options: options,
		core: core.New(core.Options{
			VM:              options.VM,
			Start:           time.Now(),
			Seed:            rand.Uint64(),
			WritesPerSecond: options.WritesPerSecond,
		}),
		events: make(chan core.Event, eventQueueLength),
		// Each shard has at most one store call in progress, so a send to this
		// channel never blocks.
		calls: make(chan core.Action, core.ShardCount),
		done:  make(chan struct{}),
	}
	l.owners.Store(&core.Owners{})
	l.settled.Store(true)
	return l
}

// Run owns the core until ctx ends. It must be called once. It returns the error
// of ctx.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	var storeWorkers sync.WaitGroup
	defer storeWorkers.Wait()
	defer cancel()
	for range core.ShardCount {
		storeWorkers.Go(func() { l.runStoreCalls(ctx) })
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
		l.performActions(ctx)
	}
}

// performActions performs the actions that the core returned.
func (l *Ledger) performActions(ctx context.Context) {
	for actions := l.core.Ready(); len(actions) > 0; actions = l.core.Ready() {
		for _, action := range actions {
			l.performAction(ctx, action)
		}
	}
	l.settled.Store(len(l.events) == 0 && l.core.Settled())
}

func (l *Ledger) performAction(ctx context.Context, action core.Action) {
	switch a := action.(type) {
	case core.Send:
		if !l.options.Sender.Send(a.To, a.Message) {
			l.core.Step(time.Now(), core.Undelivered(a))
		}
	case core.Decide:
		l.counters.countVerdict(a.Verdict)
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
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = time.Now().Add(defaultClaimTimeout)
	}
	decided := l.waiters.Await(c.Attempt)
	l.settled.Store(false)
	select {
	case l.events <- core.Submit{Claim: c, Deadline: deadline}:
	default:
		l.waiters.Forget(c.Attempt)
		return claim.Verdict{Refusal: core.OverloadedRefusal()}
	}
	select {
	case verdict := <-decided:
		return verdict
	case <-ctx.Done():
		l.post(core.Withdraw{Attempt: c.Attempt})
	case <-l.done:
		return claim.Verdict{Refusal: core.OverloadedRefusal()}
	}
	// The core decides every claim exactly once, and a withdrawn one at once.
	select {
	case verdict := <-decided:
		return verdict
	case <-l.done:
		return claim.Verdict{Refusal: core.OverloadedRefusal()}
	}
}

// Record implements serve.Ledger.
func (l *Ledger) Record(c claim.Claim, answer *claim.Answer) {
	l.post(core.Finish{Claim: c, Answer: answer})
}

// Release implements serve.Ledger.
func (l *Ledger) Release(c claim.Claim) { l.post(core.Release{Claim: c}) }

// Receive handles messages received over a link.
func (l *Ledger) Receive(from version.VMID, messages []wire.Message) {
	for _, message := range messages {
		l.post(core.Receive{From: from, Message: message})
	}
}

// SetOwners replaces the table of shard owners.
func (l *Ledger) SetOwners(owners core.Owners) {
	l.ownersMu.Lock()
	defer l.ownersMu.Unlock()
	if *l.owners.Load() == owners {
		return
	}
	l.owners.Store(&owners)
	l.post(core.OwnersChanged{Owners: owners})
}

// StoreReturned handles the return of the store from an older copy of itself: what it has lost is
// written again, and claims wait until it has caught up. Only the first call for an era counts.
func (l *Ledger) StoreReturned(era uint64) {
	for known := l.era.Load(); known < era; known = l.era.Load() {
		if l.era.CompareAndSwap(known, era) {
			l.options.Log.Warn("store returned from an older copy, the ledger writes again what it lost", "era", era)
			l.post(core.StoreReturned{})
			return
		}
	}
}

// LinkDown handles the loss of the link to vm.
func (l *Ledger) LinkDown(vm version.VMID) { l.post(core.LinkLost{VM: vm}) }

// Drain has all completions recorded without delay and waits until they are, or
// ctx ends.
func (l *Ledger) Drain(ctx context.Context) {
	l.post(core.Flush{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !l.settled.Load() {
		select {
		case <-ctx.Done():
			l.options.Log.Warn("drain of the ledger cut off, some request outcomes stay unrecorded")
			return
		case <-l.done:
			return
		case <-ticker.C:
		}
	}
}

// post passes an event to the core. It blocks while the event queue is full, so
// that a link that delivers messages faster than the core handles them is slowed
// down. After Run it does nothing.
func (l *Ledger) post(event core.Event) {
	l.settled.Store(false)
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// resolve delivers the verdict on a claim to its waiter.
func (l *Ledger) resolve(d core.Decide) {
	// A claim that was given up has no waiter any more.
	l.waiters.Resolve(d.Attempt, d.Verdict)
}
