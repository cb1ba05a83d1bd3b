// Command ledgercheck runs the ledger of non-idempotent requests in virtual
// time: either many seeded fault schedules, which it checks, or streams of claims
// at several rates, whose costs it prints.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/ledgercheck"
)

// exitFailed is the exit code of a run with violations or a bad command line.
const exitFailed = 1

// errViolated is returned if a schedule violated a guarantee of the ledger.
var errViolated = errors.New("violations")

// schedules is the command that runs and checks fault schedules.
type schedules struct {
	First uint64 `long:"first" default:"1" description:"seed of the first schedule"`
	Count int    `long:"count" default:"100000" description:"number of schedules"`
}

// Execute implements flags.Commander.
func (s *schedules) Execute([]string) error {
	report := ledgercheck.RunSchedules(s.First, s.Count, ledgercheck.ProtocolDefects{})
	fmt.Printf("%d schedules, %d calls, %d executions\n", report.Schedules, report.Calls, report.Executions)
	ledgercheck.PrintTally(os.Stdout, report.Tally)
	for _, failed := range report.FailedOutcomes {
		fmt.Printf("seed %d: %v\n", failed.Seed, failed.Violations)
	}
	if len(report.FailedOutcomes) > 0 {
		return errors.Wrapf(errViolated, "%d schedules", len(report.FailedOutcomes))
	}
	return nil
}

// slopes is the command that prints the cost of claims at several rates.
type slopes struct{}

// Execute implements flags.Commander.
func (*slopes) Execute([]string) error { return ledgercheck.PrintClaimCosts(os.Stdout) }

func main() {
	var options struct {
		Schedules schedules `command:"schedules" description:"run seeded fault schedules and check them"`
		Slopes    slopes    `command:"slopes" description:"print writes, bytes and waits of claims at several rates"`
	}
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(exitFailed)
	}
}
