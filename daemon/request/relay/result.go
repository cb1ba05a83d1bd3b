package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Delivery says how much of the response the caller has received.
type Delivery uint8

const (
	// DeliveryNone means that nothing was written; Result.Refusal holds the reason.
	DeliveryNone Delivery = iota
	// DeliveryBuffered means that the response is complete but not yet written; it is in
	// Result.Buffered.
	DeliveryBuffered
	// DeliveryComplete means that a complete response was written.
	DeliveryComplete
	// DeliveryTruncated means that a part of the response was written. The caller's
	// connection must be aborted.
	DeliveryTruncated
	// DeliveryCallerGone means that the caller disconnected.
	DeliveryCallerGone
)

// Result is the outcome of an attempt. Each Result must be passed to Settle exactly once.
type Result struct {
	Delivery Delivery
	// Refusal is set with DeliveryNone.
	Refusal *request.Refusal
	// Buffered is the complete response that is not written yet, with DeliveryBuffered.
	Buffered *BufferedResponse
	// NotExecuted guarantees that the upstream did not execute the attempt.
	NotExecuted bool
	// Retryable is set if nothing was written and another attempt may succeed.
	Retryable bool
	// Answer is the complete response if Call.Record was set.
	Answer *claim.Answer
	// Continuation holds what another upstream needs to continue the stream, with
	// DeliveryTruncated; nil if the stream cannot be continued.
	Continuation *Continuation
	// Err is the cause of a failed attempt; nil if it did not fail.
	Err error
	// TTFB is the time to the first byte of the response; 0 if none arrived.
	TTFB time.Duration
	// Events is the number of complete events that were relayed.
	Events int
	// Status is the status of a complete response.
	Status int
	// SentAt is when the attempt was started, and BegunAt when its first event, or the header
	// of a response that is not a stream, arrived; zero if none did.
	SentAt, BegunAt time.Time
	// DisconnectedAt is when the upstream ended the connection before the response was
	// complete; zero if it did not. UpstreamDown is set if it refused a connection since.
	DisconnectedAt time.Time
	UpstreamDown   bool
	// ConnectedAt is when the opening of the connection began that the upstream ended; zero if it
	// is not known.
	ConnectedAt time.Time

	finish request.Finish
	// toCancel is the attempt to cancel at its upstream; nil if there is nothing to cancel.
	toCancel *attempt
	// holding is what is held of the response; nil if the attempt was not started.
	holding *holding
}

// Release gives back the memory of a response that is not needed any more. It must be called once
// for each Result, and not before Buffered has been written.
func (r Result) Release() { r.holding.release() }

// defaultRetryAfter is the Retry-After of attempts that were not executed, unless the
// upstream asked for another pause.
const defaultRetryAfter = time.Second

// unsentResult returns the result of an attempt of which no byte was sent.
func (a *attempt) unsentResult(err error, outcome request.Outcome) Result {
	if errors.Is(err, ErrCallerGone) {
		return Result{Delivery: DeliveryCallerGone, NotExecuted: true, finish: request.Finish{Outcome: request.OutcomeUnused}}
	}
	refusal := &request.Refusal{
		Reason:     request.ReasonUpstreamFailed,
		Execution:  request.NotExecuted,
		RetryAfter: defaultRetryAfter,
		Detail:     "the upstream could not be reached and nothing was sent",
	}
	switch {
	case errors.Is(err, ErrDeadlinePassed):
		outcome = request.OutcomeUnused
		refusal.Reason = request.ReasonDeadline
		refusal.Detail = "the deadline passed before anything was sent"
	case errors.Is(err, ErrWithdrawn):
		outcome = request.OutcomeUnused
		refusal.Detail = "the upstream was taken out before anything was sent"
	case errors.Is(err, ErrUntrusted):
		outcome = request.OutcomeUnused
		refusal.Reason = request.ReasonStreamUnknown
		refusal.Detail = ErrUntrusted.Error()
	case errors.Is(err, ErrStopping):
		outcome = request.OutcomeUnused
		refusal.Reason = request.ReasonNotReady
		refusal.Detail = ErrStopping.Error()
	case errors.Is(err, ErrAborted):
		outcome = request.OutcomeUnused
		refusal = a.abortRefusal()
	case errors.Is(err, ErrPermitExpired):
		refusal.Reason = request.ReasonLedgerUnavailable
		refusal.Detail = "the claim's permit ended before anything was sent"
	}
	return Result{
		Delivery:    DeliveryNone,
		Refusal:     refusal,
		NotExecuted: true,
		Retryable:   !errors.IsAny(err, ErrDeadlinePassed, ErrPermitExpired, ErrAborted, ErrStopping),
		Err:         err,
		finish:      a.finish(outcome),
	}
}

// failedResult returns the result of an attempt that was sent and of which nothing was
// written to the caller.
func (a *attempt) failedResult(err error) Result {
	result := Result{Delivery: DeliveryNone, toCancel: a, Err: err}
	result.finish.Outcome = request.OutcomeBroken
	switch {
	case errors.Is(err, ErrCallerGone):
		result.Delivery = DeliveryCallerGone
		result.finish.Outcome = request.OutcomeCancelled
	case errors.Is(err, ErrAborted):
		result.finish.Outcome = request.OutcomeCancelled
		refusal := *a.abortRefusal()
		refusal.Execution = request.ExecutionUnknown
		result.Refusal = &refusal
	case errors.Is(err, ErrDeadlinePassed):
		// The upstream may be healthy and the deadline too short, so this doesn't count as
		// its failure.
		result.finish.Outcome = request.OutcomeCancelled
		result.Refusal = &request.Refusal{
			Reason:    request.ReasonDeadline,
			Execution: request.ExecutionUnknown,
			Detail:    "the upstream had not answered by the deadline",
		}
	default:
		result.Retryable = true
		result.Refusal = &request.Refusal{
			Reason:    request.ReasonUpstreamFailed,
			Execution: request.ExecutionUnknown,
			Detail:    "the upstream failed: " + describeForCaller(err),
		}
	}
	return result
}

// brokenResult returns the result of an attempt whose response was written in part.
func (a *attempt) brokenResult() Result {
	result := Result{Delivery: DeliveryTruncated, toCancel: a}
	result.finish.Outcome = request.OutcomeBroken
	return result
}

// callerGoneResult returns the result of an attempt whose caller disconnected during the
// response.
func (a *attempt) callerGoneResult() Result {
	result := Result{Delivery: DeliveryCallerGone, toCancel: a}
	result.finish.Outcome = request.OutcomeCancelled
	return result
}

// completedResult returns the result of an attempt whose response is complete.
func (a *attempt) completedResult(delivery Delivery, status int) Result {
	result := Result{Delivery: delivery, Status: status, Answer: a.writer.recordedAnswer()}
	if a.upstreamAtFault(status) {
		result.finish.Outcome = request.OutcomeBroken
	}
	return result
}

// upstreamAtFault reports whether a status indicates a failing upstream. A plain service
// may return 500 in normal operation.
func (a *attempt) upstreamAtFault(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	case http.StatusInternalServerError:
		return a.call.Kind == version.PoolModel
	}
	return false
}

func (a *attempt) refusedResult(advice request.Advice) Result {
	result := Result{
		Delivery:    DeliveryNone,
		NotExecuted: true,
		Retryable:   true,
		Refusal: &request.Refusal{
			Reason:     request.ReasonUpstreamRefused,
			Execution:  request.NotExecuted,
			RetryAfter: defaultRetryAfter,
			Detail:     "the upstream refused before running",
		},
	}
	if advice.Pause > 0 {
		result.Refusal.RetryAfter = advice.Pause
	}
	result.finish.Outcome = request.OutcomeRefused
	return result
}

// describeForCaller returns a short text for an error, without addresses, to be sent to
// callers.
func describeForCaller(err error) string {
	for _, sentinel := range []error{ErrWrongAttempt, ErrOversized, ErrStalled, ErrTruncated} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return "connection failed"
}
