package ledgercheck

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// checkAnswer checks the answer of a call against the attempts that the upstream
// has executed.
func (s *Sim) checkAnswer(c *call) {
	executions := s.upstream.executions[executionKey{c.claim.Account, c.claim.Key}]
	switch {
	case c.result.Kind == AnswerReplay:
		if len(executions) == 0 || executions[0].digest != c.result.Digest {
			s.reportViolation("key %s: replayed answer differs from that of the first executed attempt", c.claim.Key)
		}
	case c.result.Kind == AnswerRefusal && c.result.Refusal.Execution == request.NotExecuted:
		s.checkNotExecuted(c, executions)
	}
}

// checkNotExecuted checks that the attempt of this call was not executed, and that
// no other attempt with its key was executed before the call started. A refusal for
// the use of a key with another request is exempt, since it says nothing about the
// attempts of that other request.
func (s *Sim) checkNotExecuted(c *call, executions []execution) {
	if c.result.Refusal.Reason == request.ReasonKeyReuse {
		return
	}
	for _, e := range executions {
		if e.attempt == c.claim.Attempt || e.at.Before(c.startedAt) {
			s.reportViolation("key %s: refused as not executed (%q), but an attempt was executed", c.claim.Key, c.result.Refusal.Reason)
		}
	}
}

// Finish makes the checks that need the whole run and returns all violations.
func (s *Sim) Finish() []string {
	for key, executions := range s.upstream.executions {
		if len(executions) > 1 {
			s.reportViolation("key %s: executed %d times, want at most 1", key.key, len(executions))
		}
	}
	for _, c := range s.calls {
		for _, e := range s.upstream.executions[executionKey{c.claim.Account, c.claim.Key}] {
			notExecuted := c.result.Kind == AnswerRefusal && c.result.Refusal.Execution == request.NotExecuted
			if notExecuted && e.attempt == c.claim.Attempt {
				s.reportViolation("key %s: call refused as not executed was executed later", c.claim.Key)
			}
		}
	}
	return s.violations
}

// Tally counts the calls of the run by the String of their answers. A call that has
// not ended counts as one without an answer.
func (s *Sim) Tally() map[string]int {
	tally := make(map[string]int)
	for _, c := range s.calls {
		tally[c.result.String()]++
	}
	return tally
}

// String returns the kind of the answer, and the reason and execution of a refusal.
func (a Answer) String() string {
	switch a.Kind {
	case AnswerExecuted:
		return "run"
	case AnswerBroken:
		return "broken"
	case AnswerReplay:
		return "replay"
	case AnswerRefusal:
		return fmt.Sprintf("%s (%s)", a.Refusal.Reason, a.Refusal.Execution)
	default:
		return "none"
	}
}
