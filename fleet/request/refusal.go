package request

import "time"

// Reason is why a request was refused. Each reason is documented for callers in
// docs/callers.md.
type Reason string

const (
	// ReasonUnauthorised is used for a missing or unknown API key.
	ReasonUnauthorised Reason = "unauthorised"
	// ReasonBadRequest is used for a request that cannot be parsed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonTooLarge is used for a body over the limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonUnknownModel is used for a model that no pool serves.
	ReasonUnknownModel Reason = "unknown-model"
	// ReasonUnknownService is used for a path that no pool serves.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonMethodNotAllowed is used for a method that the path does not accept.
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	// ReasonAccountQueueFull is used for an account that exceeds its share of the
	// queue.
	ReasonAccountQueueFull Reason = "account-queue-full"
	// ReasonQueueFull is used when a queue or ring buffer in the fleet is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline is used for a deadline that passed before the request was
	// executed.
	ReasonDeadline Reason = "deadline"
	// ReasonCallerGone is used when the caller disconnected; nobody reads the refusal.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonNoUpstream is used for a pool without any upstream in service.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonNotReady is used by a daemon without a configuration.
	ReasonNotReady Reason = "not-ready"
	// ReasonUpstreamFailed is used for an upstream that failed after the request was
	// sent to it.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonUpstreamRefused is used for an upstream that refused the request without
	// executing it.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonLedgerUnavailable is used when the ledger could not record a claim.
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	// ReasonBadIdempotencyKey is used for an idempotency key that is malformed, too old
	// or in the future.
	ReasonBadIdempotencyKey Reason = "bad-idempotency-key"
	// ReasonKeyReuse is used for an idempotency key that was used before with another
	// body.
	ReasonKeyReuse Reason = "idempotency-key-reuse"
	// ReasonAnswerNotKept is used for a non-idempotent request that was executed and
	// whose answer was too large to be recorded.
	ReasonAnswerNotKept Reason = "answer-not-kept"
	// ReasonPromptHeld is used for a prompt with a segment that has crashed the upstreams
	// which began to answer it.
	ReasonPromptHeld Reason = "prompt-held"
	// ReasonRequestHeld is used for a request that has crashed the upstreams which began to
	// answer it.
	ReasonRequestHeld Reason = "request-held"
	// ReasonStreamUnknown is used for a stream that a caller takes up again if it is not known
	// which software version began it.
	ReasonStreamUnknown Reason = "stream-unknown"
	// ReasonOutcomeUnknown is used for a non-idempotent request that may have been
	// executed.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
)

// Execution says whether a refused request may have been executed.
type Execution string

const (
	// NotExecuted guarantees that no upstream executed the request.
	NotExecuted Execution = "not-run"
	// ExecutionUnknown means that an upstream may have executed the request.
	ExecutionUnknown Execution = "unknown"
)

// Refusal is the final answer to a request that receives no answer from an upstream.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// RetryAfter is how long the caller should wait before it tries again; 0 gives no
	// advice.
	RetryAfter time.Duration
	// Detail is one sentence for a person to read.
	Detail string
	// PredictedTTFB, TTFBLimit and ShareUsed are set if the refusal was based on a
	// prediction. PredictedTTFB is the time to first byte predicted at the best
	// upstream, TTFBLimit the longest one that was acceptable, and ShareUsed the
	// fraction of its share that the account has used.
	PredictedTTFB time.Duration
	TTFBLimit     time.Duration
	ShareUsed     float64
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }
