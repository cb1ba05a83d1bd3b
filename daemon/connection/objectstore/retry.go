package objectstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

// Retry bounds the attempts of one call and spaces them by exponential backoff with
// full jitter.
type Retry struct {
	// Attempts is the largest number of attempts of one call, the first included.
	// Watches are not bounded by it.
	Attempts int
	// Min is the upper bound of the first pause. The bound doubles with each
	// attempt, up to Max.
	Min time.Duration
	Max time.Duration
}

// rateWindow is the time window over which the store counts calls for its rate limit.
const rateWindow = time.Second

// DefaultRetry is used where Options.Retry is zero.
var DefaultRetry = Retry{Attempts: 4, Min: 100 * time.Millisecond, Max: 5 * time.Second}

// backoff generates the pauses between the attempts of one call.
type backoff struct {
	// bound is the upper bound of the next pause, and maxBound that of every pause.
	bound    time.Duration
	maxBound time.Duration
}

// backoff returns the backoff of one call, before its first attempt.
func (r Retry) backoff() *backoff { return &backoff{bound: r.Min, maxBound: r.Max} }

// after returns the pause after an attempt that failed with err. After
// ErrRateLimited it is a rateWindow longer.
func (b *backoff) after(err error) time.Duration {
	pause := rand.N(b.bound + 1)
	b.bound = min(2*b.bound, b.maxBound)
	if errors.Is(err, ErrRateLimited) {
		pause += rateWindow
	}
	return pause
}

// do calls attempt until it succeeds or fails with an error for which retryable is
// false, until r.Attempts are made, or until ctx ends. It returns the last attempt's
// error.
func (r Retry) do(ctx context.Context, retryable func(error) bool, attempt func() error) error {
	pauses := r.backoff()
	for n := 1; ; n++ {
		err := attempt()
		if err == nil || !retryable(err) || n >= r.Attempts {
			return err
		}
		if wait.Sleep(ctx, pauses.after(err)) != nil {
			return err
		}
	}
}

// retryableRead reports whether a read may be retried after err.
func retryableRead(err error) bool { return errors.IsAny(err, ErrUnavailable, ErrRateLimited) }

// retryableWrite reports whether a write may be retried after err, because the failed
// attempt had no effect.
func retryableWrite(err error) bool { return errors.IsAny(err, ErrRateLimited, errNoEffect) }
