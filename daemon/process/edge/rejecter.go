package edge

import (
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// rejectionRetryAfter are the Retry-After times of rejected connections, used in rotation.
// They are short, because another process of the data centre can serve the retry.
var rejectionRetryAfter = []time.Duration{
	20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond,
}

// newRejecter returns the rejecter for connections that are not admitted, of which at most maxWaiting
// wait; 0 is turnaway.DefaultMaxWaiting.
func newRejecter(maxWaiting int) *turnaway.Rejecter {
	return turnaway.New(turnaway.Options{
		Body: serve.RefusalBody(&request.Refusal{
			Reason: request.ReasonQueueFull, Execution: request.NotExecuted, Detail: "this router is behind with its work",
		}),
		RetryAfter: rejectionRetryAfter,
		MaxWaiting: maxWaiting,
	})
}
