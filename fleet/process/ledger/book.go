package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// accountKey is the key that attempts compete for: an idempotency key within an
// account.
type accountKey struct {
	account version.AccountID
	key     claim.Key
}

// completion is how an attempt completed: closed without having been sent, or
// with an outcome. The answer of an outcome is nil if it was not complete.
type completion struct {
	closed bool
	answer *wire.LedgerAnswer
}

// pendingClaim is a claim that waits for its verdict.
type pendingClaim struct {
	entry         version.VMID
	subject       wire.LedgerSubject
	requestDigest [16]byte
	stamp         uint64
	// receivedAt is when the claim first arrived, and lastReceived when it was
	// last resent.
	receivedAt   time.Time
	lastReceived time.Time
	// writeUnresolved is set once a write with the claim ended Unresolved.
	writeUnresolved bool
	// foundFree is set once the store was read after receivedAt and the key was
	// free.
	foundFree bool
	// holder is the claim of the attempt that holds the key, or nil.
	holder *claimRecord
}

// pendingCompletion is a completion that has to be written.
type pendingCompletion struct {
	subject    wire.LedgerSubject
	completion completion
	sender     version.VMID
	receivedAt time.Time
}

// logState is a writer's cached copy of one log, with the claims and completions
// that still have to be written to it.
type logState struct {
	id LogID
	// segmentIndex numbers the last segment, the only one that is written to.
	segmentIndex int
	// storeVersion is the store's version of the last segment; 0 if the segment
	// does not exist.
	storeVersion uint64
	openSegment  segment
	// stale is set if the store may hold more records than this copy. A stale log
	// is read before it is written.
	stale bool
	// found are the records that were read since the store returned from an older copy, until
	// the log is read up to its end; nil at other times. lost are those that the store lacked
	// then and that have not been written again.
	found *foundRecords
	lost  segment

	claims      map[accountKey][]claimRecord
	completions map[uuid.UUID]completion

	pendingClaims       []*pendingClaim
	pendingCompletions  []*pendingCompletion
	completionByAttempt map[uuid.UUID]*pendingCompletion
	probes              map[uuid.UUID]*probe
	lastUsed            time.Time
}

func newLogState(now time.Time, id LogID) *logState {
	return &logState{
		id: id,
		// The log of a bucket that has only just begun is likely to be empty, so
		// the first read is saved.
		stale:               now.After(id.Bucket.End()),
		openSegment:         segment{Format: segmentFormat},
		claims:              make(map[accountKey][]claimRecord),
		completions:         make(map[uuid.UUID]completion),
		completionByAttempt: make(map[uuid.UUID]*pendingCompletion),
		probes:              make(map[uuid.UUID]*probe),
		lastUsed:            now,
	}
}

// idle reports whether no claim, no completion and no lost record is pending.
func (log *logState) idle() bool {
	return len(log.pendingClaims) == 0 && len(log.pendingCompletions) == 0 && !log.restoring()
}

// addRecords adds the records of a segment. Adding the same records again has no
// effect.
func (log *logState) addRecords(s segment) {
	if log.found != nil {
		log.found.add(s)
	}
	for _, record := range s.Claims {
		key := accountKey{record.Account, record.Key}
		if !containsAttempt(log.claims[key], record.Attempt) {
			log.claims[key] = append(log.claims[key], record)
		}
	}
	for _, attempt := range s.Closed {
		if _, present := log.completions[attempt]; !present {
			log.completions[attempt] = completion{closed: true}
		}
	}
	for _, outcome := range s.Outcomes {
		log.completions[outcome.Attempt] = completion{answer: outcome.Answer}
	}
}

func containsAttempt(records []claimRecord, attempt uuid.UUID) bool {
	for _, record := range records {
		if record.Attempt == attempt {
			return true
		}
	}
	return false
}

// setLastSegment replaces the last segment by its content in the store. After a
// sealed segment, the next one becomes the last.
func (log *logState) setLastSegment(s segment, storeVersion uint64) {
	log.addRecords(s)
	if s.Sealed {
		log.segmentIndex++
		log.storeVersion = 0
		log.openSegment = segment{Format: segmentFormat}
		return
	}
	log.storeVersion = storeVersion
	log.openSegment = s
}

// completionOf returns how an attempt completed, whether that is written yet or
// not.
func (log *logState) completionOf(attempt uuid.UUID) (completion, bool) {
	if c, present := log.completions[attempt]; present {
		return c, true
	}
	if pending, present := log.completionByAttempt[attempt]; present {
		return pending.completion, true
	}
	return completion{}, false
}

// keyState is the state of a pending claim's key according to this log.
type keyState uint8

const (
	// stateFree is a key that no attempt holds.
	stateFree keyState = iota
	// stateOwned is a key that the claim's own attempt holds.
	stateOwned
	// stateClosed is a claim whose own attempt was closed.
	stateClosed
	// stateReused is a key that was claimed for another request.
	stateReused
	// stateAnswered is a key whose attempt ended with a complete answer.
	stateAnswered
	// stateBroken is a key whose attempt ended without a complete answer.
	stateBroken
	// stateHeld is a key whose attempt is not known to have completed.
	stateHeld
)

// keyStateOf returns the state of a claim's key, with the claim record and the
// answer of the attempt that holds the key.
//
// stateFree may be out of date. stateHeld lasts until the holder completes. The
// other states are final.
func (log *logState) keyStateOf(c *pendingClaim) (keyState, *claimRecord, *wire.LedgerAnswer) {
	if completed, present := log.completionOf(c.subject.Attempt); present && completed.closed {
		return stateClosed, nil, nil
	}
	for _, record := range log.claims[accountKey{c.subject.Account, c.subject.Key}] {
		if record.Attempt == c.subject.Attempt {
			return stateOwned, nil, nil
		}
		if record.Request != c.requestDigest {
			return stateReused, nil, nil
		}
		completed, present := log.completionOf(record.Attempt)
		switch {
		case !present:
			return stateHeld, &record, nil
		case completed.closed:
			continue
		case completed.answer == nil:
			return stateBroken, &record, nil
		default:
			return stateAnswered, &record, completed.answer
		}
	}
	return stateFree, nil, nil
}

// batch returns the records to write next: lost ones, one claim for each free key
// unless claims are held back, and the pending completions. A claim that follows a
// closed attempt is never written before the closing, but in the same write or a
// later one.
func (log *logState) batch(holdClaims bool) segment {
	batch := log.nextLost()
	bodyBytes := 0
	claimedKeys := make(map[accountKey]bool)
	for _, c := range log.pendingClaims {
		key := accountKey{c.subject.Account, c.subject.Key}
		if holdClaims || c.holder != nil || claimedKeys[key] || len(batch.Claims) >= maxBatchClaims {
			continue
		}
		claimedKeys[key] = true
		batch.Claims = append(batch.Claims, claimRecord{
			Account: c.subject.Account,
			Key:     c.subject.Key,
			Attempt: c.subject.Attempt,
			Request: c.requestDigest,
			Entry:   c.entry,
		})
	}
	for _, n := range log.pendingCompletions {
		if n.completion.closed {
			batch.Closed = append(batch.Closed, n.subject.Attempt)
			continue
		}
		if bodyBytes > maxBatchBodyBytes {
			continue
		}
		batch.Outcomes = append(batch.Outcomes, outcomeRecord{Attempt: n.subject.Attempt, Answer: n.completion.answer})
		if n.completion.answer != nil {
			bodyBytes += len(n.completion.answer.Body)
		}
	}
	return batch
}

// pendingClaim returns the pending claim of an attempt, or nil.
func (log *logState) pendingClaim(attempt uuid.UUID) *pendingClaim {
	for _, c := range log.pendingClaims {
		if c.subject.Attempt == attempt {
			return c
		}
	}
	return nil
}

// removeClaim removes a pending claim.
func (log *logState) removeClaim(removed *pendingClaim) {
	log.pendingClaims = slices.DeleteFunc(log.pendingClaims, func(c *pendingClaim) bool { return c == removed })
}

// addCompletion adds a completion to write.
func (log *logState) addCompletion(n *pendingCompletion) {
	log.pendingCompletions = append(log.pendingCompletions, n)
	log.completionByAttempt[n.subject.Attempt] = n
}

// takeRecorded removes and returns the pending completions that are in the store.
func (log *logState) takeRecorded() []*pendingCompletion {
	var recorded []*pendingCompletion
	kept := log.pendingCompletions[:0]
	for _, n := range log.pendingCompletions {
		if _, present := log.completions[n.subject.Attempt]; present {
			recorded = append(recorded, n)
			delete(log.completionByAttempt, n.subject.Attempt)
			continue
		}
		kept = append(kept, n)
	}
	clear(log.pendingCompletions[len(kept):])
	log.pendingCompletions = kept
	return recorded
}
