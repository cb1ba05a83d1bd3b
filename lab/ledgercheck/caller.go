package ledgercheck

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// AnswerKind is how a call of a caller ended.
type AnswerKind int

const (
	// AnswerNone is no answer: the daemon was killed, or the caller disconnected or
	// timed out.
	AnswerNone AnswerKind = iota
	// AnswerExecuted is the upstream's answer to this call's own attempt.
	AnswerExecuted
	// AnswerBroken is a truncated answer.
	AnswerBroken
	// AnswerReplay is the recorded answer to an earlier call.
	AnswerReplay
	// AnswerRefusal is a refusal by the daemon.
	AnswerRefusal
)

// Answer is the result of a call for its caller. Digest is the digest of the body
// and is set for AnswerExecuted and AnswerReplay; Refusal is set for AnswerRefusal.
type Answer struct {
	Kind    AnswerKind
	Digest  claim.Digest
	Refusal *request.Refusal
}

// call is one HTTP call of a caller. Its times are virtual; those of steps that it
// has not reached are zero.
type call struct {
	sim         *Sim
	claim       claim.Claim
	daemon      int
	startedAt   time.Time
	deadline    time.Time
	permittedAt time.Time
	endedAt     time.Time
	result      Answer
	onEnd       func(*call)
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 20 * time.Second

// end ends the call with an answer, unless it has ended already.
func (c *call) end(_ *daemon, answer Answer) {
	if !c.endedAt.IsZero() {
		return
	}
	c.endedAt = c.sim.queue.now
	c.result = answer
	c.sim.checkAnswer(c)
	c.onEnd(c)
}

// NewKey returns an unused idempotency key with the current virtual time.
func (s *Sim) NewKey() claim.Key { return s.newKeyOfAge(0) }

// newKeyOfAge returns an unused key whose time lies up to maxAge in the past.
func (s *Sim) newKeyOfAge(maxAge time.Duration) claim.Key {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], s.random.Uint64())
	at := s.queue.now
	if maxAge > 0 {
		at = at.Add(-randomDuration(s.random, maxAge))
	}
	return claim.NewKey(at, random)
}

// Call makes a call through the daemon of a VM, given by its index. onEnd is called
// with the answer.
func (s *Sim) Call(vm int, key claim.Key, content byte, onEnd func(Answer)) {
	s.call(vm, key, content, func(c *call) { onEnd(c.result) })
}

func (s *Sim) call(vm int, key claim.Key, content byte, onEnd func(*call)) *call {
	c := &call{
		sim:       s,
		daemon:    vm,
		startedAt: s.queue.now,
		deadline:  s.queue.now.Add(callerTimeout),
		onEnd:     onEnd,
		claim: claim.Claim{
			Account: version.AccountID(1),
			Key:     key,
			Request: claim.Digest{content},
			Attempt: s.newAttempt(),
		},
	}
	s.calls = append(s.calls, c)
	d := s.daemons[vm]
	if !d.up {
		s.queue.after(time.Millisecond, func() { c.end(d, Answer{}) })
		return c
	}
	d.submit(c)
	s.queue.at(c.deadline, func() { c.end(d, Answer{}) })
	return c
}

func (s *Sim) newAttempt() uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], s.random.Uint64())
	binary.BigEndian.PutUint64(id[8:], s.random.Uint64())
	return id
}

// notSent returns the refusal that a daemon answers if it did not use a permit.
func notSent() *request.Refusal {
	return &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotExecuted}
}
