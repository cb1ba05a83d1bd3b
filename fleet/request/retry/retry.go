// Package retry bounds how often a router tries a request again.
package retry

import "time"

const (
	// SuccessShare is the retries that one success pays for.
	SuccessShare = 0.1
	// MaxSaved bounds the retries that successes can save up. A Budget
	// starts with as many.
	MaxSaved = 10
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
	// backoffBase and backoffMax bound the pause before a retry.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Budget lets retries be a share of the successes, so that retries cannot
// multiply the load on failing upstreams. It is not safe for concurrent use.
//
// Invariant: between any two moments, the retries are at most MaxSaved plus
// SuccessShare of the successes in between.
type Budget struct{ saved float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{saved: MaxSaved} }

// Success pays for a share of a retry.
func (b *Budget) Success() { b.saved = min(b.saved+SuccessShare, MaxSaved) }

// Take reports whether a retry is paid for, and spends it.
func (b *Budget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Backoff returns the pause before attempt number next, with full jitter:
// uniform is a random number in [0, 1).
func Backoff(next int, uniform float64) time.Duration {
	ceiling := backoffMax
	if doublings := next - 2; doublings < 6 {
		ceiling = min(backoffBase<<max(doublings, 0), backoffMax)
	}
	return time.Duration(uniform * float64(ceiling))
}
