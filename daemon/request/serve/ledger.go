package serve

import (
	"context"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// Ledger decides whether a request with an idempotency key may run. Its
// methods are safe for concurrent use.
//
// Each Claim whose verdict is Run is followed by exactly one Record or
// Release.
type Ledger interface {
	// Claim waits until the claim is recorded, refused or ctx ends. It is
	// called after the grant and before the first byte goes to an upstream.
	Claim(ctx context.Context, c claim.Claim) claim.Verdict
	// Record stores how a claimed attempt ended; a nil answer is an attempt
	// that was sent and whose outcome is unknown. It does not wait.
	Record(c claim.Claim, answer *claim.Answer)
	// Release tells that a claimed attempt provably did not run. It does not
	// wait.
	Release(c claim.Claim)
}
