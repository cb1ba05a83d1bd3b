package ledger

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// startNextCall starts the store call that has been needed longest, unless a call
// is in progress or the writer backs off.
func (w *writer) startNextCall(now time.Time) {
	w.checkSettled(now)
	if w.call != nil || now.Before(w.nextCallAt) {
		return
	}
	var next *logState
	var oldest time.Time
	for _, log := range w.logs {
		since, needed := w.callNeededSince(now, log)
		if needed && (next == nil || since.Before(oldest)) {
			next, oldest = log, since
		}
	}
	switch {
	case next == nil:
	case next.stale:
		w.startRead(now, next)
	default:
		w.startWrite(now, next)
	}
}

// callNeededSince returns since when the log has needed a store call that may be
// made now. It reports false if there is none.
func (w *writer) callNeededSince(now time.Time, log *logState) (time.Time, bool) {
	if !log.stale && now.Before(w.nextWriteAt) {
		return time.Time{}, false
	}
	if log.restoring() {
		return w.ledger.settledAt.Add(-storeera.SettleTime), true
	}
	for _, c := range log.pendingClaims {
		if c.holder == nil && (log.stale || !w.holdsClaims()) {
			return c.receivedAt, true
		}
	}
	if log.stale {
		if since, lost := log.oldestLostProbe(); lost {
			return since, true
		}
	}
	if len(log.pendingCompletions) > 0 && (w.ledger.flushing || now.Sub(log.pendingCompletions[0].receivedAt) >= FlushDelay) {
		return log.pendingCompletions[0].receivedAt, true
	}
	return time.Time{}, false
}

func (w *writer) startRead(now time.Time, log *logState) {
	w.call = &storeCall{log: log, issuedAt: now, operation: w.ledger.storeCalls.start(w)}
	w.ledger.emit(Read{Operation: w.call.operation, Name: ObjectName(log.id, log.segmentIndex)})
}

// startWrite adds all pending records to the last segment and seals the segment
// if it has reached SegmentSealBytes.
func (w *writer) startWrite(now time.Time, log *logState) {
	restored := log.nextLost()
	batch := log.batch(w.holdsClaims())
	updated := log.openSegment.withRecords(batch)
	value, err := updated.encode()
	if err == nil && len(value) >= SegmentSealBytes {
		updated.Sealed = true
		value, err = updated.encode()
	}
	if err != nil {
		w.backOff(now)
		return
	}
	w.call = &storeCall{
		operation:   w.ledger.storeCalls.start(w),
		log:         log,
		issuedAt:    now,
		addedClaims: batch.Claims,
		updated:     updated,
		restored:    restored,
	}
	w.nextWriteAt = now.Add(w.ledger.writeInterval)
	w.ledger.emit(Write{
		Operation: w.call.operation,
		Name:      ObjectName(log.id, log.segmentIndex),
		Value:     value,
		Expected:  log.storeVersion,
	})
}

// readDone takes over the segment that was read. After a sealed segment the log
// stays stale and the next segment is read, until one is open or missing.
func (w *writer) readDone(now time.Time, e ReadDone) {
	if w.call == nil || w.call.operation != e.Operation {
		return
	}
	done := w.call
	w.call = nil
	log := done.log
	if done.outdated {
		return
	}
	switch e.Result {
	case Succeeded:
		read, err := decodeSegment(e.Value)
		if err != nil {
			w.backOff(now)
			return
		}
		log.setLastSegment(read, e.Version)
		log.stale = read.Sealed
	case NotFound:
		log.storeVersion = 0
		log.openSegment = segment{Format: segmentFormat}
		log.stale = false
	default:
		w.backOff(now)
		return
	}
	w.resetBackoff(now)
	if !log.stale {
		w.handleFullRead(now, log, done.issuedAt)
	}
}

// handleFullRead handles a log that was read up to its last segment. The last
// read was issued at issuedAt.
func (w *writer) handleFullRead(now time.Time, log *logState, issuedAt time.Time) {
	if log.found != nil {
		log.collectLost()
	}
	w.settle(now, log)
	for _, c := range log.pendingClaims {
		if c.holder == nil && !w.holdsClaims() && !c.receivedAt.After(issuedAt) {
			c.foundFree = true
		}
	}
	w.resolveLostProbes(log, issuedAt)
}

// writeDone takes over the segment that was written. After any failure the log is
// read again, which shows whether the write took effect: its claims are then
// found under their attempts.
func (w *writer) writeDone(now time.Time, e WriteDone) {
	if w.call == nil || w.call.operation != e.Operation {
		return
	}
	done := w.call
	w.call = nil
	log := done.log
	if done.outdated && e.Result == Succeeded {
		// It is not known whether the write took effect before the return or after it.
		e.Result = Unresolved
	}
	switch e.Result {
	case Succeeded:
		log.dropLost(done.restored)
		log.setLastSegment(done.updated, e.Version)
		w.resetBackoff(now)
		w.settle(now, log)
		return
	case Conflict:
		log.stale = true
		w.resetBackoff(now)
		return
	case Unresolved:
		for _, record := range done.addedClaims {
			if c := log.pendingClaim(record.Attempt); c != nil {
				c.writeUnresolved = true
			}
		}
	}
	log.stale = true
	w.backOff(now)
}

// resetBackoff ends the delay after failed calls.
func (w *writer) resetBackoff(now time.Time) {
	w.consecutiveFailures = 0
	w.nextCallAt = now
}

// backOff delays the next call. The delay doubles with each consecutive failure.
func (w *writer) backOff(now time.Time) {
	delay := min(backoffMin<<min(w.consecutiveFailures, maxBackoffDoublings), backoffMax)
	w.consecutiveFailures++
	w.nextCallAt = now.Add(delay)
}

// maxBackoffDoublings limits the doublings of the back-off delay.
const maxBackoffDoublings = 8
