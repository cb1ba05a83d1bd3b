package ledgercheck

import (
	"reflect"
	"testing"
)

// Thousands of random schedules of calls and faults may not violate a guarantee of
// the ledger. The counts at the end guard against schedules that exercise too little.
func TestSchedules(t *testing.T) {
	t.Parallel()
	report := RunSchedules(1, scheduleCount, ProtocolDefects{})
	t.Logf("%d schedules, %d calls, %d executions: %v", report.Schedules, report.Calls, report.Executions, report.Tally)
	for _, failed := range report.FailedOutcomes {
		t.Errorf("seed %d: %v", failed.Seed, failed.Violations)
	}
	if report.Schedules != scheduleCount || report.Calls < 4*scheduleCount || report.Executions < 2*scheduleCount {
		t.Error("the schedules made too few calls or executions to check anything")
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

// The schedules must find a violation in a protocol that lacks one of its rules;
// otherwise TestSchedules proves nothing.
func TestSchedulesDetectDefectiveProtocols(t *testing.T) {
	t.Parallel()
	for name, defects := range map[string]ProtocolDefects{
		"unconditional writes": {UnconditionalWrites: true},
		"sent before claimed":  {SendBeforeVerdict: true},
		"sent after released":  {SendAfterRelease: true},
	} {
		if report := RunSchedules(1, 100, defects); len(report.FailedOutcomes) == 0 {
			t.Errorf("%s: no violation found", name)
		}
	}
}

// Schedules that once failed are run again. Each seed has a line on the fault that
// it found.
func TestSeedsThatOnceFailed(t *testing.T) {
	for seed, fault := range map[uint64]string{
		1055764: "the fake store delivered the answer to a killed daemon's call to the daemon's next incarnation",
	} {
		if outcome := Schedule(seed, ProtocolDefects{}); len(outcome.Violations) > 0 {
			t.Errorf("seed %d (%s): %v", seed, fault, outcome.Violations)
		}
	}
}

// A seed must always give the same run, so that a failure can be reproduced.
func TestScheduleIsDeterministic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if first, again := Schedule(seed, ProtocolDefects{}), Schedule(seed, ProtocolDefects{}); !reflect.DeepEqual(first, again) {
			t.Errorf("seed %d: %+v, then %+v", seed, first, again)
		}
	}
}
