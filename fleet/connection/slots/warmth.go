package slots

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// promptAnswers is the least number of prompt answers at one limit that
	// doubles the limit; a limit above it needs as many as it has slots.
	promptAnswers = 3
	// lateFactor is how many times the longer of the expected and the usual
	// first-token time is a sign of coldness.
	lateFactor = 3
	// baselineWeight is the weight of the newest answer in the usual
	// first-token time.
	baselineWeight = 0.1
	// idleTime is how long an upstream without any work counts as warm.
	idleTime = 60 * time.Second
	// ejectMin and ejectMax bound how long a refusing upstream gets no work.
	ejectMin = time.Second
	ejectMax = 60 * time.Second
	// EvidenceTime is how long an entry's prompt answers count for a
	// successor dispatcher.
	EvidenceTime = 30 * time.Second
)

// warmth is how much load an upstream has shown that it bears.
//
// Invariant: limit rises only by prompt answers to requests that were granted
// at the present limit, and never by a report.
type warmth struct {
	limit int
	// epoch changes with the limit, so that an answer counts only for the
	// limit under which it was granted.
	epoch uint32
	// prompt counts prompt answers of this epoch.
	prompt int
	// baseline is the usual first-token time; 0 is unknown.
	baseline time.Duration
	// failures counts the ejections since the last whole answer, ejections
	// all of them.
	failures  int
	ejections uint32
	// ejectedUntil ends an ejection; after it, one request at a time is tried
	// until failures is 0 again.
	ejectedUntil time.Time
	lastWork     time.Time
}

// reset forgets everything about the upstream.
func (w *warmth) reset(now time.Time, coldLimit int) {
	*w = warmth{limit: coldLimit, epoch: w.epoch + 1, ejections: w.ejections + 1, lastWork: now}
}

// fall returns to the cold limit.
func (w *warmth) fall(coldLimit int) {
	w.limit = coldLimit
	w.prompt = 0
	w.epoch++
}

func (w *warmth) began(now time.Time) { w.lastWork = now }

func (w *warmth) ejected(now time.Time) bool { return now.Before(w.ejectedUntil) }

func (w *warmth) onTrial() bool { return w.failures > 0 }

// idle reports whether evidence of warmth is out of date.
func (w *warmth) idle(now time.Time, holds int) bool {
	return holds == 0 && w.prompt+w.limit > 0 && now.Sub(w.lastWork) > idleTime
}

// eject gives no work for a time that doubles with each failure.
func (w *warmth) eject(now time.Time) {
	pause := min(ejectMin<<min(w.failures, 10), ejectMax)
	w.failures++
	w.ejections++
	w.ejectedUntil = now.Add(pause)
}

// promptly counts a prompt answer and doubles the limit after enough of them.
func (w *warmth) promptly(firstToken time.Duration, warmLimit int) {
	if w.baseline == 0 {
		w.baseline = firstToken
	}
	w.baseline += time.Duration(baselineWeight * float64(firstToken-w.baseline))
	if w.limit >= warmLimit {
		return
	}
	w.prompt++
	if w.prompt < max(promptAnswers, w.limit) {
		return
	}
	w.limit = min(2*w.limit, warmLimit)
	w.prompt = 0
	w.epoch++
}

// learn draws conclusions from the end of an attempt. One that was granted
// before the upstream's latest ejection says nothing new about its health.
func (t *Table) learn(now time.Time, s *state, info held, finish request.Finish) {
	current := info.ejections == s.warmth.ejections
	switch finish.Outcome {
	case request.OutcomeRefused, request.OutcomeBroken, request.OutcomeUnreachable:
		if current {
			s.warmth.eject(now)
			s.returnCold()
		}
	case request.OutcomeDone:
		s.warmth.lastWork = now
		if current {
			s.warmth.failures = 0
			t.learnFirstToken(s, info.epoch, finish.FirstToken)
		}
	case request.OutcomeUnused, request.OutcomeCancelled:
	}
	t.refresh(now, s)
}

func (t *Table) learnFirstToken(s *state, epoch uint32, firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	current := epoch == s.warmth.epoch
	late := firstToken > lateFactor*max(t.expected, s.warmth.baseline)
	switch {
	case late && (current || !s.cold()):
		s.returnCold()
	case !late && firstToken <= t.expected && current:
		s.warmth.promptly(firstToken, s.upstream.WarmLimit)
	}
}

// Restore takes an entry's recent prompt answers at an upstream as evidence
// that it is warm. It counts once the upstream has reported that it is not
// cold, or that it does not report.
func (t *Table) Restore(now time.Time, from version.VMID, upstream version.UpstreamID, answers int) {
	s, present := t.upstreams[upstream]
	if !present || s.out || now.Sub(t.started) > EvidenceTime {
		return
	}
	if s.evidence == nil {
		s.evidence = make(map[version.VMID]int)
	}
	s.evidence[from] = answers
	if s.report.seen {
		t.applyEvidence(now, s)
	}
}

// applyEvidence raises the limit to what the brought evidence is worth.
func (t *Table) applyEvidence(now time.Time, s *state) {
	if s.evidence == nil || s.warmth.onTrial() || now.Sub(t.started) > EvidenceTime {
		return
	}
	total := 0
	for _, answers := range s.evidence {
		total += answers
	}
	if limit := earned(total, s.upstream); limit > s.warmth.limit {
		s.warmth.limit = limit
		s.warmth.epoch++
		t.refresh(now, s)
	}
}

// earned returns the limit that a number of prompt answers is worth.
func earned(answers int, upstream *version.Upstream) int {
	limit := upstream.ColdLimit
	for limit < upstream.WarmLimit {
		needed := max(promptAnswers, limit)
		if answers < needed {
			break
		}
		answers -= needed
		limit = min(2*limit, upstream.WarmLimit)
	}
	return limit
}
