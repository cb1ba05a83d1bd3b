package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// foundRecords are records of a log that the store has.
type foundRecords struct {
	claims, completions map[uuid.UUID]bool
}

func (f *foundRecords) add(s segment) {
	for _, record := range s.Claims {
		f.claims[record.Attempt] = true
	}
	for _, attempt := range s.Closed {
		f.completions[attempt] = true
	}
	for _, outcome := range s.Outcomes {
		f.completions[outcome.Attempt] = true
	}
}

// storeReturned has each cached log read from its beginning, and what the store lacks of it
// written again.
func (l *Ledger) storeReturned(now time.Time) {
	l.settledAt = now.Add(storeera.SettleTime)
	for _, w := range l.writers {
		if w == nil {
			continue
		}
		w.settledAt = l.settledAt
		if w.call != nil {
			w.call.outdated = true
		}
		for _, log := range w.logs {
			log.forgetStore()
		}
	}
}

// checkSettled has each log read again once the store has caught up: other writers may have
// written to it again what they knew.
func (w *writer) checkSettled(now time.Time) {
	if w.settledAt.IsZero() || now.Before(w.settledAt) {
		return
	}
	w.settledAt = time.Time{}
	for _, log := range w.logs {
		log.stale = true
	}
}

// holdsClaims reports whether no claim may be written yet.
func (w *writer) holdsClaims() bool { return !w.settledAt.IsZero() }

// restoring reports whether records that the store has lost may have to be written again.
func (log *logState) restoring() bool {
	return log.found != nil || len(log.lost.Claims)+len(log.lost.Closed)+len(log.lost.Outcomes) > 0
}

// forgetStore forgets which segments the store has. The records stay.
func (log *logState) forgetStore() {
	log.segmentIndex, log.storeVersion, log.openSegment = 0, 0, segment{Format: segmentFormat}
	log.stale = true
	log.found = &foundRecords{claims: make(map[uuid.UUID]bool), completions: make(map[uuid.UUID]bool)}
	log.lost = segment{}
}

// collectLost takes the records that the store lacks, after the log was read up to its end.
func (log *logState) collectLost() {
	for _, records := range log.claims {
		for _, record := range records {
			if !log.found.claims[record.Attempt] {
				log.lost.Claims = append(log.lost.Claims, record)
			}
		}
	}
	for attempt, c := range log.completions {
		switch {
		case log.found.completions[attempt]:
		case c.closed:
			log.lost.Closed = append(log.lost.Closed, attempt)
		default:
			log.lost.Outcomes = append(log.lost.Outcomes, outcomeRecord{Attempt: attempt, Answer: c.answer})
		}
	}
	// Claims of one key keep their order.
	slices.SortStableFunc(log.lost.Claims, func(a, b claimRecord) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), bytes.Compare(a.Key[:], b.Key[:]))
	})
	slices.SortFunc(log.lost.Closed, compareAttempts)
	slices.SortFunc(log.lost.Outcomes, func(a, b outcomeRecord) int { return compareAttempts(a.Attempt, b.Attempt) })
	log.found = nil
}

func compareAttempts(a, b uuid.UUID) int { return bytes.Compare(a[:], b[:]) }

// nextLost returns the lost records to write next, within the limits of one write. All closings
// come with the first claims.
func (log *logState) nextLost() segment {
	outcomes, bodyBytes := 0, 0
	for outcomes < len(log.lost.Outcomes) && bodyBytes <= maxBatchBodyBytes {
		if answer := log.lost.Outcomes[outcomes].Answer; answer != nil {
			bodyBytes += len(answer.Body)
		}
		outcomes++
	}
	return segment{
		Format:   segmentFormat,
		Claims:   slices.Clone(log.lost.Claims[:min(len(log.lost.Claims), maxBatchClaims)]),
		Closed:   slices.Clone(log.lost.Closed),
		Outcomes: slices.Clone(log.lost.Outcomes[:outcomes]),
	}
}

// dropLost removes records that were written again.
func (log *logState) dropLost(written segment) {
	log.lost.Claims = log.lost.Claims[len(written.Claims):]
	log.lost.Closed = log.lost.Closed[len(written.Closed):]
	log.lost.Outcomes = log.lost.Outcomes[len(written.Outcomes):]
}
