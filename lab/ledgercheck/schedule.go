package ledgercheck

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

const (
	scheduleLength = 30 * time.Second
	// settleLength lets what is left end after the faults.
	settleLength  = 40 * time.Second
	scheduleTick  = 200 * time.Millisecond
	scheduleKeys  = 6
	scheduleTries = 4
	scheduleCuts  = 6
)

// Outcome is the result of one schedule.
type Outcome struct {
	Seed       uint64
	Violations []string
	Tally      map[string]int
	Runs       int
}

// Schedule runs a small fleet under the faults that a seed gives.
func Schedule(seed uint64, broken Break) Outcome {
	random := rand.New(rand.NewPCG(seed, 2))
	s := New(Options{
		Seed:          seed,
		DataCentres:   2 + random.IntN(2),
		VMs:           3 + random.IntN(4),
		StoreTime:     5 * time.Millisecond,
		Duplicate:     random.Float64() * 0.3,
		Lose:          random.Float64() * 0.1,
		Late:          random.Float64() * 0.3,
		LateBy:        time.Duration(1 + random.Int64N(int64(3*time.Second))),
		Withhold:      random.Float64() * 0.2,
		BrokenAnswers: random.Float64() * 0.2,
		ServiceTime:   time.Duration(random.Int64N(int64(3 * time.Second))),
		BodyBytes:     100,
		TickInterval:  scheduleTick,
		Break:         broken,
	})
	for range scheduleKeys {
		s.plan(random)
	}
	for range scheduleCuts {
		s.planFault(random)
	}
	s.Run(scheduleLength)
	s.heal()
	s.Run(settleLength)
	return Outcome{Seed: seed, Violations: s.Finish(), Tally: s.Tally(), Runs: s.upstream.total()}
}

// plan has a caller use one key, perhaps through two daemons at once.
func (s *Sim) plan(random *rand.Rand) {
	s.agenda.after(randomTime(random, scheduleLength/2), func() {
		key := s.NewKey()
		s.try(key, random.IntN(len(s.daemons)), scheduleTries)
		if random.IntN(2) == 0 {
			delay := randomTime(random, time.Second)
			s.agenda.after(delay, func() { s.try(key, random.IntN(len(s.daemons)), scheduleTries) })
		}
	})
}

// try calls, and comes back through another daemon while the outcome is not
// known.
func (s *Sim) try(key claim.Key, vm, tries int) {
	c := s.call(vm, key, 0, func(c *call) {
		if tries <= 1 || c.got.final() {
			return
		}
		pause := randomTime(s.random, time.Second)
		if c.got.Kind == AnswerRefusal {
			pause += c.got.Refusal.RetryAfter
		}
		s.agenda.after(pause, func() { s.try(key, s.random.IntN(len(s.daemons)), tries-1) })
	})
	// An impatient caller leaves early; its call goes on.
	if s.random.IntN(3) == 0 {
		s.agenda.after(randomTime(s.random, 3*time.Second), func() { c.answer(nil, Answer{}) })
	}
}

// final reports whether the caller knows the outcome.
func (a Answer) final() bool {
	switch a.Kind {
	case AnswerRun, AnswerReplay:
		return true
	case AnswerRefusal:
		return a.Refusal.Reason == request.ReasonKeyReuse
	default:
		return false
	}
}

// planFault puts in one fault of a random kind, time and length.
func (s *Sim) planFault(random *rand.Rand) {
	kind := random.IntN(9)
	vm := random.IntN(len(s.daemons))
	centre := random.IntN(len(s.centres))
	length := randomTime(random, 12*time.Second)
	s.agenda.after(randomTime(random, scheduleLength), func() {
		switch kind {
		case 0, 1:
			s.Kill(vm, length)
		case 2:
			s.Pause(vm, length)
		case 3:
			s.Isolate(centre, true)
			s.agenda.after(length, func() { s.Isolate(centre, false) })
		default:
			s.SetStoreFaults(storeFaults(kind, random))
			s.agenda.after(length, func() { s.SetStoreFaults(StoreFaults{}) })
		}
	})
}

func storeFaults(kind int, random *rand.Rand) StoreFaults {
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
		return StoreFaults{Delay: randomTime(random, 8*time.Second)}
	}
}

// heal ends all faults.
func (s *Sim) heal() {
	s.SetStoreFaults(StoreFaults{})
	for i := range s.centres {
		s.Isolate(i, false)
	}
}

func randomTime(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}
