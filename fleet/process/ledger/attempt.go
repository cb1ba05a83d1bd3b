package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ClaimTimeout is how long a claim may take to be written.
	ClaimTimeout = 5 * time.Second
	// PermitValidity is how long after the claim was asked for a permit may be
	// used.
	PermitValidity = 10 * time.Second
	// repeatInterval is how often a claim without verdict is sent again.
	repeatInterval = 500 * time.Millisecond
	// endRepeatMin and endRepeatMax bound the pause before an unconfirmed
	// ending is sent again.
	endRepeatMin = 2 * time.Second
	endRepeatMax = 30 * time.Second
	// endKeep is how long an unconfirmed ending is repeated.
	endKeep = 10 * time.Minute
	// maxAttempts bounds the attempts of one daemon.
	maxAttempts = 8192
	// maxEnded bounds the unconfirmed endings of one daemon.
	maxEnded = 4096
	// ownerTries is how many times the shard's writer is asked in vain before
	// this daemon writes itself.
	ownerTries = 2
)

// phase is where an attempt stands at its entry.
type phase uint8

const (
	// claiming is an attempt that waits for its verdict.
	claiming phase = iota
	// permitted is an attempt that may have been sent.
	permitted
	// ended is an attempt whose ending is to be recorded.
	ended
)

// attempt is what an entry keeps of one attempt of its callers.
//
// Invariant: an attempt becomes permitted only from claiming and only once. An
// ended attempt that was closed is never permitted again, so a verdict that
// comes late changes nothing.
type attempt struct {
	claim claim.Claim
	phase phase
	// deadline is the caller's, and giveUp when the claim is given up.
	deadline time.Time
	giveUp   time.Time
	// writer was asked last. sole is set while no other was asked.
	writer Owner
	sole   bool
	sends  int
	// sent and heard are when the claim was sent and answered last.
	sent  time.Time
	heard time.Time
	// looked and held are what the writer said while the claim waits.
	looked bool
	held   bool

	ending  ending
	endedAt time.Time
	next    time.Time
	pause   time.Duration
}

// submit starts to claim.
func (l *Ledger) submit(now time.Time, e Submit) {
	if err := e.Claim.Key.Check(now); err != nil {
		l.refuse(e.Claim.Attempt, badKey(err))
		return
	}
	if len(l.attempts) >= maxAttempts {
		l.refuse(e.Claim.Attempt, l.unavailable(false))
		return
	}
	a := &attempt{
		claim:    e.Claim,
		deadline: e.Deadline,
		giveUp:   earlier(e.Deadline, now.Add(ClaimTimeout)),
		sole:     true,
	}
	l.attempts[e.Claim.Attempt] = a
	l.ask(now, a)
}

// ask sends the claim to the shard's writer, or to this daemon's own if the
// shard's does not answer.
func (l *Ledger) ask(now time.Time, a *attempt) {
	writer := l.owner(a.claim)
	silent := a.sends >= ownerTries && a.heard.Before(a.sent)
	if silent || a.writer.VM == l.options.VM {
		writer = l.self()
	}
	if a.sends > 0 && writer != a.writer {
		a.sole = false
	}
	a.writer = writer
	a.sends++
	a.sent = now
	l.sendOwner(writer, wire.LedgerClaim{
		Subject: subjectOf(a.claim),
		Request: [16]byte(a.claim.Request[:16]),
		Stamp:   l.stamp(now),
	})
}

// unreachable asks another writer about a claim whose writer has no link: the
// one that the table names by now, or this daemon.
func (l *Ledger) unreachable(now time.Time, id uuid.UUID, to version.VMID) {
	a := l.claiming(id)
	if a == nil || a.writer.VM != to || to == l.options.VM {
		return
	}
	if l.owner(a.claim).VM == to {
		a.writer = l.self()
		a.sole = false
	}
	l.ask(now, a)
}

// linkLost asks others in place of a daemon whose link went down.
func (l *Ledger) linkLost(now time.Time, vm version.VMID) {
	for _, id := range l.sortedAttempts() {
		l.unreachable(now, id, vm)
	}
	for _, w := range l.writers {
		if w != nil {
			w.linkLost(now, vm)
		}
	}
	for other, contact := range l.contacts {
		if contact == vm {
			delete(l.contacts, other)
		}
	}
}

// self returns this daemon as a writer.
func (l *Ledger) self() Owner { return Owner{VM: l.options.VM} }

func (l *Ledger) owner(c claim.Claim) Owner {
	if owner := l.owners[PlaceOf(c.Account, c.Key).Shard]; owner.VM != "" {
		return owner
	}
	return l.self()
}

// claiming returns an attempt that waits for its verdict, or nil.
func (l *Ledger) claiming(id uuid.UUID) *attempt {
	a, present := l.attempts[id]
	if !present || a.phase != claiming {
		return nil
	}
	return a
}

// verdict handles a writer's answer to a claim.
func (l *Ledger) verdict(now time.Time, m wire.LedgerVerdict) {
	a := l.claiming(m.Attempt)
	if a == nil {
		return
	}
	a.heard = now
	switch m.Result {
	case wire.LedgerWaiting:
		l.waiting(now, a, m)
	case wire.LedgerClaimed:
		l.permit(now, a, m.Stamp)
	case wire.LedgerReplay:
		delete(l.attempts, m.Attempt)
		l.decide(m.Attempt, claim.Verdict{Replay: fromWire(m.Answer)})
	case wire.LedgerReused:
		l.drop(m.Attempt, keyReuse())
	case wire.LedgerUnknown:
		l.drop(m.Attempt, l.outcomeUnknown())
	case wire.LedgerBroken:
		l.drop(m.Attempt, outcomeBroken())
	case wire.LedgerClosed, wire.LedgerBusy:
		l.giveUp(now, a)
	}
}

// waiting keeps a claim alive while its key is held by another attempt.
func (l *Ledger) waiting(now time.Time, a *attempt, m wire.LedgerVerdict) {
	a.held = m.Held
	a.looked = a.looked || m.Looked
	if a.held {
		a.giveUp = earlier(a.deadline, now.Add(ClaimTimeout))
	}
}

// permit lets an attempt be sent whose claim is in the store. The permit ends
// a fixed time after the claim was asked for, however late the verdict is.
func (l *Ledger) permit(now time.Time, a *attempt, stamp uint64) {
	deadline := l.stampedAt(stamp).Add(PermitValidity)
	// The claim in the store shows that the key was not used before.
	a.held, a.looked = false, true
	if err := a.claim.Key.Check(now); err != nil {
		l.end(now, a, ending{closed: true})
		l.refuse(a.claim.Attempt, badKey(err))
		return
	}
	if !now.Before(deadline) || !now.Before(a.deadline) {
		l.giveUp(now, a)
		return
	}
	a.phase = permitted
	l.decide(a.claim.Attempt, claim.Verdict{Run: &claim.Permit{Deadline: deadline}})
}

// withdraw gives up a claim whose caller no longer waits.
func (l *Ledger) withdraw(now time.Time, id uuid.UUID) {
	if a := l.claiming(id); a != nil {
		l.giveUp(now, a)
	}
}

// giveUp refuses a claim without verdict and closes its attempt, since a write
// of it may take effect yet.
func (l *Ledger) giveUp(now time.Time, a *attempt) {
	refusal := l.unavailable(a.looked)
	if a.held {
		refusal = l.outcomeUnknown()
	}
	l.end(now, a, ending{closed: true})
	l.refuse(a.claim.Attempt, refusal)
}

// release closes a permitted attempt that was not sent.
func (l *Ledger) release(now time.Time, c claim.Claim) {
	if a, present := l.attempts[c.Attempt]; present && a.phase == permitted {
		l.end(now, a, ending{closed: true})
	}
}

// finish records how a permitted attempt ended.
func (l *Ledger) finish(now time.Time, e Finish) {
	if a, present := l.attempts[e.Claim.Attempt]; present && a.phase == permitted {
		l.end(now, a, ending{answer: toWire(e.Answer)})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stamp returns the time since the start in milliseconds, rounded down.
func (l *Ledger) stamp(now time.Time) uint64 {
	return uint64(now.Sub(l.options.Start) / time.Millisecond)
}

func (l *Ledger) stampedAt(stamp uint64) time.Time {
	return l.options.Start.Add(time.Duration(stamp) * time.Millisecond)
}
