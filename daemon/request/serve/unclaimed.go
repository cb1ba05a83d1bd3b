package serve

import (
	"net/http"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// transientReasons are the reasons that do not depend on the request itself. The same
// request may have been admitted earlier, or may be admitted later.
var transientReasons = map[request.Reason]bool{
	request.ReasonNotReady:         true,
	request.ReasonAccountQueueFull: true,
	request.ReasonQueueFull:        true,
	request.ReasonDeadline:         true,
	request.ReasonNoUpstream:       true,
	request.ReasonCallerGone:       true,
}

// refusalBeforeClaim corrects a refusal given before the ledger was asked about the
// request's idempotency key. This request was not executed, but an earlier one with the
// same key may have been, so the execution is unknown.
func refusalBeforeClaim(r *http.Request, refusal *request.Refusal) *request.Refusal {
	_, hasKey := r.Header[HeaderIdempotencyKey]
	if !hasKey || !transientReasons[refusal.Reason] || refusal.Execution != request.NotExecuted {
		return refusal
	}
	unknown := *refusal
	unknown.Execution = request.ExecutionUnknown
	unknown.Detail += "; an earlier call with this idempotency key may have run: ask again with the same key"
	return &unknown
}
