// Package entry keeps the requests that callers gave to one daemon, from
// submission to their final answer.
//
// Entries are the source of truth for waiting and running requests: a
// dispatcher is rebuilt from what they register. For each pool an entry is
// registered with one dispatcher at a time (registration.go).
//
// A dispatcher uses an Entry too, to place tickets with the dispatchers of
// other data centres.
package entry

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// retryAfterDeadline is the advice to a caller whose wait has ended.
const retryAfterDeadline = time.Second

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

// Send is a message for a dispatcher.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Refused is a request that ended without an upstream.
type Refused struct {
	ID      request.ID
	Refusal request.Refusal
}

// Options set up an Entry.
type Options struct {
	// NextSession returns a session number higher than any before it in this
	// process.
	NextSession func() wire.Session
	// DigestInterval is how often a registration is renewed; default
	// DefaultDigestInterval.
	DigestInterval time.Duration
}

// Entry holds requests. It is not safe for concurrent use.
//
// Invariant: each submitted request ends in exactly one of End, Withdraw or a
// Refused.
type Entry struct {
	options       Options
	requests      map[request.ID]*state
	registrations map[version.PoolID]*registration
	evidence      map[version.UpstreamID]*evidence
	outbox        []Send
	granted       []request.Grant
	refused       []Refused
}

// New returns an entry without requests.
func New(options Options) *Entry {
	if options.DigestInterval == 0 {
		options.DigestInterval = DefaultDigestInterval
	}
	return &Entry{
		options:       options,
		requests:      make(map[request.ID]*state),
		registrations: make(map[version.PoolID]*registration),
		evidence:      make(map[version.UpstreamID]*evidence),
	}
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

// Submit adds a request, or another attempt of one that ended with End. Its
// ticket is sent at once or with the next registration.
func (e *Entry) Submit(now time.Time, ticket request.Ticket) {
	e.requests[ticket.ID] = &state{
		ticket:    ticket,
		submitted: now.Add(-ticket.Age),
		expires:   now.Add(ticket.Wait),
	}
	e.tell(ticket.Pool, wire.FromTicket(ticket))
}

// Adopt adds a request that runs already. The next registration tells of it.
func (e *Entry) Adopt(now time.Time, ticket request.Ticket, upstream version.UpstreamID) {
	e.requests[ticket.ID] = &state{
		ticket:    ticket,
		phase:     running,
		submitted: now,
		upstream:  upstream,
	}
	e.RegisterAgain(now, ticket.Pool)
}

// Forget drops a request without a word. The dispatcher learns of it from the
// next digest.
func (e *Entry) Forget(id request.ID) { delete(e.requests, id) }

// Withdraw ends a request whose caller went away while it waited.
func (e *Entry) Withdraw(id request.ID) {
	s, present := e.requests[id]
	if !present || s.phase != waiting {
		return
	}
	delete(e.requests, id)
	e.tell(s.ticket.Pool, wire.Withdraw{Pool: s.ticket.Pool, ID: id})
}

// Grant handles a dispatcher's grant. One that fits no waiting attempt, or
// comes from a dispatcher that the entry has left, is handed back.
func (e *Entry) Grant(from version.VMID, grant wire.Grant) {
	current := e.saw(from, grant.Pool, grant.Session)
	s, present := e.requests[grant.ID]
	if present && s.phase == running && s.ticket.Attempt == grant.Attempt && s.upstream == grant.Upstream {
		return // A duplicate.
	}
	if !current || !present || s.phase != waiting || s.ticket.Attempt != grant.Attempt {
		e.handBack(from, grant)
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

// Refuse handles a dispatcher's refusal. One that comes from a dispatcher that
// the entry has left is ignored.
func (e *Entry) Refuse(from version.VMID, refuse wire.Refuse) {
	current := e.saw(from, refuse.Pool, refuse.Session)
	s, present := e.requests[refuse.ID]
	if !current || !present || s.phase != waiting {
		return
	}
	e.refuse(refuse.ID, request.Refusal{
		Reason:     refuse.Reason,
		Execution:  request.NotRun,
		RetryAfter: time.Duration(refuse.RetryAfterMillis) * time.Millisecond,
	})
}

// End reports the end of a running attempt. expected is the first-token time
// of a healthy upstream of the pool.
func (e *Entry) End(now time.Time, finish request.Finish, expected time.Duration) {
	s, present := e.requests[finish.ID]
	if !present || s.phase != running || s.ticket.Attempt != finish.Attempt {
		return
	}
	delete(e.requests, finish.ID)
	e.learn(now, finish, expected)
	e.tell(finish.Pool, wire.FromFinish(finish))
}

// Tick refuses the waiting requests whose deadline has passed and renews the
// registrations.
func (e *Entry) Tick(now time.Time) {
	for _, id := range e.expired(now) {
		pool := e.requests[id].ticket.Pool
		e.tell(pool, wire.Withdraw{Pool: pool, ID: id})
		e.refuse(id, request.Refusal{
			Reason:     request.ReasonDeadline,
			Execution:  request.NotRun,
			RetryAfter: retryAfterDeadline,
		})
	}
	e.tickRegistrations(now)
}

// RefuseWaiting refuses the waiting requests of a pool for which no answer can
// come.
func (e *Entry) RefuseWaiting(pool version.PoolID, refusal request.Refusal) {
	for _, id := range e.ids(pool) {
		if e.requests[id].phase != waiting {
			continue
		}
		e.tell(pool, wire.Withdraw{Pool: pool, ID: id})
		e.refuse(id, refusal)
	}
}

// Request returns a held request's ticket.
func (e *Entry) Request(id request.ID) (request.Ticket, bool) {
	s, present := e.requests[id]
	if !present {
		return request.Ticket{}, false
	}
	return s.ticket, true
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

// ids returns the IDs of a pool's requests in order, so that the same events
// give the same messages.
func (e *Entry) ids(pool version.PoolID) []request.ID {
	var ids []request.ID
	for id, s := range e.requests {
		if s.ticket.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expired returns the IDs of the waiting requests whose deadline has passed,
// in order.
func (e *Entry) expired(now time.Time) []request.ID {
	var ids []request.ID
	for id, s := range e.requests {
		if s.phase == waiting && !now.Before(s.expires) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (e *Entry) refuse(id request.ID, refusal request.Refusal) {
	delete(e.requests, id)
	e.refused = append(e.refused, Refused{ID: id, Refusal: refusal})
}

func (e *Entry) handBack(to version.VMID, grant wire.Grant) {
	e.send(to, wire.Finish{
		ID:       grant.ID,
		Attempt:  grant.Attempt,
		Pool:     grant.Pool,
		Upstream: grant.Upstream,
		Outcome:  request.OutcomeUnused,
		Session:  grant.Session,
	})
}

func (e *Entry) send(to version.VMID, message wire.Message) {
	e.outbox = append(e.outbox, Send{To: to, Message: message})
}
