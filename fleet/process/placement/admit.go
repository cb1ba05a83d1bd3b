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
	// minFill is for an account that had excess times its share or more: it is
	// served as long as nobody has to wait.
	minFill = 0.2
	excess  = 1.1
	// behindPart is the part of what the best served account got below which an account
	// counts as behind: it is admitted up to shareFill, though it has had its share.
	// The level is low where accounts below it get less than they ask for, and those
	// above it share what that leaves.
	behindPart = 0.8
	// idleFill is the part that the wait for other prompts may fill, where the engine
	// keeps the shared parts, for an account above its share: nobody waits there.
	idleFill = 0.05
	// awayFill is the factor for an engine that keeps nothing of the prompt's
	// shared parts: reading them there takes time that others need, so the
	// engine has to have it to spare.
	awayFill = 0.6
)

// beginLimit returns the latest beginning with which a request is admitted. slack is that
// of a long prompt; 0 for others.
func beginLimit(ticket request.Ticket, c candidate, had standing, slack float64) time.Duration {
	if ticket.Objective <= 0 || c.pool.Engine == nil {
		return math.MaxInt64
	}
	used := had.used
	fill := freshFill - (freshFill-shareFill)*used
	switch {
	case ticket.Attempt > 1:
		// The request was admitted before. If it may have run, no refusal could
		// tell its caller to come back.
		fill = freshFill
	case used > 1:
		behind := max(1-had.ofBest/behindPart, 0)
		fill = max(shareFill-(shareFill-minFill)*(used-1)/(excess-1), minFill+(shareFill-minFill)*behind)
	}
	fill *= awayFill + (1-awayFill)*c.keptShare
	limit := part(fill, ticket.Objective)
	if used <= 1 && slack > 0 {
		limit = max(limit, c.least+part(slack, ticket.Objective))
	}
	if used > 1 && c.keptShare == 1 {
		limit = max(limit, c.begin-c.wait+part(idleFill, ticket.Objective))
	}
	return limit
}

// part returns a part of a time.
func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

// admit refuses a request that cannot be served in time even at the best
// upstream, or whose account has had its share while others wait.
func (p *Placer) admit(ticket request.Ticket, best candidate, used float64) *request.Refusal {
	refusal := &request.Refusal{
		Reason:    request.ReasonQueueFull,
		Execution: request.NotRun,
		Predicted: best.begin,
		Limit:     best.limit,
		ShareUsed: used,
	}
	switch {
	case best.full:
		refusal.Detail = "every upstream is full"
		refusal.RetryAfter = retryAfter(best.begin)
	case ticket.Wait > 0 && best.begin > ticket.Wait:
		refusal.Detail = "no answer would begin before the deadline"
		refusal.RetryAfter = retryAfter(best.begin - ticket.Wait)
	case best.begin <= best.limit:
		return nil
	default:
		refusal.Detail = "too much work is waiting"
		refusal.RetryAfter = retryAfter(best.begin - best.limit)
		if used > 1 {
			refusal.Reason = request.ReasonAccountQueueFull
			refusal.Detail = "the account has had its share while others wait"
		}
	}
	return refusal
}

// retryAfter returns when a refused caller may come back: when the work that was
// too much is done.
func retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, minRetryAfter), maxRetryAfter)
}
