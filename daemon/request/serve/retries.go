package serve

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
)

// retries is the daemon's retry budget. It is safe for concurrent use.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetries() *retries { return &retries{budget: retry.NewBudget()} }

// success pays for a share of a retry.
func (r *retries) success() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

// take reports whether a retry may be made.
func (r *retries) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

// pause returns the wait before attempt number next.
func (r *retries) pause(next int) time.Duration {
	return retry.Backoff(next, rand.Float64())
}
