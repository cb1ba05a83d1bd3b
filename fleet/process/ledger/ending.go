package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// end keeps an attempt's ending until a writer confirms that it is in the
// store. An ending that gets lost costs a retry an honest "unknown".
func (l *Ledger) end(now time.Time, a *attempt, e ending) {
	a.phase = ended
	a.ending = e
	a.endedAt = now
	a.pause = endRepeatMin
	l.ended = append(l.ended, a.claim.Attempt)
	if len(l.ended) > maxEnded {
		delete(l.attempts, l.ended[0])
		l.ended = slices.Delete(l.ended, 0, 1)
	}
	l.tell(now, a, a.writer)
}

// tell sends an ending to a writer.
func (l *Ledger) tell(now time.Time, a *attempt, writer Owner) {
	a.next = now.Add(a.pause)
	a.pause = min(2*a.pause, endRepeatMax)
	l.sendOwner(writer, a.message())
}

// message returns the message that carries an attempt's ending.
func (a *attempt) message() wire.Message {
	subject := subjectOf(a.claim)
	if a.ending.closed {
		// A contact may have passed a repeated claim on to several writers.
		sole := a.sole && (!a.writer.Relay || a.sends == 1)
		return wire.LedgerClose{Subject: subject, Sole: sole}
	}
	return wire.LedgerOutcome{Subject: subject, Answer: a.ending.answer}
}

// repeatEnding sends an unconfirmed ending again: once to the shard's writer,
// then to this daemon's own.
func (l *Ledger) repeatEnding(now time.Time, a *attempt) {
	writer := l.self()
	if a.pause == 2*endRepeatMin {
		writer = l.owner(a.claim)
	}
	a.sole = a.sole && writer == a.writer
	l.tell(now, a, writer)
}

// confirmed forgets an attempt whose ending is in the store.
func (l *Ledger) confirmed(id uuid.UUID) {
	if a, present := l.attempts[id]; present && a.phase == ended {
		l.forget(id)
	}
}

func (l *Ledger) forget(id uuid.UUID) {
	delete(l.attempts, id)
	if i := slices.Index(l.ended, id); i >= 0 {
		l.ended = slices.Delete(l.ended, i, i+1)
	}
}

// probed tells a writer what became of an attempt.
func (l *Ledger) probed(from version.VMID, subject wire.LedgerSubject) {
	a, present := l.attempts[subject.Attempt]
	switch {
	case !present:
		l.send(from, wire.LedgerGone{Subject: subject})
	case a.phase == ended:
		a.sole = false
		l.send(from, a.message())
	default:
		l.send(from, wire.LedgerRunning{Subject: subject})
	}
}

// tickAttempts repeats what was not answered and gives up what is due.
func (l *Ledger) tickAttempts(now time.Time) {
	for _, id := range l.sortedAttempts() {
		a := l.attempts[id]
		switch {
		case a.phase == claiming && !now.Before(a.giveUp):
			l.giveUp(now, a)
		case a.phase == claiming && now.Sub(a.sent) >= repeatInterval:
			l.ask(now, a)
		case a.phase == ended && now.Sub(a.endedAt) >= endKeep:
			l.forget(id)
		case a.phase == ended && !now.Before(a.next):
			l.repeatEnding(now, a)
		}
	}
}

// sortedAttempts returns the attempts in order, so that the same events give
// the same messages.
func (l *Ledger) sortedAttempts() []uuid.UUID {
	ids := make([]uuid.UUID, 0, len(l.attempts))
	for id := range l.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uuid.UUID) int { return slices.Compare(a[:], b[:]) })
	return ids
}
