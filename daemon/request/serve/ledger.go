package serve

import (
	"context"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// Ledger decides whether a request with an idempotency key may be executed. Its methods are
// safe for concurrent use.
//
// Each Claim whose verdict is Run is followed by exactly one Record or Release.
type Ledger interface {
	// Claim waits until the claim is recorded or refused, or until ctx ends. It is called
	// after the grant and before the first byte is sent to an upstream.
	Claim(ctx context.Context, c claim.Claim) claim.Verdict
	// Record stores the outcome of a claimed attempt. A nil answer means that the attempt
	// was sent and its outcome is unknown. It does not block.
	Record(c claim.Claim, answer *claim.Answer)
	// Release frees the claim of an attempt that was certainly not executed. It does not
	// block.
	Release(c claim.Claim)
}
