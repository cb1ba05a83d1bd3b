package ledgercheck

import (
	"reflect"
	"testing"
)

func TestSchedules(t *testing.T) {
	t.Parallel()
	report := RunSchedules(1, schedules, Break{})
	t.Logf("%d schedules, %d calls, %d runs: %v", report.Schedules, report.Calls, report.Runs, report.Tally)
	for _, failed := range report.Failed {
		t.Errorf("seed %d: %v", failed.Seed, failed.Violations)
	}
	if report.Schedules != schedules || report.Calls < 4*schedules || report.Runs < 2*schedules {
		t.Error("the schedules did too little to check anything")
	}
	for _, kind := range []string{
		"run", "replay", "broken", "none", "outcome-unknown (unknown)",
		"ledger-unavailable (unknown)", "ledger-unavailable (not-run)", "deadline (not-run)",
	} {
		if report.Tally[kind] == 0 {
			t.Errorf("no call ended with %s", kind)
		}
	}
}

// TestSchedulesFindBreaks shows that the checks notice a protocol without one
// of its rules.
func TestSchedulesFindBreaks(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]Break{
		"unconditional writes": {Unconditional: true},
		"sent before claimed":  {SendFirst: true},
		"sent after released":  {SendAfterRelease: true},
	} {
		if report := RunSchedules(1, 100, broken); len(report.Failed) == 0 {
			t.Errorf("%s: not noticed", name)
		}
	}
}

// TestSeedsThatFailedOnce keeps the schedules that found a fault.
func TestSeedsThatFailedOnce(t *testing.T) {
	for seed, fault := range map[uint64]string{
		1055764: "the stand-in store answered a killed daemon's call to its next process",
	} {
		if outcome := Schedule(seed, Break{}); len(outcome.Violations) > 0 {
			t.Errorf("seed %d (%s): %v", seed, fault, outcome.Violations)
		}
	}
}

// TestASeedGivesTheSameRun lets a failed seed be run again.
func TestASeedGivesTheSameRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if first, again := Schedule(seed, Break{}), Schedule(seed, Break{}); !reflect.DeepEqual(first, again) {
			t.Errorf("seed %d: %+v, then %+v", seed, first, again)
		}
	}
}
