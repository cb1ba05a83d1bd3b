package lag

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A VM that was over a second behind took itself to be on time: its timers were, because
// what they wake runs before all that waits (FAIR and GONE on the grown sites).
func TestALongQueueOfGoroutinesIsLag(t *testing.T) {
	const (
		goroutines = 200
		step       = 50 * time.Microsecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var monitor Monitor
	running.Go(func() { _ = monitor.Run(ctx, func(time.Duration) {}) })
	var passes, waited atomic.Int64
	for range goroutines {
		running.Go(func() {
			for ctx.Err() == nil {
				for began := time.Now(); time.Since(began) < step; {
				}
				began := time.Now()
				runtime.Gosched()
				passes.Add(1)
				waited.Add(int64(time.Since(began)))
			}
		})
	}
	for passes.Load() < 40*goroutines {
		time.Sleep(interval)
	}
	mean := time.Duration(waited.Load() / passes.Load())
	if lag := monitor.Lag(); lag < mean/4 {
		t.Errorf("lag of %v, goroutines waited for %v", lag, mean)
	}
}
