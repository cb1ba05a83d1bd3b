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

// defaultAnswerTime bounds the time from the grant to the answer's beginning
// if the caller sets no deadline.
const defaultAnswerTime = 5 * time.Minute

// call is one request on its way to its final answer.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	pool    *version.Pool
	account version.AccountID
	ticket  request.Ticket
	started time.Time
	// waitUntil ends the wait for a grant.
	waitUntil time.Time
	// answerBy is when the answer must have begun; zero if the caller set no
	// deadline.
	answerBy time.Time
	// key is the idempotency key or nil.
	key *claim.Key
	// once is set if no attempt may follow another one.
	once bool
	// stream is set for an answer of events.
	stream bool
	held   *held
	// mayHaveRun is set after an attempt that may have run.
	mayHaveRun bool
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, admitted *admission, pool *version.Pool, body []byte) *call {
	now := time.Now()
	c := &call{
		handler:   h,
		w:         w,
		r:         r,
		body:      body,
		pool:      pool,
		account:   admitted.account.ID,
		started:   now,
		waitUntil: now.Add(DefaultDeadline),
		key:       admitted.key,
		once:      admitted.key != nil || !pool.Repeatable(r.Method),
	}
	if admitted.deadline > 0 {
		c.waitUntil = now.Add(admitted.deadline)
		c.answerBy = c.waitUntil
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

// run gives the caller its final answer.
func (c *call) run() {
	if c.key != nil && c.handler.options.Ledger == nil {
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
		if !c.pause() {
			c.refuse(refuse(request.ReasonDeadline, "the deadline passed before another attempt"))
			return
		}
	}
}

// acquire waits for a grant.
func (c *call) acquire() (request.Grant, *request.Refusal) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.waitUntil)
	defer cancel()
	c.ticket.Age = time.Since(c.started)
	c.ticket.Wait = time.Until(c.waitUntil)
	return c.handler.options.Fleet.Acquire(ctx, c.ticket)
}

// attempt runs one attempt and reports whether the caller has its final
// answer.
func (c *call) attempt(grant request.Grant) bool {
	carrier := c.handler.options.Relay
	id := uuid.New()
	attempt := relay.Call{
		Grant:    grant,
		Account:  c.account,
		Kind:     c.pool.Kind,
		Request:  c.r,
		Body:     c.body,
		Out:      request.Outgoing{ID: id.String()},
		AnswerBy: c.answerTime(),
		Stream:   c.stream,
	}
	if c.key != nil {
		return c.claimed(attempt, id)
	}
	result := carrier.Do(c.w, attempt)
	if c.mayRetry(result) {
		c.mayHaveRun = c.mayHaveRun || !result.NotRun
		carrier.Settle(result)
		c.ticket.Avoid = grant.Upstream
		c.ticket.Attempt++
		return false
	}
	c.settleAndAnswer(result)
	return true
}

// settleAndAnswer ends the last attempt. One that ended with a whole answer
// frees its slot before the answer is written, because the caller may be slow;
// any other is settled afterwards, because its cancelling may be.
func (c *call) settleAndAnswer(result relay.Result) {
	if result.Ending == relay.EndHeld {
		c.held.add(int64(result.Held.Len()))
		c.handler.options.Relay.Settle(result)
	} else {
		defer c.handler.options.Relay.Settle(result)
	}
	c.answer(result)
}

func (c *call) answerTime() time.Time {
	if c.answerBy.IsZero() {
		return time.Now().Add(defaultAnswerTime)
	}
	return c.answerBy
}

// mayRetry reports whether another attempt may follow, and pays for it.
func (c *call) mayRetry(result relay.Result) bool {
	if c.once || !result.Retry || c.ticket.Attempt >= retry.MaxAttempts {
		return false
	}
	if c.r.Context().Err() != nil || !time.Now().Before(c.waitUntil) {
		return false
	}
	return c.handler.retries.take()
}

// pause waits before the next attempt. It reports false if the request ends
// before that.
func (c *call) pause() bool {
	wait := c.handler.retries.pause(int(c.ticket.Attempt))
	if time.Until(c.waitUntil) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

// answer gives the caller what the last attempt ended with.
func (c *call) answer(result relay.Result) {
	switch result.Ending {
	case relay.EndRefused:
		c.refuse(result.Refusal)
	case relay.EndHeld:
		if !result.Retry {
			c.handler.retries.success()
		}
		if err := result.Held.Write(); err != nil {
			panic(http.ErrAbortHandler)
		}
		c.handler.options.Counter.Answered()
	case relay.EndRelayed:
		c.handler.retries.success()
		c.handler.options.Counter.Answered()
	case relay.EndBroken, relay.EndGone:
		// Nothing may follow that looks like a proper end.
		panic(http.ErrAbortHandler)
	}
}

// refuse ends the request with a refusal. It is not-run only if no attempt of
// the request may have run.
func (c *call) refuse(refusal *request.Refusal) {
	if c.mayHaveRun && refusal.Execution == request.NotRun {
		unknown := *refusal
		unknown.Execution = request.Unknown
		refusal = &unknown
	}
	c.handler.refuse(c.w, refusal)
}

// refuseUnclaimed ends a request whose idempotency key, if it has one, the
// ledger was not asked about.
func (c *call) refuseUnclaimed(refusal *request.Refusal) {
	c.refuse(unclaimed(c.r, refusal))
}
