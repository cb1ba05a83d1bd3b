package objectstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

// Retry paces the attempts of one call: exponential backoff with full jitter.
type Retry struct {
	// Attempts bounds the attempts of one call, the first included. A watch
	// has no such bound.
	Attempts int
	// Min is the longest first pause; it doubles up to Max.
	Min time.Duration
	Max time.Duration
}

// rateWindow is the span over which the store counts calls.
const rateWindow = time.Second

// DefaultRetry is used where Options give no Retry.
var DefaultRetry = Retry{Attempts: 4, Min: 100 * time.Millisecond, Max: 5 * time.Second}

// pauses yields the pauses between the attempts of one call.
type pauses struct {
	longest time.Duration
	max     time.Duration
}

func (r Retry) pauses() *pauses { return &pauses{longest: r.Min, max: r.Max} }

// after returns the pause after an attempt that ended with err.
func (p *pauses) after(err error) time.Duration {
	pause := rand.N(p.longest + 1)
	p.longest = min(2*p.longest, p.max)
	if errors.Is(err, ErrRateLimited) {
		pause += rateWindow
	}
	return pause
}

// do calls attempt until it succeeds, fails in a way that may not be repeated,
// or the attempts or ctx are used up. It returns the last attempt's error.
func (r Retry) do(ctx context.Context, repeatable func(error) bool, attempt func() error) error {
	pauses := r.pauses()
	for n := 1; ; n++ {
		err := attempt()
		if err == nil || !repeatable(err) || n >= r.Attempts {
			return err
		}
		if wait.Sleep(ctx, pauses.after(err)) != nil {
			return err
		}
	}
}

// transient reports whether a read may be repeated after err.
func transient(err error) bool { return errors.IsAny(err, ErrUnavailable, ErrRateLimited) }

// withoutEffect reports whether a write may be repeated after err.
func withoutEffect(err error) bool { return errors.IsAny(err, ErrRateLimited, errNoEffect) }
