// Package lag measures how far a process is behind with its work: how late its timers
// fire, and how long its goroutines wait for a processor.
//
// Timers alone tell little. A goroutine that a timer wakes runs next, before all that
// wait, so in a process with a long queue it is on time.
package lag

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// interval is how often the lag is measured.
	interval = 15 * time.Millisecond
	// memory is the part of the last measure that stays, so that a short pause
	// between two bursts does not hide the lag.
	memory = 0.75
	// waitQuantile is the quantile of the waits for a processor that counts: work that
	// waits longer is what a request notices.
	waitQuantile = 0.9
	// waitsMetric is the runtime's histogram of those waits, in seconds.
	waitsMetric = "/sched/latencies:seconds"
)

// Monitor measures the lag. It is safe for concurrent use.
type Monitor struct{ lag atomic.Int64 }

// Run measures until ctx ends, and tells each measure.
func (m *Monitor) Run(ctx context.Context, measured func(lag time.Duration)) error {
	var waits waits
	waits.next()
	for {
		began := time.Now()
		if err := wait.Sleep(ctx, interval); err != nil {
			return err
		}
		late := max(time.Since(began)-interval, waits.next())
		lag := max(late, time.Duration(memory*float64(m.lag.Load())))
		m.lag.Store(int64(lag))
		measured(lag)
	}
}

// Lag returns how late the process is.
func (m *Monitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// waits reads the runtime's histogram of waits for a processor.
type waits struct {
	sample [1]metrics.Sample
	before []uint64
}

// next returns the waitQuantile of the waits since the last call; 0 if there were none.
func (w *waits) next() time.Duration {
	w.sample[0].Name = waitsMetric
	metrics.Read(w.sample[:])
	histogram := w.sample[0].Value.Float64Histogram()
	if w.before == nil {
		w.before = make([]uint64, len(histogram.Counts))
	}
	total := uint64(0)
	for i, count := range histogram.Counts {
		total += count - w.before[i]
	}
	longer, found := uint64(float64(total)*(1-waitQuantile)), -1
	for i := len(histogram.Counts) - 1; i >= 0; i-- {
		grown := histogram.Counts[i] - w.before[i]
		w.before[i] = histogram.Counts[i]
		if found < 0 && grown > longer {
			found = i
		}
		longer -= min(grown, longer)
	}
	if found < 0 {
		return 0
	}
	// The lower end of the bucket; that of the first one is negative infinity.
	return time.Duration(max(histogram.Buckets[found], 0) * float64(time.Second))
}
