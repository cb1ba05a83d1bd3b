package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ProbeTimeout is how long an entry may take to answer a probe.
	ProbeTimeout = time.Second
	// ProbeInterval is how often an entry is probed about a running attempt.
	ProbeInterval = time.Second
)

// probe tracks an attempt that holds a key which other claims wait for.
type probe struct {
	holder claimRecord
	// sentAt is when the last probe message was sent. At dueAt its answer is
	// overdue or, if confirmedRunning, the next one is sent.
	sentAt time.Time
	dueAt  time.Time
	// confirmedRunning is set if the entry has answered the last probe message
	// that the attempt still runs.
	confirmedRunning bool
	// lostAt is when the entry was found not to know the attempt or not to
	// answer; zero if neither happened.
	lostAt time.Time
}

// waitForHolder makes a claim wait until the attempt that holds its key completes.
func (w *writer) waitForHolder(now time.Time, log *logState, c *pendingClaim, holder *claimRecord) {
	if c.holder == nil {
		w.ledger.send(c.entry, wire.LedgerVerdict{
			Attempt: c.subject.Attempt,
			Stamp:   c.stamp,
			Result:  wire.LedgerWaiting,
			Held:    true,
		})
	}
	c.holder = holder
	if _, present := log.probes[holder.Attempt]; present {
		return
	}
	p := &probe{holder: *holder}
	log.probes[holder.Attempt] = p
	w.sendProbe(now, p)
}

func (w *writer) sendProbe(now time.Time, p *probe) {
	p.sentAt = now
	p.dueAt = now.Add(ProbeTimeout)
	p.confirmedRunning = false
	w.ledger.send(p.holder.Entry, wire.LedgerProbe{Subject: subjectOfRecord(p.holder)})
}

func subjectOfRecord(r claimRecord) wire.LedgerSubject {
	return wire.LedgerSubject{Account: r.Account, Key: r.Key, Attempt: r.Attempt}
}

// probeOf returns an attempt's probe and its log. The probe is nil if there is
// none.
func (w *writer) probeOf(subject wire.LedgerSubject) (*logState, *probe) {
	i, present := w.findLog(logIDOf(subject).Bucket)
	if !present {
		return nil, nil
	}
	return w.logs[i], w.logs[i].probes[subject.Attempt]
}

// handleRunning handles an entry's message that an attempt still runs or may
// still be sent.
func (w *writer) handleRunning(now time.Time, subject wire.LedgerSubject) {
	if _, p := w.probeOf(subject); p != nil && p.lostAt.IsZero() {
		p.confirmedRunning = true
		p.dueAt = now.Add(ProbeInterval)
	}
}

// handleEntryLost handles an entry that does not know an attempt or cannot be
// reached.
func (w *writer) handleEntryLost(now time.Time, subject wire.LedgerSubject) {
	if log, p := w.probeOf(subject); p != nil {
		markLost(now, log, p)
	}
}

// linkLost marks the probes of a daemon that can no longer be reached as lost.
func (w *writer) linkLost(now time.Time, vm version.VMID) {
	for _, log := range w.logs {
		for _, p := range log.probes {
			if p.holder.Entry == vm {
				markLost(now, log, p)
			}
		}
	}
}

// markLost leaves the store as the only source for an attempt's outcome, and has
// the log read.
func markLost(now time.Time, log *logState, p *probe) {
	if p.lostAt.IsZero() {
		p.lostAt = now
		log.stale = true
	}
}

// oldestLostProbe returns since when a read of the store has been needed to
// resolve a probe. It reports false if no probe is lost.
func (log *logState) oldestLostProbe() (time.Time, bool) {
	var since time.Time
	for _, p := range log.probes {
		if !p.lostAt.IsZero() && (since.IsZero() || p.lostAt.Before(since)) {
			since = p.lostAt
		}
	}
	return since, !since.IsZero()
}

// resolveLostProbes answers LedgerUnknown to the claims that wait for a lost
// attempt whose outcome is not in the store either. The read that showed this was
// issued at issuedAt; attempts lost later wait for the next read.
func (w *writer) resolveLostProbes(log *logState, issuedAt time.Time) {
	for _, attempt := range sortedProbes(log) {
		p := log.probes[attempt]
		if p.lostAt.IsZero() || p.lostAt.After(issuedAt) {
			continue
		}
		delete(log.probes, attempt)
		for _, c := range claimsWaitingOn(log, attempt) {
			log.removeClaim(c)
			w.decide(c, wire.LedgerUnknown, nil)
		}
	}
}

func claimsWaitingOn(log *logState, attempt uuid.UUID) []*pendingClaim {
	var claims []*pendingClaim
	for _, c := range log.pendingClaims {
		if c.holder != nil && c.holder.Attempt == attempt {
			claims = append(claims, c)
		}
	}
	return claims
}

// tickProbes resends the probes that are due, and drops those that no claim needs
// any more.
func (w *writer) tickProbes(now time.Time, log *logState) {
	if len(log.probes) == 0 {
		return
	}
	for _, attempt := range sortedProbes(log) {
		p := log.probes[attempt]
		switch {
		case len(claimsWaitingOn(log, attempt)) == 0:
			delete(log.probes, attempt)
		case !p.lostAt.IsZero() || now.Before(p.dueAt):
		case p.confirmedRunning:
			w.sendProbe(now, p)
		default:
			markLost(now, log, p)
		}
	}
}

func sortedProbes(log *logState) []uuid.UUID {
	attempts := make([]uuid.UUID, 0, len(log.probes))
	for attempt := range log.probes {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(x, y uuid.UUID) int { return slices.Compare(x[:], y[:]) })
	return attempts
}
