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

// HeaderReplayed is "true" on an answer that was recorded by an earlier
// request with the same idempotency key.
const HeaderReplayed = "X-Trefoilwell-Replayed"

// claimed runs the only attempt of a request with an idempotency key. The
// caller has its final answer when it returns true.
func (c *call) claimed(attempt relay.Call, id uuid.UUID) bool {
	carrier := c.handler.options.Relay
	asked := claim.Claim{
		Account: c.account,
		Key:     *c.key,
		Request: digest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Attempt: id,
	}
	verdict := c.claim(asked)
	c.note(attempt.Grant, verdict)
	if verdict.Run == nil {
		carrier.Settle(carrier.Unused(attempt.Grant))
		c.withoutRun(verdict)
		return true
	}
	attempt.Permit = verdict.Run
	attempt.Record = true
	attempt.AnswerBy = time.Now().Add(defaultAnswerTime)
	c.await(c.start(attempt, asked))
	return true
}

// start runs a claimed attempt on a goroutine of its own, which outlives the
// caller's request if the deadline comes first: its answer is recorded then,
// for when the caller asks again.
func (c *call) start(attempt relay.Call, asked claim.Claim) *claimedRun {
	run := &claimedRun{
		writer: newDetachable(c.w),
		done:   make(chan relay.Result, 1),
	}
	go func() {
		result := c.handler.options.Relay.Do(run.writer, attempt)
		if result.NotRun {
			c.handler.options.Ledger.Release(asked)
		} else {
			c.handler.options.Ledger.Record(asked, result.Answer)
		}
		if run.writer.complete() {
			run.done <- result
			return
		}
		c.handler.options.Relay.Settle(result)
		run.release()
	}()
	return run
}

// claimedRun is a claimed attempt under way.
type claimedRun struct {
	writer *detachable
	// done gives the result to the caller's request, unless that has left.
	done chan relay.Result
	// release ends the request after its caller's has left.
	release func()
}

// await answers the caller with the attempt's result, or at the deadline if
// the answer has not begun by then.
func (c *call) await(run *claimedRun) {
	var deadline <-chan time.Time
	if !c.answerBy.IsZero() {
		timer := time.NewTimer(time.Until(c.answerBy))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case result := <-run.done:
		c.settleAndAnswer(result)
	case <-deadline:
		if !run.writer.detach(func() { run.release = c.held.keep() }) {
			c.settleAndAnswer(<-run.done)
			return
		}
		c.refuse(&request.Refusal{
			Reason:    request.ReasonDeadline,
			Execution: request.Unknown,
			Detail:    "the request runs on; ask again with the same key for its outcome",
		})
	}
}

func (c *call) claim(asked claim.Claim) claim.Verdict {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.waitUntil)
	defer cancel()
	return c.handler.options.Ledger.Claim(ctx, asked)
}

// note tells what the ledger said.
func (c *call) note(grant request.Grant, verdict claim.Verdict) {
	if c.handler.options.Claimed == nil {
		return
	}
	c.handler.options.Claimed(Claimed{Grant: grant, Account: c.account, Verdict: nameOf(verdict)})
}

func nameOf(verdict claim.Verdict) string {
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

// withoutRun answers a request that the ledger does not let run.
func (c *call) withoutRun(verdict claim.Verdict) {
	switch {
	case verdict.Refusal != nil:
		c.refuse(verdict.Refusal)
	case verdict.Replay != nil:
		c.replay(verdict.Replay)
	default:
		c.refuse(refuse(request.ReasonLedgerUnavailable, "the ledger gave no verdict"))
	}
}

// replay answers with a recorded answer.
func (c *call) replay(answer *claim.Answer) {
	if len(answer.Body) == 0 && answer.BodyDigest != sha256.Sum256(nil) {
		c.refuse(&request.Refusal{
			Reason:    request.ReasonAnswerNotKept,
			Execution: request.Unknown,
			Detail: "the request ran before and was answered with status " +
				strconv.Itoa(answer.Status) + "; its answer was too large to keep",
		})
		return
	}
	w := c.w
	extendWrite(w)
	w.Header().Set(HeaderReplayed, "true")
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	// The caller may have gone; there is nobody to tell.
	_, _ = w.Write(answer.Body)
	c.handler.options.Counter.Answered()
}

// digest returns the digest of a request's content.
func digest(method, uri string, body []byte) claim.Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var sum claim.Digest
	hash.Sum(sum[:0])
	return sum
}
