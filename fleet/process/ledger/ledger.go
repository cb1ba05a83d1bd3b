// Package ledger decides which attempts of non-idempotent requests may be
// sent. It does no I/O and reads no clock:
//
//	ledger.Step(now, event)
//	for _, action := range ledger.Ready() { ... }
//
// An attempt may be sent only after a claim with the attempt's id is in the
// platform's store, by a write that is conditional on the version which was
// read. A claim never passes to another attempt. An entry that did not and
// will not send an attempt closes it; only then may another attempt claim the
// key. Everything else here (which daemon writes, batches, probes, caches)
// saves calls or time and is not needed for safety.
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

// Options set up a Ledger.
type Options struct {
	VM version.VMID
	// Start is the time at which the ledger starts.
	Start time.Time
	// Seed feeds the spread of the advice when to come back.
	Seed uint64
	// WritesPerSecond bounds the writes of the whole fleet's ledger in steady
	// use; default DefaultWritesPerSecond.
	WritesPerSecond int
}

// Ledger is the decision core of one daemon's part in the ledger. It is not
// safe for concurrent use.
//
// As entry it follows the attempts of its own callers; as writer it records
// the claims that it is sent.
type Ledger struct {
	options Options
	random  *rand.Rand
	owners  Owners
	// contacts are the daemons through which those of other data centres were
	// heard last.
	contacts map[version.VMID]version.VMID
	// writers are made at their first use.
	writers [Shards]*writer
	// writeInterval spaces the writes of a shard.
	writeInterval time.Duration
	operations    operations
	// flushing is set once endings are to be written at once.
	flushing bool

	attempts map[uuid.UUID]*attempt
	// ended are the attempts whose endings are not yet confirmed, oldest
	// first.
	ended []uuid.UUID

	local   []wire.Message
	actions []Action
}

// operations numbers the calls of the store and knows whose they are.
type operations struct {
	last  Operation
	under map[Operation]*writer
}

func (o *operations) begin(w *writer) Operation {
	o.last++
	o.under[o.last] = w
	return o.last
}

func (o *operations) take(operation Operation) *writer {
	w := o.under[operation]
	delete(o.under, operation)
	return w
}

// New returns a ledger without attempts that writes every shard itself.
func New(options Options) *Ledger {
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	return &Ledger{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
		writeInterval: Shards * time.Second / time.Duration(options.WritesPerSecond),
		operations:    operations{under: make(map[Operation]*writer)},
		contacts:      make(map[version.VMID]version.VMID),
		attempts:      make(map[uuid.UUID]*attempt),
	}
}

// Step handles one event.
func (l *Ledger) Step(now time.Time, event Event) {
	event.apply(l, now)
	l.advance(now)
}

// Tick advances time. It is called every TickInterval.
func (l *Ledger) Tick(now time.Time) {
	l.tickAttempts(now)
	for _, w := range l.writers {
		if w != nil {
			w.tick(now)
		}
	}
	l.advance(now)
}

// TickInterval is how often Tick is called.
const TickInterval = 20 * time.Millisecond

// Ready takes out the actions to carry out, in order.
func (l *Ledger) Ready() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

// Waiting returns the number of attempts that wait for a verdict.
func (l *Ledger) Waiting() int {
	waiting := 0
	for _, a := range l.attempts {
		if a.phase == claiming {
			waiting++
		}
	}
	return waiting
}

// Settled reports whether every attempt has ended and every ending is
// confirmed.
func (l *Ledger) Settled() bool {
	return len(l.attempts) == 0 && !slices.ContainsFunc(l.writers[:], func(w *writer) bool {
		return w != nil && w.busy()
	})
}

// Busy reports whether Tick may have something to do.
func (l *Ledger) Busy() bool {
	for _, w := range l.writers {
		if w != nil && w.busy() {
			return true
		}
	}
	for _, a := range l.attempts {
		if a.phase != permitted {
			return true
		}
	}
	return false
}

// advance handles the messages to this daemon and starts calls of the store.
func (l *Ledger) advance(now time.Time) {
	for len(l.local) > 0 {
		message := l.local[0]
		l.local = slices.Delete(l.local, 0, 1)
		l.receive(now, l.options.VM, message)
	}
	for _, w := range l.writers {
		if w != nil {
			w.advance(now)
		}
	}
}

// receive handles one message, be it late or repeated.
func (l *Ledger) receive(now time.Time, from version.VMID, message wire.Message) {
	switch m := message.(type) {
	case wire.LedgerClaim:
		l.writer(m.Subject).claim(now, from, m)
	case wire.LedgerClose:
		l.writer(m.Subject).end(now, from, m.Subject, ending{closed: true}, m.Sole)
	case wire.LedgerOutcome:
		l.writer(m.Subject).end(now, from, m.Subject, ending{answer: m.Answer}, false)
	case wire.LedgerRunning:
		l.writer(m.Subject).running(now, m.Subject)
	case wire.LedgerGone:
		l.writer(m.Subject).gone(now, m.Subject)
	case wire.LedgerVerdict:
		l.verdict(now, m)
	case wire.LedgerAck:
		l.confirmed(m.Attempt)
	case wire.LedgerProbe:
		l.probed(from, m.Subject)
	case wire.LedgerRelay:
		l.relayed(now, from, m)
	}
}

// undelivered handles a message that could not be sent. Others than these are
// repeated in time.
func (l *Ledger) undelivered(now time.Time, e Undelivered) {
	message := e.Message
	if m, wrapped := message.(wire.LedgerRelay); wrapped && m.From == l.options.VM {
		message, _ = m.Unwrap()
	}
	switch m := message.(type) {
	case wire.LedgerClaim:
		l.unreachable(now, m.Subject.Attempt, e.To)
	case wire.LedgerProbe:
		l.writer(m.Subject).gone(now, m.Subject)
	}
}

func (l *Ledger) writer(subject wire.LedgerSubject) *writer {
	shard := placeOf(subject).Shard
	if l.writers[shard] == nil {
		l.writers[shard] = &writer{ledger: l}
	}
	return l.writers[shard]
}

func (l *Ledger) act(action Action) { l.actions = append(l.actions, action) }
