// Package ledger decides which attempts of non-idempotent requests may be
// sent. It does no I/O and reads no clock; the caller feeds it events and
// performs the actions that it returns:
//
//	ledger.Step(now, event)
//	for _, action := range ledger.Ready() { ... }
//
// Three roles are involved. The entry is the daemon that received the request
// and holds its attempt. It claims the request's idempotency key by sending a
// claim to a writer. The writer records claims and completions in the log of
// the key, a sequence of objects in the platform's store. The owner of a shard
// is the daemon that normally acts as its writer.
//
// Safety rests on these rules. An attempt may be sent only after a claim with
// the attempt's ID is in the store, put there by a write that was conditional on
// the object version read before. A claim is never transferred to another
// attempt. An entry that did not send an attempt and never will closes it; only
// then may another attempt claim the key. Everything else here (shard owners,
// batches, probes, caches) reduces store calls or latency and is not needed for
// safety.
package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// DefaultWritesPerSecond is the default of Options.WritesPerSecond.
const DefaultWritesPerSecond = 100

// Options configures a Ledger.
type Options struct {
	VM version.VMID
	// Start is the time at which the ledger starts.
	Start time.Time
	// Seed seeds the random jitter of the retry delays given to callers.
	Seed uint64
	// WritesPerSecond limits the sustained rate of ledger writes of the whole
	// fleet; default DefaultWritesPerSecond.
	WritesPerSecond int
}

// Ledger is one daemon's decision core for the ledger. It is not safe for
// concurrent use.
//
// As entry it tracks the attempts of its own callers; as writer it records the
// claims that entries send to it.
type Ledger struct {
	options Options
	random  *rand.Rand
	owners  Owners
	// relays maps a daemon of another data centre to the daemon that relayed its
	// last message; replies take the same path.
	relays map[version.VMID]version.VMID
	// writers are created on first use.
	writers [ShardCount]*writer
	// writeInterval is the minimum interval between two writes to a shard.
	writeInterval time.Duration
	storeCalls    callRegistry
	// settledAt is when the store has caught up after its last return from an older copy.
	settledAt time.Time
	// flushing is set once completions are to be written without delay.
	flushing bool

	attempts map[uuid.UUID]*attempt
	// completed are the attempts whose completions are not yet acknowledged,
	// oldest first.
	completed []uuid.UUID

	localMessages []wire.Message
	actions       []Action
}

// callRegistry numbers store calls and maps each one in progress to its writer.
type callRegistry struct {
	lastOperation Operation
	writers       map[Operation]*writer
}

func (r *callRegistry) start(w *writer) Operation {
	r.lastOperation++
	r.writers[r.lastOperation] = w
	return r.lastOperation
}

func (r *callRegistry) finish(operation Operation) *writer {
	w := r.writers[operation]
	delete(r.writers, operation)
	return w
}

// New returns a ledger without attempts. Until it gets an OwnersChanged event, it
// writes every shard itself.
func New(options Options) *Ledger {
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	return &Ledger{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
		writeInterval: ShardCount * time.Second / time.Duration(options.WritesPerSecond),
		storeCalls:    callRegistry{writers: make(map[Operation]*writer)},
		relays:        make(map[version.VMID]version.VMID),
		attempts:      make(map[uuid.UUID]*attempt),
	}
}

// Step handles one event.
func (l *Ledger) Step(now time.Time, event Event) {
	event.apply(l, now)
	l.advance(now)
}

// Tick handles time-outs and retries. It must be called every TickInterval.
func (l *Ledger) Tick(now time.Time) {
	l.retryAttempts(now)
	for _, w := range l.writers {
		if w != nil {
			w.tick(now)
		}
	}
	l.advance(now)
}

// TickInterval is the interval between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// Ready returns the actions to perform, in order, and removes them from the
// ledger.
func (l *Ledger) Ready() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

// Waiting returns the number of attempts that wait for a verdict.
func (l *Ledger) Waiting() int {
	waiting := 0
	for _, a := range l.attempts {
		if a.phase == phaseClaiming {
			waiting++
		}
	}
	return waiting
}

// Settled reports whether every attempt has completed and every completion is
// acknowledged.
func (l *Ledger) Settled() bool {
	return len(l.attempts) == 0 && !slices.ContainsFunc(l.writers[:], func(w *writer) bool {
		return w != nil && w.needsTick()
	})
}

// NeedsTick reports whether Tick may have something to do.
func (l *Ledger) NeedsTick() bool {
	for _, w := range l.writers {
		if w != nil && w.needsTick() {
			return true
		}
	}
	for _, a := range l.attempts {
		if a.phase != phasePermitted {
			return true
		}
	}
	return false
}

// advance handles the messages of this daemon to itself and starts store calls.
func (l *Ledger) advance(now time.Time) {
	for len(l.localMessages) > 0 {
		message := l.localMessages[0]
		l.localMessages = slices.Delete(l.localMessages, 0, 1)
		l.receive(now, l.options.VM, message)
	}
	for _, w := range l.writers {
		if w != nil {
			w.startNextCall(now)
		}
	}
}

// receive handles one message. Messages may arrive late or more than once.
func (l *Ledger) receive(now time.Time, from version.VMID, message wire.Message) {
	switch m := message.(type) {
	case wire.LedgerClaim:
		l.writerFor(m.Subject).handleClaim(now, from, m)
	case wire.LedgerClose:
		l.writerFor(m.Subject).handleCompletion(now, from, m.Subject, completion{closed: true}, m.SoleWriter)
	case wire.LedgerOutcome:
		l.writerFor(m.Subject).handleCompletion(now, from, m.Subject, completion{answer: m.Answer}, false)
	case wire.LedgerRunning:
		l.writerFor(m.Subject).handleRunning(now, m.Subject)
	case wire.LedgerNotFound:
		l.writerFor(m.Subject).handleEntryLost(now, m.Subject)
	case wire.LedgerVerdict:
		l.handleVerdict(now, m)
	case wire.LedgerAck:
		l.handleAck(m.Attempt)
	case wire.LedgerProbe:
		l.handleProbe(from, m.Subject)
	case wire.LedgerRelay:
		l.handleRelay(now, from, m)
	}
}

// handleUndelivered handles a message that could not be sent. Only claims and
// probes need it: the other messages are resent after a time-out.
func (l *Ledger) handleUndelivered(now time.Time, e Undelivered) {
	message := e.Message
	if m, wrapped := message.(wire.LedgerRelay); wrapped && m.From == l.options.VM {
		message, _ = m.Unwrap()
	}
	switch m := message.(type) {
	case wire.LedgerClaim:
		l.redirectClaim(now, m.Subject.Attempt, e.To)
	case wire.LedgerProbe:
		l.writerFor(m.Subject).handleEntryLost(now, m.Subject)
	}
}

func (l *Ledger) writerFor(subject wire.LedgerSubject) *writer {
	shard := logIDOf(subject).Shard
	if l.writers[shard] == nil {
		l.writers[shard] = &writer{ledger: l, settledAt: l.settledAt}
	}
	return l.writers[shard]
}

func (l *Ledger) emit(action Action) { l.actions = append(l.actions, action) }
