package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ClaimTimeout is how long recording a claim may take.
	ClaimTimeout = 5 * time.Second
	// PermitValidity is how long a permit may be used, counted from the time the
	// claim was sent to the writer.
	PermitValidity = 10 * time.Second
	// claimResendInterval is how often a claim without verdict is resent.
	claimResendInterval = 500 * time.Millisecond
	// completionResendMin and completionResendMax bound the delay before an
	// unacknowledged completion is resent.
	completionResendMin = 2 * time.Second
	completionResendMax = 30 * time.Second
	// completionRetention is how long an unacknowledged completion is resent.
	completionRetention = 10 * time.Minute
	// maxAttempts limits the attempts that one daemon tracks.
	maxAttempts = 8192
	// maxCompleted limits the unacknowledged completions of one daemon.
	maxCompleted = 4096
	// maxOwnerSends is how many times a claim is sent to the shard's owner without
	// an answer before this daemon writes the claim itself.
	maxOwnerSends = 2
)

// phase is the state of an attempt at its entry.
type phase uint8

const (
	// phaseClaiming is an attempt that waits for its verdict.
	phaseClaiming phase = iota
	// phasePermitted is an attempt that may have been sent.
	phasePermitted
	// phaseCompleted is an attempt whose completion has to be recorded.
	phaseCompleted
)

// attempt is the entry's state of one attempt of its callers.
//
// Invariant: an attempt becomes permitted only from phaseClaiming and only once.
// A closed attempt is never permitted again, so a late verdict changes nothing.
type attempt struct {
	claim claim.Claim
	phase phase
	// callerDeadline is the caller's deadline; at claimDeadline the claim is
	// given up.
	callerDeadline time.Time
	claimDeadline  time.Time
	// target is the daemon that the claim was last sent to. soleTarget is set as
	// long as the claim was sent to no other daemon.
	target     Owner
	soleTarget bool
	sendCount  int
	// lastSent is when the claim was last sent, and lastVerdict when a verdict
	// on it was last received, LedgerWaiting included.
	lastSent    time.Time
	lastVerdict time.Time
	// foundFree and keyHeld are from the writer's LedgerWaiting: the store was
	// read for this claim and the key was free, or another attempt holds the key.
	foundFree bool
	keyHeld   bool

	completion  completion
	completedAt time.Time
	nextSend    time.Time
	resendDelay time.Duration
}

// submit registers an attempt and sends its claim.
func (l *Ledger) submit(now time.Time, e Submit) {
	if err := e.Claim.Key.Check(now); err != nil {
		l.refuse(e.Claim.Attempt, badKeyRefusal(err))
		return
	}
	if len(l.attempts) >= maxAttempts {
		l.refuse(e.Claim.Attempt, l.unavailableRefusal(false))
		return
	}
	a := &attempt{
		claim:          e.Claim,
		callerDeadline: e.Deadline,
		claimDeadline:  earlier(e.Deadline, now.Add(ClaimTimeout)),
		soleTarget:     true,
	}
	l.attempts[e.Claim.Attempt] = a
	l.sendClaim(now, a)
}

// sendClaim sends the claim to the shard's owner, or to this daemon's own writer
// if the owner does not answer.
func (l *Ledger) sendClaim(now time.Time, a *attempt) {
	target := l.ownerOf(a.claim)
	unresponsive := a.sendCount >= maxOwnerSends && a.lastVerdict.Before(a.lastSent)
	if unresponsive || a.target.VM == l.options.VM {
		target = l.selfOwner()
	}
	if a.sendCount > 0 && target != a.target {
		a.soleTarget = false
	}
	a.target = target
	a.sendCount++
	a.lastSent = now
	l.sendToOwner(target, wire.LedgerClaim{
		Subject: subjectOf(a.claim),
		Request: [16]byte(a.claim.Request[:16]),
		Stamp:   l.stampOf(now),
	})
}

// redirectClaim resends a claim whose target vm has no link: to the owner that
// the table names by now, or to this daemon's own writer if that is still vm.
func (l *Ledger) redirectClaim(now time.Time, id uuid.UUID, vm version.VMID) {
	a := l.claimingAttempt(id)
	if a == nil || a.target.VM != vm || vm == l.options.VM {
		return
	}
	if l.ownerOf(a.claim).VM == vm {
		a.target = l.selfOwner()
		a.soleTarget = false
	}
	l.sendClaim(now, a)
}

// linkLost handles the loss of the link to vm: it redirects the claims sent to
// that daemon, marks its probes as lost and forgets it as a relay.
func (l *Ledger) linkLost(now time.Time, vm version.VMID) {
	for _, id := range l.sortedAttempts() {
		l.redirectClaim(now, id, vm)
	}
	for _, w := range l.writers {
		if w != nil {
			w.linkLost(now, vm)
		}
	}
	for other, relay := range l.relays {
		if relay == vm {
			delete(l.relays, other)
		}
	}
}

// selfOwner returns this daemon as an owner.
func (l *Ledger) selfOwner() Owner { return Owner{VM: l.options.VM} }

func (l *Ledger) ownerOf(c claim.Claim) Owner {
	if owner := l.owners[LogIDOf(c.Account, c.Key).Shard]; owner.VM != "" {
		return owner
	}
	return l.selfOwner()
}

// claimingAttempt returns an attempt that waits for its verdict, or nil.
func (l *Ledger) claimingAttempt(id uuid.UUID) *attempt {
	a, present := l.attempts[id]
	if !present || a.phase != phaseClaiming {
		return nil
	}
	return a
}

// handleVerdict handles a writer's answer to a claim.
func (l *Ledger) handleVerdict(now time.Time, m wire.LedgerVerdict) {
	a := l.claimingAttempt(m.Attempt)
	if a == nil {
		return
	}
	a.lastVerdict = now
	switch m.Result {
	case wire.LedgerWaiting:
		l.extendClaim(now, a, m)
	case wire.LedgerClaimed:
		l.permit(now, a, m.Stamp)
	case wire.LedgerReplay:
		delete(l.attempts, m.Attempt)
		l.decide(m.Attempt, claim.Verdict{Replay: answerFromWire(m.Answer)})
	case wire.LedgerReused:
		l.refuseAndForget(m.Attempt, keyReuseRefusal())
	case wire.LedgerUnknown:
		l.refuseAndForget(m.Attempt, l.outcomeUnknownRefusal())
	case wire.LedgerBroken:
		l.refuseAndForget(m.Attempt, outcomeBrokenRefusal())
	case wire.LedgerClosed, wire.LedgerBusy:
		l.giveUp(now, a)
	}
}

// extendClaim extends the claim's deadline while another attempt holds its key.
func (l *Ledger) extendClaim(now time.Time, a *attempt, m wire.LedgerVerdict) {
	a.keyHeld = m.Held
	a.foundFree = a.foundFree || m.StoreRead
	if a.keyHeld {
		a.claimDeadline = earlier(a.callerDeadline, now.Add(ClaimTimeout))
	}
}

// permit lets an attempt be sent whose claim is in the store. The permit expires
// a fixed time after the claim was sent, however late the verdict arrives.
func (l *Ledger) permit(now time.Time, a *attempt, stamp uint64) {
	deadline := l.timeOfStamp(stamp).Add(PermitValidity)
	// The recorded claim shows that no other attempt had used the key.
	a.keyHeld, a.foundFree = false, true
	if err := a.claim.Key.Check(now); err != nil {
		l.completeAttempt(now, a, completion{closed: true})
		l.refuse(a.claim.Attempt, badKeyRefusal(err))
		return
	}
	if !now.Before(deadline) || !now.Before(a.callerDeadline) {
		l.giveUp(now, a)
		return
	}
	a.phase = phasePermitted
	l.decide(a.claim.Attempt, claim.Verdict{Run: &claim.Permit{Deadline: deadline}})
}

// withdraw gives up a claim whose caller no longer waits.
func (l *Ledger) withdraw(now time.Time, id uuid.UUID) {
	if a := l.claimingAttempt(id); a != nil {
		l.giveUp(now, a)
	}
}

// giveUp refuses a claim without verdict and closes its attempt, because a write
// of the claim may still take effect.
func (l *Ledger) giveUp(now time.Time, a *attempt) {
	refusal := l.unavailableRefusal(a.foundFree)
	if a.keyHeld {
		refusal = l.outcomeUnknownRefusal()
	}
	l.completeAttempt(now, a, completion{closed: true})
	l.refuse(a.claim.Attempt, refusal)
}

// release closes a permitted attempt that was not sent.
func (l *Ledger) release(now time.Time, c claim.Claim) {
	if a, present := l.attempts[c.Attempt]; present && a.phase == phasePermitted {
		l.completeAttempt(now, a, completion{closed: true})
	}
}

// finish records the outcome of a permitted attempt.
func (l *Ledger) finish(now time.Time, e Finish) {
	if a, present := l.attempts[e.Claim.Attempt]; present && a.phase == phasePermitted {
		l.completeAttempt(now, a, completion{answer: answerToWire(e.Answer)})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stampOf returns the time since the ledger's start in milliseconds, rounded
// down.
func (l *Ledger) stampOf(now time.Time) uint64 {
	return uint64(now.Sub(l.options.Start) / time.Millisecond)
}

func (l *Ledger) timeOfStamp(stamp uint64) time.Time {
	return l.options.Start.Add(time.Duration(stamp) * time.Millisecond)
}
