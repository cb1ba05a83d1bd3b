package ledgercheck

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// Step is a step of the protocol at which a fault can be injected.
type Step int

const (
	// StepClaim is a claim on its way to the shard's writer.
	StepClaim Step = iota
	// StepWrite is a ledger write on its way to the store.
	StepWrite
	// StepWritten is a ledger write that took effect and whose answer is on its way
	// back.
	StepWritten
	// StepVerdict is a verdict on its way to the entry.
	StepVerdict
	// StepPermit is a permit that has not been used yet.
	StepPermit
	// StepSent is an attempt that the upstream executes.
	StepSent
	// StepOutcome is the outcome of an attempt on its way to the writer.
	StepOutcome
	// StepCount is the number of steps.
	StepCount
)

var stepNames = [StepCount]string{"claim", "write", "written", "verdict", "permit", "sent", "outcome"}

// String returns the step's name.
func (s Step) String() string {
	if s < 0 || s >= StepCount {
		return fmt.Sprintf("step %d", int(s))
	}
	return stepNames[s]
}

// OnStep calls f when a step is next reached, once.
func (s *Sim) OnStep(step Step, f func()) { s.stepHooks[step] = f }

// Reached returns the number of times that a step was reached.
func (s *Sim) Reached(step Step) int { return s.stepCounts[step] }

// reachStep counts a step and calls its hook, if any.
func (s *Sim) reachStep(step Step) {
	s.stepCounts[step]++
	if f, present := s.stepHooks[step]; present {
		delete(s.stepHooks, step)
		f()
	}
}

// reachMessageStep reaches the step, if any, that a message between daemons stands
// for.
func (s *Sim) reachMessageStep(message wire.Message) {
	if relay, wrapped := message.(wire.LedgerRelay); wrapped {
		message, _ = relay.Unwrap()
	}
	switch m := message.(type) {
	case wire.LedgerClaim:
		s.reachStep(StepClaim)
	case wire.LedgerVerdict:
		if m.Result == wire.LedgerClaimed {
			s.reachStep(StepVerdict)
		}
	}
}
