package ledgercheck

import (
	"runtime"
	"sync"
)

// Report sums up many schedules.
type Report struct {
	Schedules int
	Calls     int
	Runs      int
	Tally     map[string]int
	// Failed are the schedules with violations.
	Failed []Outcome
}

// RunSchedules runs the schedules of the seeds from first, several at once.
func RunSchedules(first uint64, count int, broken Break) Report {
	seeds := make(chan uint64)
	outcomes := make(chan Outcome)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				outcomes <- Schedule(seed, broken)
			}
		})
	}
	go func() {
		for i := range count {
			seeds <- first + uint64(i)
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
	r.Runs += outcome.Runs
	for kind, n := range outcome.Tally {
		r.Tally[kind] += n
		r.Calls += n
	}
	if len(outcome.Violations) > 0 {
		r.Failed = append(r.Failed, outcome)
	}
}
