package serve

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxSends bounds the upstreams that a request is sent to, those that
	// refuse it before running included.
	maxSends = 4
	// notReadyRetryAfter is when to come back to a router that cannot serve
	// anybody; another one may.
	notReadyRetryAfter = 300 * time.Millisecond
)

// passage is one request on the general path.
type passage struct {
	general *General
	w       http.ResponseWriter
	r       *http.Request
	in      request.Incoming
	config  *version.Config
	route   *version.Route
	pool    *version.Pool
	// account is nil for a request without a key.
	account *version.Account
	body    []byte
	ticket  request.Ticket
	started time.Time
	// endBy is when the final answer is due.
	endBy time.Time
	// configAge is how old the confirmation of the configuration was.
	configAge time.Duration
	// sent counts the attempts that were granted, ran those that may have run.
	sent, ran int
	// rest is a stream that broke off midway; nil before.
	rest *relay.Rest
}

// run gives the caller its final answer.
func (p *passage) run() {
	for {
		grant, refusal := p.acquire()
		if refusal != nil {
			p.giveUp(refusal)
			return
		}
		if p.attempt(grant) {
			return
		}
	}
}

func (p *passage) acquire() (request.Grant, *request.Refusal) {
	now := time.Now()
	p.ticket.BodyBytes = len(p.body)
	p.ticket.Age = now.Sub(p.started)
	p.ticket.Wait = p.endBy.Sub(now)
	p.ticket.Objective = 0
	if p.route.Objective > 0 && p.rest == nil {
		p.ticket.Objective = max(p.route.Objective-p.ticket.Age, time.Nanosecond)
	}
	if p.ticket.Wait <= 0 {
		return request.Grant{}, refuse(request.ReasonDeadline, "the deadline passed before the request was sent")
	}
	if p.callerLeft() {
		return request.Grant{}, refuse(request.ReasonCallerGone, "the caller went away before the request was sent")
	}
	ctx, cancel := context.WithDeadline(p.r.Context(), p.endBy)
	defer cancel()
	return p.general.options.Fleet.Acquire(ctx, p.ticket)
}

// attempt runs one attempt and reports whether the caller has its final answer.
func (p *passage) attempt(grant request.Grant) bool {
	p.sent++
	carrier := p.general.options.Relay
	result := carrier.Do(p.w, relay.Call{
		Grant:    grant,
		Account:  p.ticket.Account,
		Kind:     p.kind(),
		Request:  p.r,
		Body:     p.body,
		Out:      p.outgoing(),
		AnswerBy: p.endBy,
		EndBy:    p.endBy,
		Rest:     p.rest,
		Wanted:   func() bool { return !p.callerLeft() },
	})
	carrier.Settle(result)
	if !result.NotRun {
		p.ran++
	}
	p.logAttempt(grant, result)
	if p.mayRepeat(result) {
		p.ticket.Avoided = append(p.ticket.Avoided, grant.Upstream)
		p.ticket.Attempt++
		if result.Rest != nil {
			p.rest = result.Rest
		}
		return false
	}
	p.answer(grant, result)
	return true
}

// kind tells the relay whether to expect events.
func (p *passage) kind() version.PoolKind {
	if p.route.Stream {
		return version.PoolModel
	}
	return version.PoolService
}

func (p *passage) outgoing() request.Outgoing {
	out := request.Outgoing{ID: p.in.ID, LastEvent: p.in.LastEvent}
	if p.account != nil {
		out.Account = p.account.Name
	}
	if p.rest != nil && p.rest.LastEvent != "" {
		out.LastEvent = p.rest.LastEvent
	}
	return out
}

// mayRepeat reports whether another attempt may follow, and pays for it.
func (p *passage) mayRepeat(result relay.Result) bool {
	if p.sent >= maxSends || p.r.Context().Err() != nil || !time.Now().Before(p.endBy) {
		return false
	}
	if !p.repeatable(result) {
		return false
	}
	return p.general.budget(p.pool.ID, func(w *retry.Window) bool { return w.Take(time.Now()) })
}

// repeatable reports whether the route lets another upstream have the request
// after this result.
func (p *passage) repeatable(result relay.Result) bool {
	if result.NotRun {
		return result.Retry
	}
	if p.ran >= p.route.MaxAttempts || p.route.Repeat == version.RepeatNever {
		return false
	}
	switch result.Ending {
	case relay.EndHeld:
		return result.Held.Status >= http.StatusInternalServerError
	case relay.EndRefused:
		return result.Retry
	case relay.EndBroken:
		return p.route.Repeat == version.RepeatResume && result.Rest != nil
	}
	return false
}

// answer gives the caller what the last attempt ended with.
func (p *passage) answer(grant request.Grant, result relay.Result) {
	upstream := slog.Group("",
		slog.String("upstream", p.upstreamName(grant.Upstream)),
		slog.Int64("predicted_ms", grant.Predicted.Milliseconds()),
		slog.Int64("begun_ms", result.Begun.Milliseconds()),
		slog.Int("unread", grant.Unread))
	switch result.Ending {
	case relay.EndRefused:
		p.giveUp(result.Refusal)
	case relay.EndHeld:
		if err := result.Held.Write(); err != nil {
			p.log("caller gone", upstream)
			panic(http.ErrAbortHandler)
		}
		p.general.options.Counter.Answered()
		p.log("answered", upstream, slog.Int("status", result.Held.Status))
	case relay.EndRelayed:
		p.general.options.Counter.Answered()
		p.log("answered", upstream)
	case relay.EndBroken:
		p.log("broken off", upstream)
		// Nothing may follow that looks like a proper end.
		panic(http.ErrAbortHandler)
	case relay.EndGone:
		p.log("caller gone", upstream)
		panic(http.ErrAbortHandler)
	}
}

// giveUp ends the request without an upstream's answer.
func (p *passage) giveUp(refusal *request.Refusal) {
	if p.rest != nil {
		p.log("broken off", slog.String("reason", string(refusal.Reason)))
		panic(http.ErrAbortHandler)
	}
	if p.r.Context().Err() != nil || refusal.Reason == request.ReasonCallerGone {
		p.log("caller gone")
		panic(http.ErrAbortHandler)
	}
	p.refuse(refusal)
}

// refuse answers with a refusal. It promises that the request has not run only
// if no attempt of it may have.
func (p *passage) refuse(refusal *request.Refusal) {
	p.boundUnreadBody()
	status := p.status(refusal)
	header := p.w.Header()
	after := time.Duration(0)
	if p.ran == 0 && promisesNotRun(status) {
		after = refusal.RetryAfter
		if after <= 0 {
			after = notReadyRetryAfter
		}
		header.Set("Retry-After", fractional(after))
	}
	if refusal.Reason == request.ReasonNotReady {
		// The caller's next request should find another router.
		header.Set("Connection", "close")
	}
	p.general.options.Counter.Refused(refusal.Reason)
	p.log("refused", slog.Int("status", status), slog.String("reason", string(refusal.Reason)),
		slog.String("detail", refusal.Detail), slog.Int64("retry_after_ms", after.Milliseconds()),
		slog.Int64("predicted_ms", refusal.Predicted.Milliseconds()),
		slog.Int64("limit_ms", refusal.Limit.Milliseconds()),
		slog.Float64("share_used", refusal.ShareUsed))
	writeJSON(p.w, status, refusalBody{Error: refusalError{
		Type:      refusal.Reason,
		Message:   refusal.Detail,
		Execution: p.execution(refusal),
	}})
}

// unreadBodyTime bounds the wait for the rest of a body that nobody needs any more.
const unreadBodyTime = time.Second

// boundUnreadBody ends the connection of a refused request whose body does not come: the
// server reads it to its end, and sets a deadline of its own only for the next request.
func (p *passage) boundUnreadBody() {
	if p.body == nil && p.r.ContentLength != 0 {
		// A writer without deadlines is one of a test.
		_ = http.NewResponseController(p.w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// status returns the status of a refusal: one that promises that the request
// has not run if that is so, and none that does otherwise.
func (p *passage) status(refusal *request.Refusal) int {
	status := forms[refusal.Reason].status
	switch {
	case p.ran > 0 && promisesNotRun(status):
		return http.StatusBadGateway
	case p.ran == 0 && refusal.Execution == request.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

func (p *passage) execution(refusal *request.Refusal) request.Execution {
	if p.ran > 0 {
		return request.Unknown
	}
	return refusal.Execution
}

// promisesNotRun reports whether a status tells callers that a request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fractional formats a time for Retry-After, which may hold fractions of a
// second here.
func fractional(after time.Duration) string {
	return strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', -1, 64)
}

// logAttempt logs an attempt that gave no whole answer.
func (p *passage) logAttempt(grant request.Grant, result relay.Result) {
	if result.Err == nil && !result.NotRun {
		return
	}
	reason := "refused by the upstream before running"
	if result.Err != nil {
		reason = errors.UnwrapAll(result.Err).Error()
		if known := knownCause(result.Err); known != "" {
			reason = known + ": " + reason
		}
	}
	p.general.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt failed",
		slog.String("request", p.in.ID),
		slog.Int("attempt", p.sent),
		slog.String("upstream", p.upstreamName(grant.Upstream)),
		slog.Bool("not_run", result.NotRun),
		slog.String("reason", reason))
}

// knownCause names the relay's own error behind err.
func knownCause(err error) string {
	for _, known := range []error{
		relay.ErrCrossed, relay.ErrStalled, relay.ErrLate, relay.ErrCallerGone, relay.ErrUnconfigured, relay.ErrWithdrawn, relay.ErrCut,
	} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return ""
}

func (p *passage) upstreamName(id version.UpstreamID) string {
	if upstream, known := p.config.Upstreams[id]; known {
		return upstream.Name
	}
	if config := p.general.options.Fleet.Config(); config != nil {
		if upstream, known := config.Upstreams[id]; known {
			return upstream.Name
		}
	}
	return "#" + strconv.FormatUint(uint64(id), 10)
}
