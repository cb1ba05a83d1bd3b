// Package entry keeps the requests that callers gave to one daemon, from
// submission to their final answer.
//
// Entries are the source of truth for waiting and running requests: a
// dispatcher is rebuilt from what they register.
package entry

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// phase is where a request stands.
type phase uint8

const (
	waiting phase = iota
	running
)

// state is what is kept per request.
type state struct {
	ticket    request.Ticket
	phase     phase
	submitted time.Time
	expires   time.Time
	upstream  version.UpstreamID
}

// Send is a message for the dispatcher of a pool.
type Send struct {
	Pool    version.PoolID
	Message wire.Message
}

// Refused is a request that ended without an upstream.
type Refused struct {
	ID      request.ID
	Refusal request.Refusal
}

// Entry holds requests. It is not safe for concurrent use.
//
// Invariant: each submitted request ends in exactly one of End, Withdraw or a
// Refused.
type Entry struct {
	requests map[request.ID]*state
	outbox   []Send
	granted  []request.Grant
	refused  []Refused
}

// New returns an entry without requests.
func New() *Entry {
	return &Entry{requests: make(map[request.ID]*state)}
}

// Len returns the number of requests held.
func (e *Entry) Len() int { return len(e.requests) }

// Count returns the numbers of waiting and running requests.
func (e *Entry) Count() (waitingCount, runningCount int) {
	for _, s := range e.requests {
		if s.phase == waiting {
			waitingCount++
		}
	}
	return waitingCount, len(e.requests) - waitingCount
}

// Submit adds a request, or another attempt of one that ended with End, and
// sends its ticket.
func (e *Entry) Submit(now time.Time, ticket request.Ticket) {
	e.requests[ticket.ID] = &state{
		ticket:    ticket,
		submitted: now.Add(-ticket.Age),
		expires:   now.Add(ticket.Wait),
	}
	e.send(ticket.Pool, wire.FromTicket(ticket))
}

// Withdraw ends a request whose caller went away while it waited.
func (e *Entry) Withdraw(id request.ID) {
	s, present := e.requests[id]
	if !present || s.phase != waiting {
		return
	}
	delete(e.requests, id)
	e.send(s.ticket.Pool, wire.Withdraw{Pool: s.ticket.Pool, ID: id})
}

// Grant handles a dispatcher's grant. One that fits no waiting attempt is
// handed back.
func (e *Entry) Grant(grant wire.Grant) {
	s, present := e.requests[grant.ID]
	if !present || s.phase != waiting || s.ticket.Attempt != grant.Attempt {
		e.handBack(grant)
		return
	}
	s.phase = running
	s.upstream = grant.Upstream
	e.granted = append(e.granted, request.Grant{
		ID:       grant.ID,
		Attempt:  grant.Attempt,
		Pool:     grant.Pool,
		Upstream: grant.Upstream,
	})
}

// Refuse handles a dispatcher's refusal.
func (e *Entry) Refuse(refuse wire.Refuse) {
	s, present := e.requests[refuse.ID]
	if !present || s.phase != waiting {
		return
	}
	e.refuse(refuse.ID, request.Refusal{
		Reason:     refuse.Reason,
		Execution:  request.NotRun,
		RetryAfter: time.Duration(refuse.RetryAfterMillis) * time.Millisecond,
	})
}

// End reports the end of a running attempt.
func (e *Entry) End(finish request.Finish) {
	s, present := e.requests[finish.ID]
	if !present || s.phase != running {
		return
	}
	delete(e.requests, finish.ID)
	e.send(finish.Pool, wire.FromFinish(finish))
}

// Tick refuses the waiting requests whose deadline has passed.
func (e *Entry) Tick(now time.Time) {
	for id, s := range e.requests {
		if s.phase == waiting && !now.Before(s.expires) {
			e.send(s.ticket.Pool, wire.Withdraw{Pool: s.ticket.Pool, ID: id})
			e.refuse(id, request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotRun})
		}
	}
}

// Register sends everything held for a pool to its (new) dispatcher.
func (e *Entry) Register(now time.Time, pool version.PoolID) {
	register := wire.Register{Pool: pool}
	for _, id := range e.ids() {
		s := e.requests[id]
		if s.ticket.Pool != pool {
			continue
		}
		if s.phase == running {
			register.Running = append(register.Running, wire.Running{
				ID:       id,
				Account:  s.ticket.Account,
				Attempt:  s.ticket.Attempt,
				Upstream: s.upstream,
			})
			continue
		}
		ticket := s.ticket
		ticket.Age = now.Sub(s.submitted)
		ticket.Wait = s.expires.Sub(now)
		register.Waiting = append(register.Waiting, wire.FromTicket(ticket))
	}
	e.send(pool, register)
}

// Outbox takes out the messages to send.
func (e *Entry) Outbox() []Send {
	out := e.outbox
	e.outbox = nil
	return out
}

// Granted takes out the grants to act on.
func (e *Entry) Granted() []request.Grant {
	out := e.granted
	e.granted = nil
	return out
}

// Refused takes out the requests to refuse.
func (e *Entry) Refused() []Refused {
	out := e.refused
	e.refused = nil
	return out
}

// ids returns the request IDs in order, so that the same events give the same
// messages.
func (e *Entry) ids() []request.ID {
	ids := make([]request.ID, 0, len(e.requests))
	for id := range e.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e *Entry) refuse(id request.ID, refusal request.Refusal) {
	delete(e.requests, id)
	e.refused = append(e.refused, Refused{ID: id, Refusal: refusal})
}

func (e *Entry) handBack(grant wire.Grant) {
	e.send(grant.Pool, wire.Finish{
		ID:       grant.ID,
		Attempt:  grant.Attempt,
		Pool:     grant.Pool,
		Upstream: grant.Upstream,
		Outcome:  request.OutcomeUnused,
	})
}

func (e *Entry) send(pool version.PoolID, message wire.Message) {
	e.outbox = append(e.outbox, Send{Pool: pool, Message: message})
}
