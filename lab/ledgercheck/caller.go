package ledgercheck

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// AnswerKind tells what a caller got.
type AnswerKind int

const (
	// AnswerNone is no answer: the daemon died or the caller left.
	AnswerNone AnswerKind = iota
	// AnswerRun is the upstream's answer to this call's attempt.
	AnswerRun
	// AnswerBroken is an answer that was cut short.
	AnswerBroken
	// AnswerReplay is the recorded answer to an earlier call.
	AnswerReplay
	// AnswerRefusal is a refusal.
	AnswerRefusal
)

// Answer is what a caller got.
type Answer struct {
	Kind    AnswerKind
	Digest  claim.Digest
	Refusal *request.Refusal
}

// call is one HTTP call of a caller.
type call struct {
	sim       *Sim
	claim     claim.Claim
	daemon    int
	began     time.Time
	deadline  time.Time
	permitted time.Time
	ended     time.Time
	got       Answer
	then      func(*call)
}

// callDeadline is how long a caller waits.
const callDeadline = 20 * time.Second

// answer ends the call if the caller still waits.
func (c *call) answer(_ *daemon, answer Answer) {
	if !c.ended.IsZero() {
		return
	}
	c.ended = c.sim.agenda.now
	c.got = answer
	c.sim.check(c)
	c.then(c)
}

// NewKey returns an unused idempotency key of the present time.
func (s *Sim) NewKey() claim.Key { return s.newKeyAged(0) }

// newKeyAged returns an unused key that is up to an age old.
func (s *Sim) newKeyAged(age time.Duration) claim.Key {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], s.random.Uint64())
	at := s.agenda.now
	if age > 0 {
		at = at.Add(-randomTime(s.random, age))
	}
	return claim.NewKey(at, random)
}

// Call makes a call through a daemon. Its end calls then.
func (s *Sim) Call(vm int, key claim.Key, content byte, then func(Answer)) {
	s.call(vm, key, content, func(c *call) { then(c.got) })
}

func (s *Sim) call(vm int, key claim.Key, content byte, then func(*call)) *call {
	c := &call{
		sim:      s,
		daemon:   vm,
		began:    s.agenda.now,
		deadline: s.agenda.now.Add(callDeadline),
		then:     then,
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
		s.agenda.after(time.Millisecond, func() { c.answer(d, Answer{}) })
		return c
	}
	d.submit(c)
	s.agenda.at(c.deadline, func() { c.answer(d, Answer{}) })
	return c
}

func (s *Sim) newAttempt() uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], s.random.Uint64())
	binary.BigEndian.PutUint64(id[8:], s.random.Uint64())
	return id
}

// notSent is what a daemon answers for a permit that it did not use.
func notSent() *request.Refusal {
	return &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotRun}
}
