package serve

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
)

// retryBudget is the daemon's retry budget. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetryBudget() *retryBudget { return &retryBudget{budget: retry.NewBudget()} }

// recordSuccess adds a fraction of a retry to the budget.
func (r *retryBudget) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

// take reports whether a retry may be made and takes it from the budget.
func (r *retryBudget) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

// backoff returns the wait before attempt number next, with jitter.
func (r *retryBudget) backoff(next int) time.Duration {
	return retry.Backoff(next, rand.Float64())
}
