package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/valve"
)

// intake decides what the process takes in. It is safe for concurrent use.
type intake struct {
	log *slog.Logger

	mu    sync.Mutex
	valve *valve.Valve
	// refused and turnedAway count requests and connections that were not taken in.
	refused, turnedAway uint64
	// promised is set if the next connection is to be taken.
	promised bool
	// behind is when the process began to take in less; zero while it takes in all.
	behind time.Time
	// longest and least are the longest lag and the least part since then, and before
	// the counts of then.
	longest       time.Duration
	least         float64
	refusedBefore uint64
	turnedBefore  uint64
}

// newIntake returns an intake with the lag beyond which less is taken in; 0 is
// valve.DefaultLimit.
func newIntake(limit time.Duration, log *slog.Logger) *intake {
	return &intake{valve: valve.New(limit), log: log}
}

// takesConnection reports whether to take a new connection, with its first request.
func (i *intake) takesConnection() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	promised := i.promised
	i.promised = false
	return promised || i.valve.Admit()
}

// takesNext decides about the next connection before it is accepted. After a true,
// takesConnection says the same.
func (i *intake) takesNext() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.promised = i.valve.Admit()
	return i.promised
}

// countTurnedAway counts a connection that was not taken in.
func (i *intake) countTurnedAway() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.turnedAway++
}

// takesRequest reports whether to read a further request on a connection.
func (i *intake) takesRequest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.valve.Admit() {
		return true
	}
	i.refused++
	return false
}

// connectionsTurnedAway returns how many connections were not taken in.
func (i *intake) connectionsTurnedAway() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.turnedAway
}

// measured takes the lag of the last interval.
func (i *intake) measured(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.valve.Tick(lag)
	part := i.valve.Part()
	switch {
	case part < 1 && i.behind.IsZero():
		i.behind, i.longest, i.least = time.Now(), lag, part
		i.refusedBefore, i.turnedBefore = i.refused, i.turnedAway
		i.log.Warn("behind with its work, takes in less", "lag_ms", lag.Milliseconds(),
			"limit_ms", i.valve.Limit().Milliseconds())
	case part < 1:
		i.longest, i.least = max(i.longest, lag), min(i.least, part)
	case !i.behind.IsZero():
		i.log.Info("has caught up", "after_ms", time.Since(i.behind).Milliseconds(),
			"longest_lag_ms", i.longest.Milliseconds(), "least_part", i.least,
			"refused", i.refused-i.refusedBefore, "turned_away", i.turnedAway-i.turnedBefore)
		i.behind = time.Time{}
	}
}
