package measure_test

import (
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// comingDaemons is the size that decides the design.
const comingDaemons = 340

// BenchmarkControlAtTheComingSize runs 340 daemons once, for minutes, and fails
// if a daemon's control traffic is over its budget on average.
func BenchmarkControlAtTheComingSize(b *testing.B) {
	for range b.N {
		result, err := measure.Run(measure.Growing([]int{comingDaemons}, ciSeed)[0])
		if err != nil {
			b.Fatal(err)
		}
		standing, requests := result.Traffic.StandingMean, result.Traffic.RequestMean
		b.ReportMetric(standing, "standing-B/s")
		b.ReportMetric(requests, "request-B/s")
		if total := standing + requests; total > controlBytes {
			b.Errorf("%.0f bytes of control a second and daemon, %d allowed", total, controlBytes)
		}
	}
}
