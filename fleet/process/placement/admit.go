package placement

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is told to
	// come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// The predicted beginning may fill a part of the objective that depends on what
// the request's account has had of its share. Accounts at their share stop
// first, so that an engine's queue has room for those below.
const (
	// freshFill is for an account that had nothing. What is left of the
	// objective absorbs what the prediction misses.
	freshFill = 0.9
	// shareFill is for an account that had its share.
	shareFill = 0.6
	// minFill is for an account that had twice its share or more: it is served
	// as long as nobody has to wait.
	minFill = 0.35
	// awayFill is the factor for an engine that keeps nothing of the prompt's
	// shared parts: reading them there takes time that others need, so the
	// engine has to have it to spare.
	awayFill = 0.6
)

// beginLimit returns the latest beginning with which a request is admitted.
func beginLimit(ticket request.Ticket, c candidate, used float64) time.Duration {
	if ticket.Objective <= 0 || c.pool.Engine == nil {
		return math.MaxInt64
	}
	fill := freshFill - (freshFill-shareFill)*used
	if used > 1 {
		fill = max(shareFill-(shareFill-minFill)*(used-1), minFill)
	}
	fill *= awayFill + (1-awayFill)*c.keptShare
	return time.Duration(fill * float64(ticket.Objective))
}

// admit refuses a request that cannot be served in time even at the best
// upstream, or whose account has had its share while others wait.
func (p *Placer) admit(ticket request.Ticket, best candidate, used float64) *request.Refusal {
	switch {
	case best.full:
		return overloaded(request.ReasonQueueFull, best.begin)
	case ticket.Wait > 0 && best.begin > ticket.Wait:
		return overloaded(request.ReasonQueueFull, best.begin-ticket.Wait)
	case best.begin <= best.limit:
		return nil
	case used > 1:
		return overloaded(request.ReasonAccountQueueFull, best.begin-best.limit)
	}
	return overloaded(request.ReasonQueueFull, best.begin-best.limit)
}

// overloaded refuses a request until the work that is ahead of it is done.
func overloaded(reason request.Reason, excess time.Duration) *request.Refusal {
	return &request.Refusal{
		Reason:     reason,
		Execution:  request.NotRun,
		RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter),
	}
}
