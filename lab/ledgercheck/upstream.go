package ledgercheck

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// runKey is what must run at most once.
type runKey struct {
	account version.AccountID
	key     claim.Key
}

// run is one attempt that reached the upstream.
type run struct {
	attempt uuid.UUID
	at      time.Time
	digest  claim.Digest
}

// upstream is a stand-in that counts what it runs.
type upstream struct {
	sim  *Sim
	runs map[runKey][]run
}

// run runs an attempt that a daemon sends, whatever becomes of the daemon.
func (u *upstream) run(d *daemon, c *call, incarnation uint64) {
	body := make([]byte, u.sim.options.BodyBytes)
	copy(body, c.claim.Attempt[:])
	answer := &claim.Answer{Status: 201, ContentType: "application/json", Body: body, BodyDigest: sha256.Sum256(body)}
	key := runKey{c.claim.Account, c.claim.Key}
	u.runs[key] = append(u.runs[key], run{
		attempt: c.claim.Attempt,
		at:      u.sim.agenda.now,
		digest:  answer.BodyDigest,
	})
	u.sim.reach(StepSent)
	if u.sim.random.Float64() < u.sim.options.BrokenAnswers {
		answer = nil
	}
	u.sim.agenda.after(u.sim.options.ServiceTime, func() {
		d.when(incarnation, func() { d.finish(c, answer) })
	})
}

// Total returns the number of runs.
func (u *upstream) total() int {
	total := 0
	for _, runs := range u.runs {
		total += len(runs)
	}
	return total
}
