package request

import "time"

// Reason says why a request was refused. Each reason is documented for callers
// in docs/callers.md.
type Reason string

const (
	// ReasonUnauthorised is a missing or unknown API key.
	ReasonUnauthorised Reason = "unauthorised"
	// ReasonBadRequest is a request that cannot be understood.
	ReasonBadRequest Reason = "bad-request"
	// ReasonTooLarge is a body over the limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonUnknownModel is a model that no pool serves.
	ReasonUnknownModel Reason = "unknown-model"
	// ReasonUnknownService is a path that no pool serves.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonMethodNotAllowed is a method that the path does not take.
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	// ReasonAccountQueueFull is an account over its share of the queue.
	ReasonAccountQueueFull Reason = "account-queue-full"
	// ReasonQueueFull is a full queue or ring in the fleet.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline is a deadline that passed before the request ran.
	ReasonDeadline Reason = "deadline"
	// ReasonCallerGone is a caller that went away; nobody reads the refusal.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonNoUpstream is a pool without any upstream in service.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonNotReady is a daemon without a configuration.
	ReasonNotReady Reason = "not-ready"
	// ReasonUpstreamFailed is an upstream that failed after it was sent to.
	ReasonUpstreamFailed Reason = "upstream-failed"
	// ReasonUpstreamRefused is an upstream that refused before running.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonLedgerUnavailable is a ledger that could not record a claim.
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	// ReasonBadIdempotencyKey is a malformed, old or future idempotency key.
	ReasonBadIdempotencyKey Reason = "bad-idempotency-key"
	// ReasonKeyReuse is an idempotency key used before with another body.
	ReasonKeyReuse Reason = "idempotency-key-reuse"
	// ReasonAnswerNotKept is a non-idempotent request that ran and whose answer
	// was too large to be recorded.
	ReasonAnswerNotKept Reason = "answer-not-kept"
	// ReasonOutcomeUnknown is a non-idempotent request that may have run.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
)

// Execution says whether a refused request may have run.
type Execution string

const (
	// NotRun promises that no upstream ran the request.
	NotRun Execution = "not-run"
	// Unknown says that an upstream may have run the request.
	Unknown Execution = "unknown"
)

// Refusal is the final answer to a request that gets no upstream's answer.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// RetryAfter is when the caller may come back; 0 gives no advice.
	RetryAfter time.Duration
	// Detail is one sentence for a person.
	Detail string
	// Predicted, Limit and ShareUsed are what a refusal was decided by, if it was
	// by a prediction: when the answer would have begun at the best upstream, by
	// when it had to, and how much of its share the account has had.
	Predicted time.Duration
	Limit     time.Duration
	ShareUsed float64
}

// Error makes a Refusal usable as an error value.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }
