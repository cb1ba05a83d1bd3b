// Package retry limits how often a router retries requests.
package retry

import "time"

const (
	// RetriesPerSuccess is the fraction of a retry that one success adds to a Budget.
	RetriesPerSuccess = 0.1
	// MaxBalance is the largest number of retries that a Budget accumulates. A new
	// Budget starts with it.
	MaxBalance = 10
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
	// minBackoffCeiling is the upper bound of the backoff before the first retry. It
	// doubles with each further retry up to maxBackoff.
	minBackoffCeiling = 20 * time.Millisecond
	maxBackoff        = time.Second
)

// Budget limits retries to a fraction of the successes, so that retries cannot multiply
// the load on failing upstreams. It is not safe for concurrent use.
//
// Invariant: between any two points in time, the number of retries is at most
// MaxBalance plus RetriesPerSuccess times the number of successes in between.
type Budget struct{ balance float64 }

// NewBudget returns a budget of MaxBalance retries.
func NewBudget() *Budget { return &Budget{balance: MaxBalance} }

// Success adds RetriesPerSuccess to the budget.
func (b *Budget) Success() { b.balance = min(b.balance+RetriesPerSuccess, MaxBalance) }

// Take reports whether the budget allows a retry, and deducts it.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff returns the delay before the given attempt number, with exponential growth
// and full jitter: uniform is a random number in [0, 1).
func Backoff(attempt int, uniform float64) time.Duration {
	ceiling := maxBackoff
	if doublings := attempt - 2; doublings < 6 {
		ceiling = min(minBackoffCeiling<<max(doublings, 0), maxBackoff)
	}
	return time.Duration(uniform * float64(ceiling))
}
