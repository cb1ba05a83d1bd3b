package placement

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After that a refused caller gets.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// The predicted TTFB may take a fraction of the objective that depends on how much of its fair
// share the account has used. Accounts at their share are refused first, so that the queue of
// an engine keeps capacity for accounts below their share.
const (
	// unusedShareFraction applies to an account that has used nothing of its share. The rest
	// of the objective absorbs errors of the prediction.
	unusedShareFraction = 0.9
	// fullShareFraction applies to an account that has used exactly its share.
	fullShareFraction = 0.6
	// overShareFraction applies to an account that has used maxOverShare times its share or
	// more: it is served as long as no request has to wait.
	overShareFraction = 0.2
	maxOverShare      = 1.1
	// behindFraction is the fraction of the highest usage of any account below which an
	// account counts as behind: it is admitted with up to fullShareFraction, even if it has
	// used its share. The fair share is low where accounts below it get less than they
	// request; the accounts above it share the capacity that this leaves.
	behindFraction = 0.8
	// idleQueueFraction is the fraction of the objective that queueing may take for an account
	// above its share, where the engine has cached all shared segments: with so short a queue
	// no other request waits there.
	idleQueueFraction = 0.05
	// uncachedFactor scales the fraction for an engine that has cached none of the prompt's
	// shared segments: to prefill them there takes time that other requests need, so the
	// engine must have it to spare.
	uncachedFactor = 0.6
)

// unlimitedTTFB is the limit on the TTFB of requests without an objective.
const unlimitedTTFB time.Duration = math.MaxInt64

// ttfbLimit returns the highest predicted TTFB with which a request is admitted at a
// candidate. slack is the slack of a long prompt, as a fraction of the objective; 0 for other
// prompts.
func ttfbLimit(ticket request.Ticket, c candidate, usage relativeUsage, slack float64) time.Duration {
	if ticket.TTFBObjective <= 0 || c.pool.Engine == nil {
		return unlimitedTTFB
	}
	shareUsed := usage.shareUsed
	fraction := unusedShareFraction - (unusedShareFraction-fullShareFraction)*shareUsed
	switch {
	case ticket.Attempt > 1:
		// The request was admitted before. If it may have been executed, a refusal could not
		// ask its caller to retry.
		fraction = unusedShareFraction
	case shareUsed > 1:
		behind := max(1-usage.ofHighest/behindFraction, 0)
		fraction = max(
			fullShareFraction-(fullShareFraction-overShareFraction)*(shareUsed-1)/(maxOverShare-1),
			overShareFraction+(fullShareFraction-overShareFraction)*behind,
		)
	}
	fraction *= uncachedFactor + (1-uncachedFactor)*c.cachedFraction
	limit := fractionOf(fraction, ticket.TTFBObjective)
	if shareUsed <= 1 && slack > 0 {
		limit = max(limit, c.minTTFB+fractionOf(slack, ticket.TTFBObjective))
	}
	if shareUsed > 1 && c.cachedFraction == 1 {
		limit = max(limit, c.ttfb-c.queueTime+fractionOf(idleQueueFraction, ticket.TTFBObjective))
	}
	return limit
}

// fractionOf returns a fraction of a duration.
func fractionOf(fraction float64, total time.Duration) time.Duration {
	return time.Duration(fraction * float64(total))
}

// admit refuses a request that cannot be answered in time even at the best upstream, or whose
// account has used its share while others wait. It returns nil if the request is admitted.
func (p *Placer) admit(ticket request.Ticket, best candidate, usage relativeUsage) *request.Refusal {
	refusal := &request.Refusal{
		Reason:        request.ReasonQueueFull,
		Execution:     request.NotExecuted,
		PredictedTTFB: best.ttfb,
		TTFBLimit:     best.ttfbLimit,
		ShareUsed:     usage.shareUsed,
	}
	switch {
	case best.atCapacity:
		refusal.Detail = "every upstream is full"
		refusal.RetryAfter = retryAfter(best.ttfb)
	case ticket.Wait > 0 && best.ttfb > ticket.Wait:
		refusal.Detail = "no answer would begin before the deadline"
		refusal.RetryAfter = retryAfter(best.ttfb - ticket.Wait)
	case best.ttfb <= best.ttfbLimit && !holdsBack(ticket, best, usage):
		return nil
	case best.ttfb <= best.ttfbLimit:
		refusal.Reason = request.ReasonAccountQueueFull
		refusal.Detail = "the account is ahead of others that wait"
		refusal.RetryAfter = holdRetryAfter
	default:
		refusal.Detail = "too much work is waiting"
		refusal.RetryAfter = retryAfter(best.ttfb - best.ttfbLimit)
		if usage.shareUsed > 1 {
			refusal.Reason = request.ReasonAccountQueueFull
			refusal.Detail = "the account has had its share while others wait"
		}
	}
	return refusal
}

// holdRetryAfter is when a caller may come back whose account is held for others that wait.
const holdRetryAfter = time.Second

// holdsBack reports whether a request that could be answered in time is refused because its account is
// held for others that wait.
func holdsBack(ticket request.Ticket, best candidate, usage relativeUsage) bool {
	return usage.held && ticket.Attempt <= 1 && ticket.TTFBObjective > 0 && best.pool.Engine != nil
}

// retryAfter returns when a refused caller may come back: once the excess work is done, within
// minRetryAfter and maxRetryAfter.
func retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, minRetryAfter), maxRetryAfter)
}
