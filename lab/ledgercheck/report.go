package ledgercheck

import (
	"runtime"
	"sync"
)

// Report sums up the outcomes of many schedules. Calls are the calls of callers,
// Executions the attempts that upstreams executed.
type Report struct {
	Schedules  int
	Calls      int
	Executions int
	Tally      map[string]int
	// FailedOutcomes are the outcomes of the schedules with violations, in no order.
	FailedOutcomes []Outcome
}

// RunSchedules runs count schedules, whose seeds count up from firstSeed, on all
// processors.
func RunSchedules(firstSeed uint64, count int, defects ProtocolDefects) Report {
	seeds := make(chan uint64)
	outcomes := make(chan Outcome)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				outcomes <- Schedule(seed, defects)
			}
		})
	}
	go func() {
		for i := range count {
			seeds <- firstSeed + uint64(i)
		}
		close(seeds)
		workers.Wait()
		close(outcomes)
	}()
	report := Report{Tally: make(map[string]int)}
	for outcome := range outcomes {
		report.add(outcome)
	}
	return report
}

func (r *Report) add(outcome Outcome) {
	r.Schedules++
	r.Executions += outcome.Executions
	for kind, n := range outcome.Tally {
		r.Tally[kind] += n
		r.Calls += n
	}
	if len(outcome.Violations) > 0 {
		r.FailedOutcomes = append(r.FailedOutcomes, outcome)
	}
}
