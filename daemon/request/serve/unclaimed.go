package serve

import (
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// passing are the reasons that say nothing of the request itself: the same
// request may be admitted at another time, or may have been.
var passing = map[request.Reason]bool{
	request.ReasonNotReady:         true,
	request.ReasonAccountQueueFull: true,
	request.ReasonQueueFull:        true,
	request.ReasonDeadline:         true,
	request.ReasonNoUpstream:       true,
	request.ReasonCallerGone:       true,
}

// unclaimed makes a refusal true of a request with an idempotency key that the
// ledger was not asked about: this call has not run, but an earlier one with
// the same key may have.
func unclaimed(r *http.Request, refusal *request.Refusal) *request.Refusal {
	_, keyed := r.Header[HeaderIdempotencyKey]
	if !keyed || !passing[refusal.Reason] || refusal.Execution != request.NotRun {
		return refusal
	}
	unknown := *refusal
	unknown.Execution = request.Unknown
	unknown.Detail += "; an earlier call with this idempotency key may have run: ask again with the same key"
	return &unknown
}
