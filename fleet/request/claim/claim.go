// Package claim holds the types of the ledger of non-idempotent requests. A claim must
// be recorded in the platform's store before the first byte of an attempt is sent to an
// upstream, and it never passes to another attempt.
package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Key is a caller's idempotency key, a UUIDv7, which contains its time of creation.
type Key uuid.UUID

// Digest is the SHA-256 of a request's method, path and body.
type Digest [32]byte

// Claim requests permission to run one attempt of a non-idempotent request.
type Claim struct {
	Account version.AccountID
	Key     Key
	// Request identifies the request's content. The same key with different content is
	// refused.
	Request Digest
	// Attempt identifies this attempt across the whole fleet and is never reused.
	Attempt uuid.UUID
}

// Answer is the recorded outcome of a claimed attempt.
type Answer struct {
	Status      int
	ContentType string
	// Body is the complete answer, or nil if it exceeded the size up to which bodies
	// are recorded.
	Body []byte
	// BodyDigest is the SHA-256 of the complete answer.
	BodyDigest Digest
}

// Permit permits a claimed attempt to be sent once.
type Permit struct {
	// Deadline is when the permit expires, by the local clock. A daemon that was
	// suspended past it must not send the attempt.
	Deadline time.Time
}

// Verdict is the ledger's decision on a claim. Exactly one field is set.
type Verdict struct {
	Run     *Permit
	Replay  *Answer
	Refusal *request.Refusal
}
