package ledger

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

const (
	// retryAfterMin and retryAfterSpread give the random delay after which a
	// refused caller may retry: from the minimum up to the minimum plus the spread.
	retryAfterMin    = 2 * time.Second
	retryAfterSpread = 3 * time.Second

	notReadDetail = "this call was not run, but the ledger could not be read, " +
		"so an earlier call with this idempotency key may have run; come back with the same key"
)

func (l *Ledger) decide(id uuid.UUID, verdict claim.Verdict) {
	l.emit(Decide{Attempt: id, Verdict: verdict})
}

func (l *Ledger) refuse(id uuid.UUID, refusal *request.Refusal) {
	l.decide(id, claim.Verdict{Refusal: refusal})
}

// refuseAndForget refuses a claim whose key another attempt holds for good.
func (l *Ledger) refuseAndForget(id uuid.UUID, refusal *request.Refusal) {
	delete(l.attempts, id)
	l.refuse(id, refusal)
}

// badKeyRefusal returns the refusal of a key that this daemon does not accept. It
// says "not run" only for a malformed key, which no daemon ever accepts. A key that
// is too old may have been used in its time, and a key that is ahead of this clock
// may have been accepted by another daemon.
func badKeyRefusal(err error) *request.Refusal {
	refusal := &request.Refusal{
		Reason:    request.ReasonBadIdempotencyKey,
		Execution: request.ExecutionUnknown,
		Detail:    err.Error(),
	}
	if errors.Is(err, claim.ErrKeyMalformed) {
		refusal.Execution = request.NotExecuted
	}
	return refusal
}

func keyReuseRefusal() *request.Refusal {
	return &request.Refusal{
		Reason:    request.ReasonKeyReuse,
		Execution: request.NotExecuted,
		Detail:    "this idempotency key was used for another request; this request was not run",
	}
}

// unavailableRefusal returns the refusal of a claim that could not be recorded. It
// says "not run" only if the store was read during this call and no other attempt
// held the key. Otherwise an earlier call may have executed.
func (l *Ledger) unavailableRefusal(foundFree bool) *request.Refusal {
	refusal := &request.Refusal{
		Reason:     request.ReasonLedgerUnavailable,
		Execution:  request.ExecutionUnknown,
		RetryAfter: l.retryAfter(),
		Detail:     notReadDetail,
	}
	if foundFree {
		refusal.Execution = request.NotExecuted
		refusal.Detail = "the ledger could not record this call, so it was not run; come back with the same key"
	}
	return refusal
}

func (l *Ledger) outcomeUnknownRefusal() *request.Refusal {
	return &request.Refusal{
		Reason:     request.ReasonOutcomeUnknown,
		Execution:  request.ExecutionUnknown,
		RetryAfter: l.retryAfter(),
		Detail:     "another call with this idempotency key may have run; come back with the same key for its outcome",
	}
}

// OverloadedRefusal returns the refusal of a claim that could not even be
// submitted.
func OverloadedRefusal() *request.Refusal {
	return &request.Refusal{
		Reason:     request.ReasonLedgerUnavailable,
		Execution:  request.ExecutionUnknown,
		RetryAfter: retryAfterMin,
		Detail:     notReadDetail,
	}
}

// outcomeBrokenRefusal returns the refusal of a claim whose key belongs to an
// attempt that ended without a complete answer. It has no RetryAfter, because the
// ledger will never know the outcome.
func outcomeBrokenRefusal() *request.Refusal {
	return &request.Refusal{
		Reason:    request.ReasonOutcomeUnknown,
		Execution: request.ExecutionUnknown,
		Detail:    "another call with this idempotency key was sent and ended without a whole answer; ask the service itself",
	}
}

func (l *Ledger) retryAfter() time.Duration {
	return retryAfterMin + time.Duration(l.random.Int64N(int64(retryAfterSpread)))
}
