// Package lag measures how far a process is behind with its work, from how late
// its timers fire.
package lag

import (
	"context"
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
)

// Monitor measures the lag. It is safe for concurrent use.
type Monitor struct{ lag atomic.Int64 }

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		began := time.Now()
		if err := wait.Sleep(ctx, interval); err != nil {
			return err
		}
		late := time.Since(began) - interval
		m.lag.Store(int64(max(late, time.Duration(memory*float64(m.lag.Load())))))
	}
}

// Lag returns how late the process is.
func (m *Monitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }
