package ledgercheck

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// executionKey identifies a request, which must be executed at most once.
type executionKey struct {
	account version.AccountID
	key     claim.Key
}

// execution is one attempt that the upstream executed.
type execution struct {
	attempt uuid.UUID
	at      time.Time
	digest  claim.Digest
}

// upstream is a fake upstream that records the attempts that it executes.
type upstream struct {
	sim        *Sim
	executions map[executionKey][]execution
}

// execute executes an attempt that a daemon sends, even if the daemon is killed
// meanwhile.
func (u *upstream) execute(d *daemon, c *call, incarnation uint64) {
	body := make([]byte, u.sim.options.BodyBytes)
	copy(body, c.claim.Attempt[:])
	answer := &claim.Answer{Status: 201, ContentType: "application/json", Body: body, BodyDigest: sha256.Sum256(body)}
	key := executionKey{c.claim.Account, c.claim.Key}
	u.executions[key] = append(u.executions[key], execution{
		attempt: c.claim.Attempt,
		at:      u.sim.queue.now,
		digest:  answer.BodyDigest,
	})
	u.sim.reachStep(StepSent)
	if u.sim.random.Float64() < u.sim.options.BrokenAnswerFraction {
		answer = nil
	}
	u.sim.queue.after(u.sim.options.ServiceTime, func() {
		d.runUnpaused(incarnation, func() { d.handleAnswer(c, answer) })
	})
}

// executionCount returns the number of executed attempts of all keys.
func (u *upstream) executionCount() int {
	total := 0
	for _, executions := range u.executions {
		total += len(executions)
	}
	return total
}
