package serve

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// HeaderReplayed is "true" on a response that was recorded for an earlier request with the
// same idempotency key.
const HeaderReplayed = "X-Trefoilwell-Replayed"

// runClaimed makes the only attempt of a request with an idempotency key. It always returns
// true: the caller has received the final response.
func (c *call) runClaimed(attempt relay.Call, id uuid.UUID) bool {
	relayer := c.handler.options.Relay
	keyClaim := claim.Claim{
		Account: c.account,
		Key:     *c.idempotencyKey,
		Request: requestDigest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Attempt: id,
	}
	verdict := c.claimKey(keyClaim)
	c.reportVerdict(attempt.Grant, verdict)
	if verdict.Run == nil {
		relayer.Settle(relayer.UnusedResult(attempt.Grant))
		c.respondWithoutExecution(verdict)
		return true
	}
	attempt.Permit = verdict.Run
	attempt.Record = true
	attempt.FirstByteDeadline = time.Now().Add(defaultFirstByteTimeout)
	c.awaitResult(c.startClaimed(attempt, keyClaim))
	return true
}

// startClaimed makes a claimed attempt in a goroutine of its own, which outlives the
// caller's request if the deadline passes first. The response is then recorded for the
// caller's next request with the same key.
func (c *call) startClaimed(attempt relay.Call, keyClaim claim.Claim) *claimedAttempt {
	running := &claimedAttempt{
		writer: newDetachableWriter(c.w),
		done:   make(chan relay.Result, 1),
	}
	go func() {
		result := c.handler.options.Relay.Do(running.writer, attempt)
		c.pass.EndAttempt(attempt.Grant.Upstream, result)
		if result.NotExecuted {
			c.handler.options.Ledger.Release(keyClaim)
		} else {
			c.handler.options.Ledger.Record(keyClaim, result.Answer)
		}
		if running.writer.complete() {
			running.done <- result
			return
		}
		result.Release()
		c.handler.options.Relay.Settle(result)
		running.release()
	}()
	return running
}

// claimedAttempt is a claimed attempt in progress.
type claimedAttempt struct {
	writer *detachableWriter
	// done passes the result to the handler of the caller's request, unless that has
	// detached.
	done chan relay.Result
	// release frees the request's reservation after the handler has detached.
	release func()
}

// awaitResult responds with the attempt's result, or with a refusal if no byte of the
// response has been written by the deadline.
func (c *call) awaitResult(running *claimedAttempt) {
	var deadline <-chan time.Time
	if !c.firstByteDeadline.IsZero() {
		timer := time.NewTimer(time.Until(c.firstByteDeadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case result := <-running.done:
		c.settleAndRespond(result)
	case <-deadline:
		if !running.writer.detach(func() { running.release = c.reservation.transfer() }) {
			c.settleAndRespond(<-running.done)
			return
		}
		c.refuse(&request.Refusal{
			Reason:    request.ReasonDeadline,
			Execution: request.ExecutionUnknown,
			Detail:    "the request runs on; ask again with the same key for its outcome",
		})
	}
}

func (c *call) claimKey(keyClaim claim.Claim) claim.Verdict {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.grantDeadline)
	defer cancel()
	return c.handler.options.Ledger.Claim(ctx, keyClaim)
}

// reportVerdict reports the ledger's verdict to Options.OnClaim.
func (c *call) reportVerdict(grant request.Grant, verdict claim.Verdict) {
	if c.handler.options.OnClaim == nil {
		return
	}
	c.handler.options.OnClaim(ClaimEvent{Grant: grant, Account: c.account, Verdict: verdictName(verdict)})
}

func verdictName(verdict claim.Verdict) string {
	switch {
	case verdict.Run != nil:
		return "run"
	case verdict.Replay != nil:
		return "replay"
	case verdict.Refusal != nil:
		return string(verdict.Refusal.Reason)
	default:
		return "none"
	}
}

// respondWithoutExecution responds to a request that the ledger does not allow to be
// executed.
func (c *call) respondWithoutExecution(verdict claim.Verdict) {
	switch {
	case verdict.Refusal != nil:
		c.refuse(verdict.Refusal)
	case verdict.Replay != nil:
		c.replay(verdict.Replay)
	default:
		c.refuse(refuse(request.ReasonLedgerUnavailable, "the ledger gave no verdict"))
	}
}

// replay responds with a recorded answer.
func (c *call) replay(answer *claim.Answer) {
	if len(answer.Body) == 0 && answer.BodyDigest != sha256.Sum256(nil) {
		c.refuse(&request.Refusal{
			Reason:    request.ReasonAnswerNotKept,
			Execution: request.ExecutionUnknown,
			Detail: "the request ran before and was answered with status " +
				strconv.Itoa(answer.Status) + "; its answer was too large to keep",
		})
		return
	}
	w := c.w
	extendWriteDeadline(w)
	w.Header().Set(HeaderReplayed, "true")
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	// The caller may have disconnected; a write error needs no handling.
	_, _ = w.Write(answer.Body)
	c.handler.options.Counter.Answered()
}

// requestDigest returns the digest of a request's method, URI and body. Each is preceded by
// its length, so that different requests cannot yield the same input.
func requestDigest(method, uri string, body []byte) claim.Digest {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(uri), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write(field)
	}
	var sum claim.Digest
	hash.Sum(sum[:0])
	return sum
}
