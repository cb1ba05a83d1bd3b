package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Event is something that happened to the ledger of a daemon.
type Event interface {
	apply(l *Ledger, now time.Time)
}

// Submit asks for a verdict on a claim. Exactly one Decide follows.
type Submit struct {
	Claim claim.Claim
	// Deadline is the caller's.
	Deadline time.Time
}

// Withdraw is a caller that no longer waits for a verdict.
type Withdraw struct{ Attempt uuid.UUID }

// Finish is the end of a permitted attempt. Answer is nil if the attempt ended
// without a whole answer.
type Finish struct {
	Claim  claim.Claim
	Answer *claim.Answer
}

// Release gives a permit back: the attempt was not sent, or the upstream
// refused it before running, and it never will be sent.
type Release struct{ Claim claim.Claim }

// Receive is one message from another daemon.
type Receive struct {
	From    version.VMID
	Message wire.Message
}

// Undelivered is a message that could not be sent.
type Undelivered struct {
	To      version.VMID
	Message wire.Message
}

// LinkLost is a link to another daemon that went down.
type LinkLost struct{ VM version.VMID }

// Route is a new table of the shards' writers.
type Route struct{ Owners Owners }

// Flush has endings written without waiting for claims to be written with, as
// before the daemon ends.
type Flush struct{}

// ReadDone is the end of a Read.
type ReadDone struct {
	Operation Operation
	Result    Result
	Version   uint64
	Value     []byte
}

// WriteDone is the end of a Write.
type WriteDone struct {
	Operation Operation
	Result    Result
	Version   uint64
}

// Operation numbers a call of the store.
type Operation uint64

// Result is how a call of the store ended.
type Result uint8

const (
	// Done is a call that succeeded.
	Done Result = iota
	// NotFound is a read of an object that does not exist.
	NotFound
	// Conflict is a write whose precondition did not hold, without effect.
	Conflict
	// Limited is a call that was refused without effect.
	Limited
	// Unresolved is a call without an answer; a write may have taken effect,
	// or may still do so.
	Unresolved
)

func (e Submit) apply(l *Ledger, now time.Time)   { l.submit(now, e) }
func (e Withdraw) apply(l *Ledger, now time.Time) { l.withdraw(now, e.Attempt) }
func (e Finish) apply(l *Ledger, now time.Time)   { l.finish(now, e) }
func (e Release) apply(l *Ledger, now time.Time)  { l.release(now, e.Claim) }
func (e Route) apply(l *Ledger, _ time.Time)      { l.owners = e.Owners }

func (e LinkLost) apply(l *Ledger, now time.Time) { l.linkLost(now, e.VM) }

func (e Flush) apply(l *Ledger, _ time.Time) { l.flushing = true }

func (e Receive) apply(l *Ledger, now time.Time) {
	if e.Message.Kind() != wire.KindLedgerRelay {
		delete(l.contacts, e.From)
	}
	l.receive(now, e.From, e.Message)
}

func (e Undelivered) apply(l *Ledger, now time.Time) { l.undelivered(now, e) }

func (e ReadDone) apply(l *Ledger, now time.Time) {
	if w := l.operations.take(e.Operation); w != nil {
		w.readDone(now, e)
	}
}

func (e WriteDone) apply(l *Ledger, now time.Time) {
	if w := l.operations.take(e.Operation); w != nil {
		w.writeDone(now, e)
	}
}

// Action is something that the caller of a Ledger has to carry out.
type Action interface{ action() }

// Send is a message to be sent to another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Read is an object to be read; a ReadDone must follow.
type Read struct {
	Operation Operation
	Name      string
}

// Write is an object to be written if its version is still Expected, where 0
// means that it must not exist; a WriteDone must follow.
type Write struct {
	Operation Operation
	Name      string
	Value     []byte
	Expected  uint64
}

// Decide ends a Submit.
type Decide struct {
	Attempt uuid.UUID
	Verdict claim.Verdict
}

func (Send) action()   {}
func (Read) action()   {}
func (Write) action()  {}
func (Decide) action() {}
