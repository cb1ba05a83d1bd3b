package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// defaultFirstByteTimeout limits the time from the grant to the first byte if the caller
// sets no deadline. It also applies to claimed attempts, which may outlive the caller's
// deadline.
const defaultFirstByteTimeout = 5 * time.Minute

// call is one request from its admission to its final response.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	pool    *version.Pool
	account version.AccountID
	ticket  request.Ticket
	started time.Time
	// grantDeadline is when the wait for a grant ends.
	grantDeadline time.Time
	// firstByteDeadline is the deadline for the first byte; zero if the caller set none.
	firstByteDeadline time.Time
	// idempotencyKey is nil if the caller sent none.
	idempotencyKey *claim.Key
	// singleAttempt is set if an attempt must not be retried.
	singleAttempt bool
	// stream is set if the caller requested an event stream.
	stream      bool
	reservation *reservation
	// pass may end the request early.
	pass Pass
	// mayHaveExecuted is set after an attempt that the upstream may have executed.
	mayHaveExecuted bool
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, admitted *admission, pool *version.Pool, body []byte) *call {
	now := time.Now()
	c := &call{
		handler:        h,
		w:              w,
		r:              r,
		body:           body,
		pool:           pool,
		account:        admitted.account.ID,
		started:        now,
		grantDeadline:  now.Add(DefaultDeadline),
		idempotencyKey: admitted.idempotencyKey,
		pass:           openPass{r.Context()},
		singleAttempt:  admitted.idempotencyKey != nil || !pool.Repeatable(r.Method),
	}
	if admitted.deadline > 0 {
		c.grantDeadline = now.Add(admitted.deadline)
		c.firstByteDeadline = c.grantDeadline
	}
	c.ticket = request.Ticket{
		ID:        h.options.Fleet.NewID(),
		Account:   admitted.account.ID,
		Pool:      pool.ID,
		Attempt:   1,
		BodyBytes: len(body),
	}
	return c
}

// admitByGuard asks the guard whether the request may be sent.
func (c *call) admitByGuard(segments []request.PromptSegment) *request.Refusal {
	pass, refusal := c.handler.options.Guard.Admit(c.r.Context(), segments)
	if refusal != nil {
		return refusal
	}
	c.pass = pass
	return pass.Identify(request.Fingerprint(c.account, c.r.Method, c.r.Host, c.r.RequestURI, c.body))
}

// run sends the caller the final response.
func (c *call) run() {
	if c.idempotencyKey != nil && c.handler.options.Ledger == nil {
		c.refuse(refuse(request.ReasonLedgerUnavailable, "this router keeps no ledger"))
		return
	}
	c.ticket.Lane = request.LaneOf(c.ticket.Estimate)
	for {
		grant, refusal := c.acquire()
		if refusal != nil {
			c.refuseUnclaimed(refusal)
			return
		}
		if c.attempt(grant) {
			return
		}
		if !c.waitForRetry() {
			c.refuse(refuse(request.ReasonDeadline, "the deadline passed before another attempt"))
			return
		}
	}
}

// acquire waits for a grant.
func (c *call) acquire() (request.Grant, *request.Refusal) {
	ctx, cancel := context.WithDeadline(c.pass.Context(), c.grantDeadline)
	defer cancel()
	c.ticket.Age = time.Since(c.started)
	c.ticket.Wait = time.Until(c.grantDeadline)
	grant, refusal := c.handler.options.Fleet.Acquire(ctx, c.ticket)
	if held := refusalOf(c.pass); refusal != nil && held != nil {
		return request.Grant{}, held
	}
	return grant, refusal
}

// attempt makes one attempt and reports whether the caller has received the final response.
func (c *call) attempt(grant request.Grant) bool {
	relayer := c.handler.options.Relay
	id := uuid.New()
	attempt := relay.Call{
		Grant:             grant,
		Account:           c.account,
		Kind:              c.pool.Kind,
		Request:           c.r,
		Body:              c.body,
		Outgoing:          request.Outgoing{ID: id.String()},
		FirstByteDeadline: c.attemptDeadline(),
		Stream:            c.stream,
		Context:           c.pass.Context(),
		OnBegin:           c.pass.Begin,
	}
	if c.idempotencyKey != nil {
		return c.runClaimed(attempt, id)
	}
	result := relayer.Do(c.w, attempt)
	c.pass.EndAttempt(grant.Upstream, result)
	if c.takeRetry(result) {
		c.mayHaveExecuted = c.mayHaveExecuted || !result.NotExecuted
		result.Release()
		relayer.Settle(result)
		c.ticket.Avoid = grant.Upstream
		c.ticket.Attempt++
		return false
	}
	c.settleAndRespond(result)
	return true
}

// settleAndRespond ends the last attempt. If its response is buffered, the slot is freed
// before the response is written, because the caller may read slowly. Otherwise the slot is
// freed after the response, because cancelling the attempt may be slow.
func (c *call) settleAndRespond(result relay.Result) {
	defer result.Release()
	if result.Delivery == relay.DeliveryBuffered {
		c.reservation.addResponseBytes(int64(result.Buffered.Len()))
		c.handler.options.Relay.Settle(result)
	} else {
		defer c.handler.options.Relay.Settle(result)
	}
	c.respond(result)
}

func (c *call) attemptDeadline() time.Time {
	if c.firstByteDeadline.IsZero() {
		return time.Now().Add(defaultFirstByteTimeout)
	}
	return c.firstByteDeadline
}

// takeRetry reports whether another attempt may follow. If so, it takes the retry from the
// budget.
func (c *call) takeRetry(result relay.Result) bool {
	if c.singleAttempt || !result.Retryable || c.ticket.Attempt >= retry.MaxAttempts {
		return false
	}
	if c.r.Context().Err() != nil || !time.Now().Before(c.grantDeadline) {
		return false
	}
	if refusalOf(c.pass) != nil || !c.pass.MayRepeat(result.SentAt) {
		return false
	}
	return c.handler.retryBudget.take()
}

// waitForRetry waits for the backoff before the next attempt. It returns false if the grant
// deadline would pass or the caller disconnects before that.
func (c *call) waitForRetry() bool {
	delay := c.handler.retryBudget.backoff(int(c.ticket.Attempt))
	if time.Until(c.grantDeadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

// respond gives the caller the outcome of the last attempt.
func (c *call) respond(result relay.Result) {
	switch result.Delivery {
	case relay.DeliveryNone:
		c.refuse(result.Refusal)
	case relay.DeliveryBuffered:
		if !result.Retryable {
			c.handler.retryBudget.recordSuccess()
		}
		if err := result.Buffered.Write(); err != nil {
			abort(c.r)
		}
		c.handler.options.Counter.Answered()
	case relay.DeliveryComplete:
		c.handler.retryBudget.recordSuccess()
		c.handler.options.Counter.Answered()
	case relay.DeliveryTruncated, relay.DeliveryCallerGone:
		// Abort the connection, so that the truncated response does not look complete.
		abort(c.r)
	}
}

// refuse ends the request with a refusal. The refusal says not executed only if the
// upstream cannot have executed any attempt of the request.
func (c *call) refuse(refusal *request.Refusal) {
	if c.mayHaveExecuted && refusal.Execution == request.NotExecuted {
		unknown := *refusal
		unknown.Execution = request.ExecutionUnknown
		refusal = &unknown
	}
	c.handler.refuse(c.w, refusal)
}

// refuseUnclaimed refuses a request before the ledger was asked about its idempotency key,
// if it has one.
func (c *call) refuseUnclaimed(refusal *request.Refusal) {
	c.refuse(refusalBeforeClaim(c.r, refusal))
}
