package edge

import (
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// turnedAwayReturns are when callers that are turned away may come back, in turn. Another
// process of the data centre serves them as soon as they do.
var turnedAwayReturns = []time.Duration{
	20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond,
}

// newDesk returns the desk for connections that are not taken in.
func newDesk() *turnaway.Desk {
	return turnaway.New(turnaway.Options{
		Body: serve.RefusalBody(&request.Refusal{
			Reason: request.ReasonQueueFull, Execution: request.NotRun, Detail: "this router is behind with its work",
		}),
		RetryAfter: turnedAwayReturns,
	})
}
