package measure_test

import (
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// projectedDaemons is the fleet size that the design must support.
const projectedDaemons = 340

// BenchmarkControlAtTheComingSize runs a fleet of projectedDaemons, which takes
// minutes, and fails if the mean control traffic of a daemon exceeds its budget.
func BenchmarkControlAtTheComingSize(b *testing.B) {
	for range b.N {
		result, err := measure.Run(measure.GrowingScenarios([]int{projectedDaemons}, ciSeed)[0])
		if err != nil {
			b.Fatal(err)
		}
		standing, requests := result.Traffic.StandingMean, result.Traffic.RequestMean
		b.ReportMetric(standing, "standing-B/s")
		b.ReportMetric(requests, "request-B/s")
		if total := standing + requests; total > maxControlBytesPerSecond {
			b.Errorf("mean control traffic of a daemon is %.0f B/s, budget is %d B/s", total, maxControlBytesPerSecond)
		}
	}
}
