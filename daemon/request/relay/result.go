package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// unsentRetryAfter is when to come back after an upstream could not be reached.
const unsentRetryAfter = time.Second

// unsent ends an attempt of which no byte was sent.
func (a *attempt) unsent(err error, outcome request.Outcome) Result {
	if errors.Is(err, ErrCallerGone) {
		return Result{Ending: EndGone, NotRun: true, finish: request.Finish{Outcome: request.OutcomeUnused}}
	}
	refusal := &request.Refusal{
		Reason:     request.ReasonUpstreamFailed,
		Execution:  request.NotRun,
		RetryAfter: unsentRetryAfter,
		Detail:     "the upstream could not be reached and nothing was sent",
	}
	switch {
	case errors.Is(err, ErrLate):
		outcome = request.OutcomeUnused
		refusal.Reason = request.ReasonDeadline
		refusal.Detail = "the deadline passed before anything was sent"
	case errors.Is(err, ErrWithdrawn):
		outcome = request.OutcomeUnused
		refusal.Detail = "the upstream was taken out before anything was sent"
	case errors.Is(err, ErrPermitOver):
		refusal.Reason = request.ReasonLedgerUnavailable
		refusal.Detail = "the claim's permit ended before anything was sent"
	}
	return Result{
		Ending:  EndRefused,
		Refusal: refusal,
		NotRun:  true,
		Retry:   !errors.IsAny(err, ErrLate, ErrPermitOver),
		Err:     err,
		finish:  a.finish(outcome),
	}
}

// failed ends an attempt that was sent and of which nothing was written.
func (a *attempt) failed(err error) Result {
	result := Result{Ending: EndRefused, cancel: a, Err: err}
	result.finish.Outcome = request.OutcomeBroken
	switch {
	case errors.Is(err, ErrCallerGone):
		result.Ending = EndGone
		result.finish.Outcome = request.OutcomeCancelled
	case errors.Is(err, ErrLate):
		// The upstream may be fine and the deadline short.
		result.finish.Outcome = request.OutcomeCancelled
		result.Refusal = &request.Refusal{
			Reason:    request.ReasonDeadline,
			Execution: request.Unknown,
			Detail:    "the upstream had not answered by the deadline",
		}
	default:
		result.Retry = true
		result.Refusal = &request.Refusal{
			Reason:    request.ReasonUpstreamFailed,
			Execution: request.Unknown,
			Detail:    "the upstream failed: " + describe(err),
		}
	}
	return result
}

// broken ends an attempt of which a part was written.
func (a *attempt) broken() Result {
	result := Result{Ending: EndBroken, cancel: a}
	result.finish.Outcome = request.OutcomeBroken
	return result
}

// gone ends an attempt whose caller went away in the midst of the answer.
func (a *attempt) gone() Result {
	result := Result{Ending: EndGone, cancel: a}
	result.finish.Outcome = request.OutcomeCancelled
	return result
}

// done ends an attempt whose answer is whole.
func (a *attempt) done(ending Ending, status int) Result {
	result := Result{Ending: ending, Answer: a.out.recorded()}
	if a.upstreamAtFault(status) {
		result.finish.Outcome = request.OutcomeBroken
	}
	return result
}

// upstreamAtFault reports whether a status tells of an upstream in trouble. A
// plain service may answer 500 as part of its work.
func (a *attempt) upstreamAtFault(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	case http.StatusInternalServerError:
		return a.call.Kind == version.PoolModel
	}
	return false
}

func (a *attempt) refusedByUpstream(advice request.Advice) Result {
	result := Result{
		Ending: EndRefused,
		NotRun: true,
		Retry:  true,
		Refusal: &request.Refusal{
			Reason:     request.ReasonUpstreamRefused,
			Execution:  request.NotRun,
			RetryAfter: unsentRetryAfter,
			Detail:     "the upstream refused before running",
		},
	}
	if advice.Pause > 0 {
		result.Refusal.RetryAfter = advice.Pause
	}
	result.finish.Outcome = request.OutcomeRefused
	return result
}

// describe names an error for callers, without addresses.
func describe(err error) string {
	for _, known := range []error{ErrCrossed, ErrStalled, ErrCut} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "connection failed"
}
