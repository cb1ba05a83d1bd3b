// Package lag measures the scheduling lag of a process: how late its timers fire, and
// how long its runnable goroutines wait for a processor.
//
// Timer lateness alone is not enough: the scheduler runs a goroutine that a timer has
// woken ahead of the run queue, so timers are on time even if the run queue is long.
package lag

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// measureInterval is the time between two measurements.
	measureInterval = 15 * time.Millisecond
	// decayFactor is the fraction of the last lag below which the next one cannot fall,
	// so that a short pause between two bursts does not hide the lag.
	decayFactor = 0.75
	// waitQuantile is the quantile of the waits for a processor that is taken as the
	// lag: requests notice the long waits, not the mean.
	waitQuantile = 0.9
	// schedLatenciesMetric is the runtime's histogram of the time that goroutines spend
	// runnable before they run, in seconds.
	schedLatenciesMetric = "/sched/latencies:seconds"
)

// Monitor measures the scheduling lag of the process. It is safe for concurrent use.
type Monitor struct{ lag atomic.Int64 }

// Run measures the lag until ctx ends, calls measured with each new value and returns
// the error of ctx.
func (m *Monitor) Run(ctx context.Context, measured func(lag time.Duration)) error {
	var waits processorWaits
	waits.next()
	for {
		start := time.Now()
		if err := wait.Sleep(ctx, measureInterval); err != nil {
			return err
		}
		current := max(time.Since(start)-measureInterval, waits.next())
		lag := max(current, time.Duration(decayFactor*float64(m.lag.Load())))
		m.lag.Store(int64(lag))
		measured(lag)
	}
}

// Lag returns the latest scheduling lag; 0 before the first measurement.
func (m *Monitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// processorWaits reads the runtime's histogram of waits for a processor.
type processorWaits struct {
	sample [1]metrics.Sample
	// lastCounts are the bucket counts at the last call of next.
	lastCounts []uint64
}

// next returns the waitQuantile of the waits since the last call; 0 if there were none.
func (w *processorWaits) next() time.Duration {
	w.sample[0].Name = schedLatenciesMetric
	metrics.Read(w.sample[:])
	histogram := w.sample[0].Value.Float64Histogram()
	if w.lastCounts == nil {
		w.lastCounts = make([]uint64, len(histogram.Counts))
	}
	total := uint64(0)
	for i, count := range histogram.Counts {
		total += count - w.lastCounts[i]
	}
	// longer is the number of waits above the quantile that are still to be skipped,
	// from the bucket of the longest waits downwards.
	longer, quantileBucket := uint64(float64(total)*(1-waitQuantile)), -1
	for i := len(histogram.Counts) - 1; i >= 0; i-- {
		added := histogram.Counts[i] - w.lastCounts[i]
		w.lastCounts[i] = histogram.Counts[i]
		if quantileBucket < 0 && added > longer {
			quantileBucket = i
		}
		longer -= min(added, longer)
	}
	if quantileBucket < 0 {
		return 0
	}
	// The lower bound of the bucket; the first bucket's is negative infinity.
	return time.Duration(max(histogram.Buckets[quantileBucket], 0) * float64(time.Second))
}
