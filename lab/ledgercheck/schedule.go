package ledgercheck

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

const (
	scheduleLength = 30 * time.Second
	// settleTime is the virtual time after the faults in which pending calls and
	// writes end.
	settleTime         = 40 * time.Second
	scheduleTick       = 200 * time.Millisecond
	scheduleKeys       = 6
	scheduleTries      = 4
	scheduleFaultCount = 6
)

// Outcome is the result of one schedule. Executions is the number of attempts that
// the upstream executed.
type Outcome struct {
	Seed       uint64
	Violations []string
	Tally      map[string]int
	Executions int
}

// Schedule runs a small fleet under random calls and faults that the seed
// determines.
func Schedule(seed uint64, defects ProtocolDefects) Outcome {
	random := rand.New(rand.NewPCG(seed, 2))
	s := New(Options{
		Seed:                 seed,
		DataCentres:          2 + random.IntN(2),
		VMs:                  3 + random.IntN(4),
		StoreTime:            5 * time.Millisecond,
		DuplicateFraction:    random.Float64() * 0.3,
		LossFraction:         random.Float64() * 0.1,
		DelayFraction:        random.Float64() * 0.3,
		MaxExtraDelay:        time.Duration(1 + random.Int64N(int64(3*time.Second))),
		WithholdFraction:     random.Float64() * 0.2,
		BrokenAnswerFraction: random.Float64() * 0.2,
		ServiceTime:          time.Duration(random.Int64N(int64(3 * time.Second))),
		BodyBytes:            100,
		TickInterval:         scheduleTick,
		Defects:              defects,
	})
	for range scheduleKeys {
		s.planCalls(random)
	}
	for range scheduleFaultCount {
		s.planFault(random)
	}
	s.Run(scheduleLength)
	s.endFaults()
	s.Run(settleTime)
	return Outcome{Seed: seed, Violations: s.Finish(), Tally: s.Tally(), Executions: s.upstream.executionCount()}
}

// planCalls schedules the calls of one key: of one caller, or of two that start
// within a second of each other, each through a random daemon.
func (s *Sim) planCalls(random *rand.Rand) {
	s.queue.after(randomDuration(random, scheduleLength/2), func() {
		key := s.NewKey()
		s.callWithRetries(key, random.IntN(len(s.daemons)), scheduleTries)
		if random.IntN(2) == 0 {
			delay := randomDuration(random, time.Second)
			s.queue.after(delay, func() { s.callWithRetries(key, random.IntN(len(s.daemons)), scheduleTries) })
		}
	})
}

// callWithRetries makes a call, and retries it through random daemons until its
// outcome is known or the tries are used up.
func (s *Sim) callWithRetries(key claim.Key, vm, tries int) {
	c := s.call(vm, key, 0, func(c *call) {
		if tries <= 1 || c.result.outcomeKnown() {
			return
		}
		pause := randomDuration(s.random, time.Second)
		if c.result.Kind == AnswerRefusal {
			pause += c.result.Refusal.RetryAfter
		}
		s.queue.after(pause, func() { s.callWithRetries(key, s.random.IntN(len(s.daemons)), tries-1) })
	})
	// One caller in three disconnects early, while its call continues in the daemon.
	if s.random.IntN(3) == 0 {
		s.queue.after(randomDuration(s.random, 3*time.Second), func() { c.end(nil, Answer{}) })
	}
}

// outcomeKnown reports whether the answer tells the caller how its request ended.
func (a Answer) outcomeKnown() bool {
	switch a.Kind {
	case AnswerExecuted, AnswerReplay:
		return true
	case AnswerRefusal:
		return a.Refusal.Reason == request.ReasonKeyReuse
	default:
		return false
	}
}

// planFault schedules one fault of a random kind, time and length.
func (s *Sim) planFault(random *rand.Rand) {
	kind := random.IntN(9)
	vm := random.IntN(len(s.daemons))
	dataCentre := random.IntN(len(s.dataCentres))
	length := randomDuration(random, 12*time.Second)
	s.queue.after(randomDuration(random, scheduleLength), func() {
		switch kind {
		case 0, 1:
			s.Kill(vm, length)
		case 2:
			s.Pause(vm, length)
		case 3:
			s.Isolate(dataCentre, true)
			s.queue.after(length, func() { s.Isolate(dataCentre, false) })
		default:
			s.SetStoreFaults(storeFaultsOfKind(kind, random))
			s.queue.after(length, func() { s.SetStoreFaults(StoreFaults{}) })
		}
	})
}

// storeFaultsOfKind returns the store fault of a kind drawn by planFault.
func storeFaultsOfKind(kind int, random *rand.Rand) StoreFaults {
	switch kind {
	case 4:
		return StoreFaults{Down: true}
	case 5:
		return StoreFaults{LoseAnswers: true}
	case 6:
		return StoreFaults{LateWrites: true}
	case 7:
		return StoreFaults{Limited: true}
	default:
		return StoreFaults{Delay: randomDuration(random, 8*time.Second)}
	}
}

// endFaults ends all faults of the store and between data centres.
func (s *Sim) endFaults() {
	s.SetStoreFaults(StoreFaults{})
	for i := range s.dataCentres {
		s.Isolate(i, false)
	}
}

// randomDuration returns a random duration in [0, bound).
func randomDuration(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}
