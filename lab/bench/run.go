package bench

import (
	"context"
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// Options are the settings of a run of the benchmark.
type Options struct {
	Seed uint64
	// Daemons are the fleet sizes at which the growth of the control traffic is
	// measured.
	Daemons []int
}

// DefaultDaemons are the fleet sizes of a full run, in daemons.
var DefaultDaemons = []int{6, 12, 28, 60, 120, 340}

// Run runs every scenario and returns the results in the order of Scenarios. It
// runs as many scenarios at a time as half of the processors.
func Run(ctx context.Context, options Options) ([]measure.Result, error) {
	scenarios := Scenarios(options)
	results := make([]measure.Result, len(scenarios))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()/2, 1))
	for i, scenario := range scenarios {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			result, err := measure.Run(scenario)
			results[i] = result
			return errors.Wrapf(err, "run scenario %q of deployment %q", scenario.Name, scenario.Deployment.Name)
		})
	}
	return results, group.Wait()
}

// Scenarios returns the scenarios of a run.
func Scenarios(options Options) []measure.Scenario {
	scenarios := measure.StandardScenarios(measure.Queensland, options.Seed)
	scenarios = append(scenarios, measure.StandardScenarios(measure.Sialkot, options.Seed)...)
	return append(scenarios, measure.GrowingScenarios(options.Daemons, options.Seed)...)
}
