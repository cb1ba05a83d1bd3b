package ledgercheck

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// check compares an answer with what the upstream ran.
func (s *Sim) check(c *call) {
	runs := s.upstream.runs[runKey{c.claim.Account, c.claim.Key}]
	switch {
	case c.got.Kind == AnswerReplay:
		if len(runs) == 0 || runs[0].digest != c.got.Digest {
			s.violate("key %s: a replay of an answer that no attempt gave", c.claim.Key)
		}
	case c.got.Kind == AnswerRefusal && c.got.Refusal.Execution == request.NotRun:
		s.checkNotRun(c, runs)
	}
}

// checkNotRun checks that neither this call ran nor, before it began, any other
// with its key.
func (s *Sim) checkNotRun(c *call, runs []run) {
	if c.got.Refusal.Reason == request.ReasonKeyReuse {
		return
	}
	for _, r := range runs {
		if r.attempt == c.claim.Attempt || r.at.Before(c.began) {
			s.violate("key %s: %q says not run, but it ran", c.claim.Key, c.got.Refusal.Reason)
		}
	}
}

// Finish makes the last checks and returns what was violated.
func (s *Sim) Finish() []string {
	for key, runs := range s.upstream.runs {
		if len(runs) > 1 {
			s.violate("key %s: ran %d times", key.key, len(runs))
		}
	}
	for _, c := range s.calls {
		for _, r := range s.upstream.runs[runKey{c.claim.Account, c.claim.Key}] {
			notRun := c.got.Kind == AnswerRefusal && c.got.Refusal.Execution == request.NotRun
			if notRun && r.attempt == c.claim.Attempt {
				s.violate("key %s: a call refused as not run ran later", c.claim.Key)
			}
		}
	}
	return s.violations
}

// Tally counts the answers of a run by what they say.
func (s *Sim) Tally() map[string]int {
	tally := make(map[string]int)
	for _, c := range s.calls {
		tally[c.got.String()]++
	}
	return tally
}

// String names what the caller got.
func (a Answer) String() string {
	switch a.Kind {
	case AnswerRun:
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
