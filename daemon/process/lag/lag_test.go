package lag

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against measuring timer lateness alone. A VM whose goroutines waited for over a
// second measured no lag: its timers fired on time, because the scheduler runs a goroutine
// that a timer has woken ahead of the run queue.
func TestLongRunQueueIsLag(t *testing.T) {
	const (
		goroutines = 200
		busyTime   = 50 * time.Microsecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var monitor Monitor
	running.Go(func() { _ = monitor.Run(ctx, func(time.Duration) {}) })
	var yields, waited atomic.Int64
	for range goroutines {
		running.Go(func() {
			for ctx.Err() == nil {
				for start := time.Now(); time.Since(start) < busyTime; {
				}
				yielded := time.Now()
				runtime.Gosched()
				yields.Add(1)
				waited.Add(int64(time.Since(yielded)))
			}
		})
	}
	for yields.Load() < 40*goroutines {
		time.Sleep(measureInterval)
	}
	meanWait := time.Duration(waited.Load() / yields.Load())
	if lag := monitor.Lag(); lag < meanWait/4 {
		t.Errorf("lag is %v, want at least a quarter of %v, the mean wait of a goroutine", lag, meanWait)
	}
}
