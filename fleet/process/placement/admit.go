package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is told to
	// come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// easyShare is the part of the objective up to which the predicted beginning
	// leaves room for everybody.
	easyShare = 0.4
	// shareAtEasy is how many times its share an account may have got while the
	// prediction is at easyShare; at objectiveShare it is 1.
	shareAtEasy = 2.0
	// lowShare is the part of its share below which an account may use the
	// objective to its end.
	lowShare = 0.6
)

// admit refuses a request that cannot be served in time even at the best
// upstream, or whose account has had its share while others wait.
func (p *Placer) admit(now time.Time, ticket request.Ticket, best candidate) *request.Refusal {
	if best.full {
		return overloaded(request.ReasonQueueFull, best.begin)
	}
	if ticket.Wait > 0 && best.begin > ticket.Wait {
		return overloaded(request.ReasonQueueFull, best.begin-ticket.Wait)
	}
	if ticket.Objective <= 0 || best.pool.Engine == nil {
		return nil
	}
	filled := float64(best.begin) / float64(ticket.Objective)
	if filled <= easyShare {
		return nil
	}
	used := p.accounts.shareUsed(now, ticket.Account)
	excess := best.begin - time.Duration(objectiveShare*float64(ticket.Objective))
	switch {
	case filled > 1, filled > objectiveShare && used > lowShare:
		return overloaded(request.ReasonQueueFull, excess)
	case used > allowedShare(filled):
		return overloaded(request.ReasonAccountQueueFull, excess)
	}
	return nil
}

// allowedShare is how much of its share an account may have had, by the part of
// the objective that the prediction fills.
func allowedShare(filled float64) float64 {
	rest := (objectiveShare - filled) / (objectiveShare - easyShare)
	return 1 + (shareAtEasy-1)*max(rest, 0)
}

// overloaded refuses a request until the work that is ahead of it is done.
func overloaded(reason request.Reason, excess time.Duration) *request.Refusal {
	return &request.Refusal{
		Reason:     reason,
		Execution:  request.NotRun,
		RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter),
	}
}
