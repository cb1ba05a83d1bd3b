package ledgercheck

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
)

// StoreFaults are what goes wrong at the store at present.
type StoreFaults struct {
	// Down ends every call unresolved, without effect.
	Down bool
	// Limited refuses every call without effect.
	Limited bool
	// LoseAnswers ends writes unresolved after they took effect.
	LoseAnswers bool
	// LateWrites ends writes unresolved and lets them take effect LateBy
	// later.
	LateWrites bool
	// Delay is added to every call.
	Delay time.Duration
}

const (
	// callTimeout is when a daemon stops waiting for a call.
	callTimeout = 5 * time.Second
	// lateBy is how much later a late write takes effect.
	lateBy = 3 * time.Second
)

// Usage counts what the store was asked.
type Usage struct {
	Reads        int
	Writes       int
	Limited      int
	BytesRead    int
	BytesWritten int
}

type object struct {
	version uint64
	value   []byte
}

// store is a stand-in for the platform's objects.
type store struct {
	sim     *Sim
	objects map[string]object
	version uint64
	faults  StoreFaults
	// tokens and refilled bound writes to Options.WritesPerSecond.
	tokens   float64
	refilled time.Time
	usage    Usage
}

// caller is the process that made a call. The answer finds this process or
// none, never a later one of the same daemon.
type caller struct {
	daemon      *daemon
	incarnation uint64
}

func (s *store) read(d *daemon, a ledger.Read) {
	s.usage.Reads++
	faults := s.faults
	by := caller{d, d.incarnation}
	s.call(faults, func() {
		result := ledger.ReadDone{Operation: a.Operation, Result: ledger.NotFound}
		stored, present := s.objects[a.Name]
		if present {
			s.usage.BytesRead += len(stored.value)
			result.Result = ledger.Done
			result.Version = stored.version
			result.Value = stored.value
		}
		s.answer(by, faults, result)
	}, func(r ledger.Result) {
		s.answer(by, faults, ledger.ReadDone{Operation: a.Operation, Result: r})
	})
}

func (s *store) write(d *daemon, a ledger.Write) {
	s.sim.reach(StepWrite)
	faults := s.faults
	by := caller{d, d.incarnation}
	if !s.admit() {
		faults.Limited = true
	}
	s.call(faults, func() {
		if faults.LateWrites {
			s.sim.agenda.after(lateBy, func() { s.apply(a) })
			s.answer(by, faults, ledger.WriteDone{Operation: a.Operation, Result: ledger.Unresolved})
			return
		}
		result := ledger.WriteDone{Operation: a.Operation, Result: ledger.Conflict}
		if s.apply(a) {
			result.Result = ledger.Done
			result.Version = s.version
		}
		if s.faults.LoseAnswers || s.faults.Down {
			result = ledger.WriteDone{Operation: a.Operation, Result: ledger.Unresolved}
		}
		s.answer(by, faults, result)
	}, func(r ledger.Result) {
		s.answer(by, faults, ledger.WriteDone{Operation: a.Operation, Result: r})
	})
}

// call takes one way to the store and does what its faults say. Slow calls
// time out at the caller but still take effect.
func (s *store) call(faults StoreFaults, effect func(), fail func(ledger.Result)) {
	s.sim.agenda.after(s.sim.options.StoreTime/2+faults.Delay, func() {
		switch {
		case faults.Down:
			fail(ledger.Unresolved)
		case faults.Limited:
			s.usage.Limited++
			fail(ledger.Limited)
		default:
			effect()
		}
	})
}

// answer brings a result back to the daemon, unless it is too late there.
func (s *store) answer(by caller, faults StoreFaults, event ledger.Event) {
	if faults.Delay > callTimeout {
		event = unresolved(event)
	}
	s.sim.agenda.after(s.sim.options.StoreTime/2, func() { by.daemon.step(by.incarnation, event) })
}

func unresolved(event ledger.Event) ledger.Event {
	switch e := event.(type) {
	case ledger.ReadDone:
		return ledger.ReadDone{Operation: e.Operation, Result: ledger.Unresolved}
	case ledger.WriteDone:
		return ledger.WriteDone{Operation: e.Operation, Result: ledger.Unresolved}
	default:
		return event
	}
}

// apply writes if the precondition holds.
func (s *store) apply(a ledger.Write) bool {
	stored := s.objects[a.Name]
	if stored.version != a.Expected && !s.sim.options.Break.Unconditional {
		return false
	}
	s.version++
	s.objects[a.Name] = object{version: s.version, value: a.Value}
	s.usage.Writes++
	s.usage.BytesWritten += len(a.Value)
	s.sim.reach(StepWritten)
	return true
}

// admit takes a token of the store's budget of writes.
func (s *store) admit() bool {
	budget := float64(s.sim.options.StoreWritesPerSecond)
	if budget == 0 {
		return true
	}
	now := s.sim.agenda.now
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*budget, budget)
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
