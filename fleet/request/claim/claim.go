// Package claim holds the types of the ledger of non-idempotent requests: a
// claim must be recorded in the platform's store before the first byte of an
// attempt goes to an upstream, and it never passes to another attempt.
package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Key is a caller's idempotency key, a UUIDv7. It carries its own time.
type Key uuid.UUID

// Digest is the SHA-256 of a request's method, path and body.
type Digest [32]byte

// Claim asks to run one attempt of a non-idempotent request.
type Claim struct {
	Account version.AccountID
	Key     Key
	// Request identifies the request's content. The same key with other
	// content is refused.
	Request Digest
	// Attempt identifies this attempt in the whole fleet, for ever.
	Attempt uuid.UUID
}

// Answer is the recorded outcome of a claimed attempt.
type Answer struct {
	Status      int
	ContentType string
	// Body is the whole answer, or nil if it was over the size that is kept.
	Body []byte
	// BodyDigest is the SHA-256 of the whole answer.
	BodyDigest Digest
}

// Permit lets a claimed attempt be sent, once.
type Permit struct {
	// Deadline ends the permit by the local clock. A daemon that was paused
	// past it must not send.
	Deadline time.Time
}

// Verdict is the ledger's decision. Exactly one field is set.
type Verdict struct {
	Run     *Permit
	Replay  *Answer
	Refusal *request.Refusal
}
