package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// completeAttempt keeps an attempt's completion until a writer acknowledges
// that it is in the store. If the completion is lost, a retry of the request
// gets the outcome "unknown", which is truthful.
func (l *Ledger) completeAttempt(now time.Time, a *attempt, c completion) {
	a.phase = phaseCompleted
	a.completion = c
	a.completedAt = now
	a.resendDelay = completionResendMin
	l.completed = append(l.completed, a.claim.Attempt)
	if len(l.completed) > maxCompleted {
		delete(l.attempts, l.completed[0])
		l.completed = slices.Delete(l.completed, 0, 1)
	}
	l.sendCompletion(now, a, a.target)
}

// sendCompletion sends an attempt's completion to target.
func (l *Ledger) sendCompletion(now time.Time, a *attempt, target Owner) {
	a.nextSend = now.Add(a.resendDelay)
	a.resendDelay = min(2*a.resendDelay, completionResendMax)
	l.sendToOwner(target, a.completionMessage())
}

// completionMessage returns the message that carries an attempt's completion.
func (a *attempt) completionMessage() wire.Message {
	subject := subjectOf(a.claim)
	if a.completion.closed {
		// A relay may have passed a resent claim on to another writer.
		soleWriter := a.soleTarget && (!a.target.Relay || a.sendCount == 1)
		return wire.LedgerClose{Subject: subject, SoleWriter: soleWriter}
	}
	return wire.LedgerOutcome{Subject: subject, Answer: a.completion.answer}
}

// resendCompletion resends an unacknowledged completion: once to the shard's
// owner, then to this daemon's own writer.
func (l *Ledger) resendCompletion(now time.Time, a *attempt) {
	target := l.selfOwner()
	if a.resendDelay == 2*completionResendMin {
		target = l.ownerOf(a.claim)
	}
	a.soleTarget = a.soleTarget && target == a.target
	l.sendCompletion(now, a, target)
}

// handleAck forgets an attempt whose completion is in the store.
func (l *Ledger) handleAck(id uuid.UUID) {
	if a, present := l.attempts[id]; present && a.phase == phaseCompleted {
		l.forget(id)
	}
}

func (l *Ledger) forget(id uuid.UUID) {
	delete(l.attempts, id)
	if i := slices.Index(l.completed, id); i >= 0 {
		l.completed = slices.Delete(l.completed, i, i+1)
	}
}

// handleProbe sends the state of an attempt to the writer that probes it.
func (l *Ledger) handleProbe(from version.VMID, subject wire.LedgerSubject) {
	a, present := l.attempts[subject.Attempt]
	switch {
	case !present:
		l.send(from, wire.LedgerNotFound{Subject: subject})
	case a.phase == phaseCompleted:
		a.soleTarget = false
		l.send(from, a.completionMessage())
	default:
		l.send(from, wire.LedgerRunning{Subject: subject})
	}
}

// retryAttempts resends unanswered claims and completions, and gives up those
// whose time is over.
func (l *Ledger) retryAttempts(now time.Time) {
	for _, id := range l.sortedAttempts() {
		a := l.attempts[id]
		switch {
		case a.phase == phaseClaiming && !now.Before(a.claimDeadline):
			l.giveUp(now, a)
		case a.phase == phaseClaiming && now.Sub(a.lastSent) >= claimResendInterval:
			l.sendClaim(now, a)
		case a.phase == phaseCompleted && now.Sub(a.completedAt) >= completionRetention:
			l.forget(id)
		case a.phase == phaseCompleted && !now.Before(a.nextSend):
			l.resendCompletion(now, a)
		}
	}
}

// sortedAttempts returns the IDs of the attempts in order, so that the same
// events always produce the same messages.
func (l *Ledger) sortedAttempts() []uuid.UUID {
	ids := make([]uuid.UUID, 0, len(l.attempts))
	for id := range l.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uuid.UUID) int { return slices.Compare(a[:], b[:]) })
	return ids
}
