package serve

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// HeaderReplayed is "true" on an answer that was recorded by an earlier
// request with the same idempotency key.
const HeaderReplayed = "X-Trefoilwell-Replayed"

// claimed runs the only attempt of a request with an idempotency key. The
// caller has its final answer when it returns true.
func (c *call) claimed(attempt relay.Call) bool {
	carrier := c.handler.options.Relay
	ledger := c.handler.options.Ledger
	asked := claim.Claim{
		Account: c.account,
		Key:     *c.key,
		Request: digest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Attempt: attempt.Attempt,
	}
	verdict := c.claim(asked)
	if verdict.Run == nil {
		carrier.Settle(carrier.Unused(attempt.Grant))
		c.withoutRun(verdict)
		return true
	}
	attempt.Permit = verdict.Run
	attempt.Record = true
	result := carrier.Do(c.w, attempt)
	defer carrier.Settle(result)
	if result.NotRun {
		ledger.Release(asked)
	} else {
		ledger.Record(asked, result.Answer)
	}
	c.answer(result)
	return true
}

func (c *call) claim(asked claim.Claim) claim.Verdict {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.waitUntil)
	defer cancel()
	return c.handler.options.Ledger.Claim(ctx, asked)
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
