package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// FlushDelay is how long a completion may wait for a claim to share its
	// write.
	FlushDelay = time.Second
	// maxBatchClaims limits the claims in one write.
	maxBatchClaims = 512
	// maxBatchBodyBytes limits the answer bodies in one write: no further
	// outcome is added once it is exceeded.
	maxBatchBodyBytes = 256 << 10
	// maxPendingClaims limits the claims that wait for one log.
	maxPendingClaims = 4096
	// maxPendingCompletions limits the completions that wait for one log.
	maxPendingCompletions = 4096
	// maxLogs limits the logs that one writer caches.
	maxLogs = 64
	// idleLogRetention is how long an idle log is cached.
	idleLogRetention = time.Minute
	// pendingClaimRetention is how long a claim is kept that its entry no longer
	// resends.
	pendingClaimRetention = 2 * ClaimTimeout
	// backoffMin and backoffMax bound the delay after a failed store call.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// writer writes the logs of one shard. Any daemon may write any shard; routing
// all claims of a shard to one owner only reduces the number of writes.
//
// Invariant: at most one store call is in progress.
type writer struct {
	ledger *Ledger
	// logs are ordered by their buckets.
	logs []*logState
	call *storeCall
	// nextWriteAt enforces the write interval, nextCallAt the back-off after a
	// failed call.
	nextWriteAt         time.Time
	nextCallAt          time.Time
	consecutiveFailures int
	// settledAt is when the store has caught up after its return from an older copy; zero once
	// the logs are read again after that. Until then no claim is written: another writer may
	// have to write again what the store has lost of the same key.
	settledAt time.Time
}

// storeCall is a store call in progress.
type storeCall struct {
	operation Operation
	log       *logState
	issuedAt  time.Time
	// addedClaims are the claims that a write adds, and updated is the whole
	// segment as written.
	addedClaims []claimRecord
	updated     segment
	// restored are the lost records among those that a write adds.
	restored segment
	// outdated is set if the store returned from an older copy during the call.
	outdated bool
}

// findLog returns the index of a bucket's log and true, or the index at which to
// insert it and false.
func (w *writer) findLog(bucket Bucket) (int, bool) {
	return slices.BinarySearchFunc(w.logs, bucket, func(log *logState, bucket Bucket) int {
		return cmp.Compare(log.id.Bucket, bucket)
	})
}

// logOf returns the log with this ID. It returns nil if maxLogs are cached and
// none can be evicted.
func (w *writer) logOf(now time.Time, id LogID) *logState {
	if i, present := w.findLog(id.Bucket); present {
		w.logs[i].lastUsed = now
		return w.logs[i]
	}
	if len(w.logs) >= maxLogs && !w.evictIdleLog() {
		return nil
	}
	log := newLogState(now, id)
	i, _ := w.findLog(id.Bucket)
	w.logs = slices.Insert(w.logs, i, log)
	return log
}

// evictIdleLog drops the least recently used idle log. It reports false if there
// is none.
func (w *writer) evictIdleLog() bool {
	oldest := -1
	for i, log := range w.logs {
		if !log.idle() || w.callInProgress(log) {
			continue
		}
		if oldest < 0 || log.lastUsed.Before(w.logs[oldest].lastUsed) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	w.logs = slices.Delete(w.logs, oldest, oldest+1)
	return true
}

func (w *writer) callInProgress(log *logState) bool { return w.call != nil && w.call.log == log }

// handleClaim handles a claim, which may be a resent one.
func (w *writer) handleClaim(now time.Time, from version.VMID, m wire.LedgerClaim) {
	log := w.logOf(now, logIDOf(m.Subject))
	if log == nil || len(log.pendingClaims) >= maxPendingClaims {
		w.ledger.send(from, wire.LedgerVerdict{Attempt: m.Subject.Attempt, Stamp: m.Stamp, Result: wire.LedgerBusy})
		return
	}
	if c := log.pendingClaim(m.Subject.Attempt); c != nil {
		w.answerResentClaim(now, c, m)
		return
	}
	c := &pendingClaim{
		entry:         from,
		subject:       m.Subject,
		requestDigest: m.Request,
		stamp:         m.Stamp,
		receivedAt:    now,
		lastReceived:  now,
	}
	log.pendingClaims = append(log.pendingClaims, c)
	w.settleClaim(now, log, c)
}

// answerResentClaim answers a resent claim that still waits. The stamp is updated
// only while another attempt holds the key. A claim that may have been written
// keeps its stamp, so that its permit never outlives PermitValidity from then.
func (w *writer) answerResentClaim(now time.Time, c *pendingClaim, m wire.LedgerClaim) {
	c.lastReceived = now
	if c.holder != nil {
		c.stamp = m.Stamp
	}
	w.ledger.send(c.entry, wire.LedgerVerdict{
		Attempt:   m.Subject.Attempt,
		Stamp:     m.Stamp,
		Result:    wire.LedgerWaiting,
		Held:      c.holder != nil,
		StoreRead: c.foundFree,
	})
}

// handleCompletion handles the completion of an attempt. soleWriter is set if the
// entry sent the claim to this writer alone; a claim that was never written then
// needs no closing in the store.
func (w *writer) handleCompletion(now time.Time, from version.VMID, subject wire.LedgerSubject, c completion, soleWriter bool) {
	log := w.logOf(now, logIDOf(subject))
	if log == nil {
		return
	}
	pending := log.pendingClaim(subject.Attempt)
	if pending != nil {
		log.removeClaim(pending)
	}
	_, recorded := log.completions[subject.Attempt]
	neverWritten := soleWriter && pending != nil && !pending.writeUnresolved && !w.claimBeingWritten(log, subject.Attempt)
	if recorded || neverWritten {
		w.ledger.send(from, wire.LedgerAck{Attempt: subject.Attempt})
		return
	}
	if _, present := log.completionByAttempt[subject.Attempt]; present || len(log.pendingCompletions) >= maxPendingCompletions {
		return
	}
	log.addCompletion(&pendingCompletion{subject: subject, completion: c, sender: from, receivedAt: now})
	w.settle(now, log)
}

// claimBeingWritten reports whether a write in progress contains the claim of an
// attempt.
func (w *writer) claimBeingWritten(log *logState, attempt uuid.UUID) bool {
	return w.callInProgress(log) && containsAttempt(w.call.addedClaims, attempt)
}

// settle gives the pending claims the verdicts that the log allows and
// acknowledges the recorded completions.
func (w *writer) settle(now time.Time, log *logState) {
	for _, c := range slices.Clone(log.pendingClaims) {
		w.settleClaim(now, log, c)
	}
	for _, n := range log.takeRecorded() {
		w.ledger.send(n.sender, wire.LedgerAck{Attempt: n.subject.Attempt})
	}
}

// settleClaim gives a claim the verdict that the log allows.
func (w *writer) settleClaim(now time.Time, log *logState, c *pendingClaim) {
	state, holder, answer := log.keyStateOf(c)
	switch state {
	case stateFree:
		c.holder = nil
	case stateHeld:
		w.waitForHolder(now, log, c, holder)
	default:
		log.removeClaim(c)
		w.decide(c, resultOfState[state], answer)
	}
}

// resultOfState maps each key state that ends a claim's wait to its result.
var resultOfState = map[keyState]wire.LedgerResult{
	stateOwned:    wire.LedgerClaimed,
	stateClosed:   wire.LedgerClosed,
	stateReused:   wire.LedgerReused,
	stateAnswered: wire.LedgerReplay,
	stateBroken:   wire.LedgerBroken,
}

func (w *writer) decide(c *pendingClaim, result wire.LedgerResult, answer *wire.LedgerAnswer) {
	w.ledger.send(c.entry, wire.LedgerVerdict{
		Attempt: c.subject.Attempt,
		Stamp:   c.stamp,
		Result:  result,
		Answer:  answer,
	})
}

// tick drops expired claims and idle logs, and resends probes.
func (w *writer) tick(now time.Time) {
	for _, log := range w.logs {
		w.dropStaleClaims(now, log)
		w.tickProbes(now, log)
	}
	w.logs = slices.DeleteFunc(w.logs, func(log *logState) bool {
		return log.idle() && !w.callInProgress(log) && now.Sub(log.lastUsed) > idleLogRetention
	})
}

func (w *writer) dropStaleClaims(now time.Time, log *logState) {
	log.pendingClaims = slices.DeleteFunc(log.pendingClaims, func(c *pendingClaim) bool {
		return now.Sub(c.lastReceived) > pendingClaimRetention && !w.claimBeingWritten(log, c.subject.Attempt)
	})
}

// needsTick reports whether the writer may have to act without a further event.
func (w *writer) needsTick() bool {
	if w.call != nil {
		return true
	}
	return slices.ContainsFunc(w.logs, func(log *logState) bool { return !log.idle() })
}
