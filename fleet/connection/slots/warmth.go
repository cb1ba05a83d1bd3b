package slots

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// minPromptAnswers is the smallest number of prompt answers at one limit that
	// doubles the limit. A limit above it needs as many prompt answers as it has slots.
	minPromptAnswers = 3
	// lateFirstTokenFactor times the longer of the expected and the baseline time to
	// first token is the time above which an answer shows that the upstream is cold.
	lateFirstTokenFactor = 3
	// baselineWeight is the weight of the newest answer in the baseline time to first
	// token, an exponentially weighted moving average.
	baselineWeight = 0.1
	// maxIdleTime is how long an upstream without any work stays warm.
	maxIdleTime = 60 * time.Second
	// minEjectionTime and maxEjectionTime bound how long a failing upstream is ejected.
	minEjectionTime = time.Second
	maxEjectionTime = 60 * time.Second
	// evidenceLifetime is how long after its start a new dispatcher accepts the prompt
	// answers that entries report as evidence that an upstream is warm.
	evidenceLifetime = 30 * time.Second
)

// slowStart tracks how many concurrent requests an upstream has proven to handle, and
// ejects it when it fails.
//
// Invariant: limit rises only by prompt answers to requests that were granted at the
// present limit, and never by a load report.
type slowStart struct {
	limit int
	// epoch changes with the limit, so that an answer counts only for the limit under
	// which its request was granted.
	epoch uint32
	// promptAnswers counts the prompt answers of this epoch.
	promptAnswers int
	// baselineFirstToken is the usual time to first token; 0 is unknown.
	baselineFirstToken time.Duration
	// consecutiveEjections counts the ejections since the last complete answer, and
	// ejections all of them.
	consecutiveEjections int
	ejections            uint32
	// ejectedUntil is the end of an ejection. After it, the upstream is probed with one
	// request at a time until consecutiveEjections is 0 again.
	ejectedUntil time.Time
	lastWork     time.Time
}

// reset discards all state of the upstream and starts a new epoch.
func (ss *slowStart) reset(now time.Time, coldLimit int) {
	*ss = slowStart{limit: coldLimit, epoch: ss.epoch + 1, ejections: ss.ejections + 1, lastWork: now}
}

// fallTo lowers the limit to the cold limit and starts a new epoch.
func (ss *slowStart) fallTo(coldLimit int) {
	ss.limit = coldLimit
	ss.promptAnswers = 0
	ss.epoch++
}

func (ss *slowStart) recordWork(now time.Time) { ss.lastWork = now }

func (ss *slowStart) ejected(now time.Time) bool { return now.Before(ss.ejectedUntil) }

// probing reports whether only one request at a time may be tried after an ejection.
func (ss *slowStart) probing() bool { return ss.consecutiveEjections > 0 }

// idle reports whether the upstream has had no work for so long that it may have become
// cold.
func (ss *slowStart) idle(now time.Time, holds int) bool {
	return holds == 0 && ss.promptAnswers+ss.limit > 0 && now.Sub(ss.lastWork) > maxIdleTime
}

// eject stops new work for a time that doubles with each consecutive ejection.
func (ss *slowStart) eject(now time.Time) {
	duration := min(minEjectionTime<<min(ss.consecutiveEjections, 10), maxEjectionTime)
	ss.consecutiveEjections++
	ss.ejections++
	ss.ejectedUntil = now.Add(duration)
}

// recordPromptAnswer counts a prompt answer and doubles the limit after enough of them.
func (ss *slowStart) recordPromptAnswer(firstToken time.Duration, warmLimit int) {
	if ss.baselineFirstToken == 0 {
		ss.baselineFirstToken = firstToken
	}
	ss.baselineFirstToken += time.Duration(baselineWeight * float64(firstToken-ss.baselineFirstToken))
	if ss.limit >= warmLimit {
		return
	}
	ss.promptAnswers++
	if ss.promptAnswers < max(minPromptAnswers, ss.limit) {
		return
	}
	ss.limit = min(2*ss.limit, warmLimit)
	ss.promptAnswers = 0
	ss.epoch++
}

// recordOutcome updates the slow start and ejection state from a finished attempt. The
// outcome of an attempt that was granted before the upstream's latest ejection says
// nothing new about its health.
func (t *Table) recordOutcome(now time.Time, s *upstreamState, info holdInfo, finish request.Finish) {
	current := info.ejections == s.slowStart.ejections
	switch finish.Outcome {
	case request.OutcomeRefused, request.OutcomeBroken, request.OutcomeUnreachable:
		if current {
			s.slowStart.eject(now)
			s.returnToColdLimit()
		}
	case request.OutcomeDone:
		s.slowStart.lastWork = now
		if current {
			s.slowStart.consecutiveEjections = 0
			t.recordFirstToken(s, info.epoch, finish.FirstToken)
		}
	case request.OutcomeUnused, request.OutcomeCancelled:
	}
	t.recountUsable(now, s)
}

// recordFirstToken counts a time to first token as a prompt answer, or returns the
// upstream to its cold limit if it was late.
func (t *Table) recordFirstToken(s *upstreamState, epoch uint32, firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	current := epoch == s.slowStart.epoch
	late := firstToken > lateFirstTokenFactor*max(t.expectedFirstToken, s.slowStart.baselineFirstToken)
	switch {
	case late && (current || !s.cold()):
		s.returnToColdLimit()
	case !late && firstToken <= t.expectedFirstToken && current:
		s.slowStart.recordPromptAnswer(firstToken, s.upstream.WarmLimit)
	}
}

// AddEvidence records an entry's recent prompt answers from an upstream as evidence
// that it is warm. The evidence is applied once the upstream has reported that it is
// not cold, or is known not to report.
func (t *Table) AddEvidence(now time.Time, from version.VMID, upstream version.UpstreamID, answers int) {
	s, present := t.upstreams[upstream]
	if !present || s.outOfService || now.Sub(t.startedAt) > evidenceLifetime {
		return
	}
	if s.evidence == nil {
		s.evidence = make(map[version.VMID]int)
	}
	s.evidence[from] = answers
	if s.reports.reportingKnown {
		t.applyEvidence(now, s)
	}
}

// applyEvidence raises the limit to the one that the recorded evidence justifies.
func (t *Table) applyEvidence(now time.Time, s *upstreamState) {
	if s.evidence == nil || s.slowStart.probing() || now.Sub(t.startedAt) > evidenceLifetime {
		return
	}
	total := 0
	for _, answers := range s.evidence {
		total += answers
	}
	if limit := earnedLimit(total, s.upstream); limit > s.slowStart.limit {
		s.slowStart.limit = limit
		s.slowStart.epoch++
		t.recountUsable(now, s)
	}
}

// earnedLimit returns the limit that the given number of prompt answers leads to.
func earnedLimit(answers int, upstream *version.Upstream) int {
	limit := upstream.ColdLimit
	for limit < upstream.WarmLimit {
		needed := max(minPromptAnswers, limit)
		if answers < needed {
			break
		}
		answers -= needed
		limit = min(2*limit, upstream.WarmLimit)
	}
	return limit
}
