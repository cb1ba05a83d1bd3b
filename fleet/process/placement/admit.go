package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is told to
	// come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// admit refuses a request that cannot be served in time even at the best
// upstream.
func (p *Placer) admit(now time.Time, ticket request.Ticket, best candidate) *request.Refusal {
	if best.full {
		return overloaded(best.begin)
	}
	if ticket.Wait > 0 && best.begin > ticket.Wait {
		return overloaded(best.begin - ticket.Wait)
	}
	if ticket.Objective <= 0 {
		return nil
	}
	limit := time.Duration(objectiveShare * float64(ticket.Objective))
	if best.begin > limit {
		return overloaded(best.begin - limit)
	}
	return nil
}

// overloaded refuses a request until the work that is ahead of it is done.
func overloaded(excess time.Duration) *request.Refusal {
	return &request.Refusal{
		Reason:     request.ReasonQueueFull,
		Execution:  request.NotRun,
		RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter),
	}
}

// accounts counts what client accounts got.
type accounts struct {
	served map[version.AccountID]float64
}

func newAccounts() *accounts { return &accounts{served: make(map[version.AccountID]float64)} }

func (a *accounts) charge(_ time.Time, account version.AccountID, cost float64) {
	a.served[account] += cost
}
