package ledgercheck

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// Step is a point of the protocol at which a fault can be put in.
type Step int

const (
	// StepClaim is a claim on its way to the shard's writer.
	StepClaim Step = iota
	// StepWrite is a write on its way to the store.
	StepWrite
	// StepWritten is a write that took effect, its answer on its way back.
	StepWritten
	// StepVerdict is a verdict on its way to the entry.
	StepVerdict
	// StepPermit is a permit that is not used yet.
	StepPermit
	// StepSent is an attempt that the upstream runs.
	StepSent
	// StepOutcome is an outcome on its way to the writer.
	StepOutcome
	// Steps is the number of steps.
	Steps
)

var stepNames = [Steps]string{"claim", "write", "written", "verdict", "permit", "sent", "outcome"}

// String returns the step's name.
func (s Step) String() string {
	if s < 0 || s >= Steps {
		return fmt.Sprintf("step %d", int(s))
	}
	return stepNames[s]
}

// At runs f when a step is reached for the first time.
func (s *Sim) At(step Step, f func()) { s.hooks[step] = f }

// Reached returns how often a step was reached.
func (s *Sim) Reached(step Step) int { return s.reached[step] }

func (s *Sim) reach(step Step) {
	s.reached[step]++
	if f, present := s.hooks[step]; present {
		delete(s.hooks, step)
		f()
	}
}

func (s *Sim) reachMessage(message wire.Message) {
	if relay, wrapped := message.(wire.LedgerRelay); wrapped {
		message, _ = relay.Unwrap()
	}
	switch m := message.(type) {
	case wire.LedgerClaim:
		s.reach(StepClaim)
	case wire.LedgerVerdict:
		if m.Result == wire.LedgerClaimed {
			s.reach(StepVerdict)
		}
	}
}
