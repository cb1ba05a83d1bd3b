package ledgercheck

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
)

// StoreFaults are the faults of the store. The zero value has none.
type StoreFaults struct {
	// Down gives every call an unresolved result, without effect.
	Down bool
	// Limited refuses every call as over the rate limit, without effect.
	Limited bool
	// LoseAnswers gives writes an unresolved result after they took effect.
	LoseAnswers bool
	// LateWrites gives writes an unresolved result and lets them take effect
	// lateWriteDelay later.
	LateWrites bool
	// Delay is added to every call.
	Delay time.Duration
}

const (
	// storeCallTimeout is how long a daemon waits for a call of the store.
	storeCallTimeout = 5 * time.Second
	// lateWriteDelay is the time until a late write takes effect.
	lateWriteDelay = 3 * time.Second
)

// Usage counts the calls of the store: all reads, the writes that took effect, and
// the calls refused as over the rate limit.
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

// store is a fake of the platform's object store.
type store struct {
	sim     *Sim
	objects map[string]object
	version uint64
	faults  StoreFaults
	// writeTokens and refilledAt are the token bucket that limits writes to
	// Options.StoreWritesPerSecond.
	writeTokens float64
	refilledAt  time.Time
	usage       Usage
}

// callerProcess is the process that made a call of the store. The answer is
// delivered only to this incarnation of its daemon, never to a later one.
type callerProcess struct {
	daemon      *daemon
	incarnation uint64
}

func (s *store) read(d *daemon, a ledger.Read) {
	s.usage.Reads++
	faults := s.faults
	from := callerProcess{d, d.incarnation}
	s.call(faults, func() {
		result := ledger.ReadDone{Operation: a.Operation, Result: ledger.NotFound}
		stored, present := s.objects[a.Name]
		if present {
			s.usage.BytesRead += len(stored.value)
			result.Result = ledger.Succeeded
			result.Version = stored.version
			result.Value = stored.value
		}
		s.answer(from, faults, result)
	}, func(r ledger.Result) {
		s.answer(from, faults, ledger.ReadDone{Operation: a.Operation, Result: r})
	})
}

func (s *store) write(d *daemon, a ledger.Write) {
	s.sim.reachStep(StepWrite)
	faults := s.faults
	from := callerProcess{d, d.incarnation}
	if !s.takeWriteToken() {
		faults.Limited = true
	}
	s.call(faults, func() {
		if faults.LateWrites {
			s.sim.queue.after(lateWriteDelay, func() { s.apply(a) })
			s.answer(from, faults, ledger.WriteDone{Operation: a.Operation, Result: ledger.Unresolved})
			return
		}
		result := ledger.WriteDone{Operation: a.Operation, Result: ledger.Conflict}
		if s.apply(a) {
			result.Result = ledger.Succeeded
			result.Version = s.version
		}
		if s.faults.LoseAnswers || s.faults.Down {
			result = ledger.WriteDone{Operation: a.Operation, Result: ledger.Unresolved}
		}
		s.answer(from, faults, result)
	}, func(r ledger.Result) {
		s.answer(from, faults, ledger.WriteDone{Operation: a.Operation, Result: r})
	})
}

// call delivers a call to the store after half of the round-trip time and applies
// the faults to it: it calls effect, or fail with the result. A slow call times out
// at its caller but still takes effect.
func (s *store) call(faults StoreFaults, effect func(), fail func(ledger.Result)) {
	s.sim.queue.after(s.sim.options.StoreTime/2+faults.Delay, func() {
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

// answer delivers the result of a call to its caller after half of the round-trip
// time. A call that took longer than storeCallTimeout is unresolved for its caller.
func (s *store) answer(from callerProcess, faults StoreFaults, event ledger.Event) {
	if faults.Delay > storeCallTimeout {
		event = unresolved(event)
	}
	s.sim.queue.after(s.sim.options.StoreTime/2, func() { from.daemon.step(from.incarnation, event) })
}

// unresolved replaces the result of a call by ledger.Unresolved.
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

// apply executes a write if its precondition holds and reports whether it did.
func (s *store) apply(a ledger.Write) bool {
	stored := s.objects[a.Name]
	if stored.version != a.Expected && !s.sim.options.Defects.UnconditionalWrites {
		return false
	}
	s.version++
	s.objects[a.Name] = object{version: s.version, value: a.Value}
	s.usage.Writes++
	s.usage.BytesWritten += len(a.Value)
	s.sim.reachStep(StepWritten)
	return true
}

// takeWriteToken takes a token from the bucket of writes and reports whether one was
// left.
func (s *store) takeWriteToken() bool {
	perSecond := float64(s.sim.options.StoreWritesPerSecond)
	if perSecond == 0 {
		return true
	}
	now := s.sim.queue.now
	s.writeTokens = min(s.writeTokens+now.Sub(s.refilledAt).Seconds()*perSecond, perSecond)
	s.refilledAt = now
	if s.writeTokens < 1 {
		return false
	}
	s.writeTokens--
	return true
}
