package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Event is an input of the ledger: a request from its daemon, a message, a
// completed store call or a change of links or shard owners.
type Event interface {
	apply(l *Ledger, now time.Time)
}

// Submit asks for a verdict on a claim. Exactly one Decide follows.
type Submit struct {
	Claim claim.Claim
	// Deadline is the caller's deadline.
	Deadline time.Time
}

// Withdraw reports that the caller no longer waits for a verdict.
type Withdraw struct{ Attempt uuid.UUID }

// Finish reports the outcome of a permitted attempt. Answer is nil if the
// attempt ended without a complete answer.
type Finish struct {
	Claim  claim.Claim
	Answer *claim.Answer
}

// Release returns an unused permit: the attempt was not sent, or the upstream
// refused it without executing it, and it will never be sent again.
type Release struct{ Claim claim.Claim }

// Receive is a message received from another daemon.
type Receive struct {
	From    version.VMID
	Message wire.Message
}

// Undelivered reports a message that could not be sent.
type Undelivered struct {
	To      version.VMID
	Message wire.Message
}

// LinkLost reports that the link to another daemon went down.
type LinkLost struct{ VM version.VMID }

// OwnersChanged replaces the table of shard owners.
type OwnersChanged struct{ Owners Owners }

// Flush makes the ledger write completions without waiting for claims to share
// the write with, as before the daemon shuts down.
type Flush struct{}

// StoreReturned reports that the store has returned from an older copy of itself, so that records
// that it had acknowledged may be lost.
type StoreReturned struct{}

// ReadDone reports the result of a Read.
type ReadDone struct {
	Operation Operation
	Result    Result
	Version   uint64
	Value     []byte
}

// WriteDone reports the result of a Write.
type WriteDone struct {
	Operation Operation
	Result    Result
	Version   uint64
}

// Operation numbers a store call.
type Operation uint64

// Result is the result of a store call.
type Result uint8

const (
	// Succeeded means that the call succeeded.
	Succeeded Result = iota
	// NotFound means that the object to read does not exist.
	NotFound
	// Conflict means that the precondition of a write did not hold; the write
	// had no effect.
	Conflict
	// Limited means that the store refused the call without effect.
	Limited
	// Unresolved means that the call got no answer: a write may have taken
	// effect, or may still do so.
	Unresolved
)

func (e Submit) apply(l *Ledger, now time.Time)      { l.submit(now, e) }
func (e Withdraw) apply(l *Ledger, now time.Time)    { l.withdraw(now, e.Attempt) }
func (e Finish) apply(l *Ledger, now time.Time)      { l.finish(now, e) }
func (e Release) apply(l *Ledger, now time.Time)     { l.release(now, e.Claim) }
func (e OwnersChanged) apply(l *Ledger, _ time.Time) { l.owners = e.Owners }

func (e LinkLost) apply(l *Ledger, now time.Time) { l.linkLost(now, e.VM) }

func (e Flush) apply(l *Ledger, _ time.Time) { l.flushing = true }

func (e Receive) apply(l *Ledger, now time.Time) {
	if e.Message.Kind() != wire.KindLedgerRelay {
		delete(l.relays, e.From)
	}
	l.receive(now, e.From, e.Message)
}

func (e Undelivered) apply(l *Ledger, now time.Time) { l.handleUndelivered(now, e) }

func (e StoreReturned) apply(l *Ledger, now time.Time) { l.storeReturned(now) }

func (e ReadDone) apply(l *Ledger, now time.Time) {
	if w := l.storeCalls.finish(e.Operation); w != nil {
		w.readDone(now, e)
	}
}

func (e WriteDone) apply(l *Ledger, now time.Time) {
	if w := l.storeCalls.finish(e.Operation); w != nil {
		w.writeDone(now, e)
	}
}

// Action is an output of a Ledger that its caller has to perform.
type Action interface{ action() }

// Send sends a message to another daemon.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Read reads an object; a ReadDone must follow.
type Read struct {
	Operation Operation
	Name      string
}

// Write writes an object if its version is still Expected, where 0 means that
// the object must not exist; a WriteDone must follow.
type Write struct {
	Operation Operation
	Name      string
	Value     []byte
	Expected  uint64
}

// Decide delivers the verdict on a submitted claim.
type Decide struct {
	Attempt uuid.UUID
	Verdict claim.Verdict
}

func (Send) action()   {}
func (Read) action()   {}
func (Write) action()  {}
func (Decide) action() {}
