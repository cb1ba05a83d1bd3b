// Package entry holds the requests that callers submitted to one daemon, from submission
// to completion.
//
// Entries are the source of truth for waiting and running requests: the state of a
// dispatcher is rebuilt from the requests that entries register with it. For each pool an
// entry is registered with one dispatcher at a time (registration.go).
//
// A dispatcher also uses an Entry to place tickets with the dispatchers of other data
// centres.
package entry

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// retryAfterDeadline is the Retry-After advice to a caller whose request was refused at its
// deadline.
const retryAfterDeadline = time.Second

// phase is the phase of a held request.
type phase uint8

const (
	waiting phase = iota
	running
)

// heldRequest is the state of a request that the entry holds.
type heldRequest struct {
	ticket    request.Ticket
	phase     phase
	submitted time.Time
	// expires is when a waiting request is refused.
	expires time.Time
	// upstream is the upstream of a running request.
	upstream version.UpstreamID
}

// Send is a message addressed to a dispatcher.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Refused is a request that was refused before it got an upstream.
type Refused struct {
	ID      request.ID
	Refusal request.Refusal
}

// Options configure an Entry.
type Options struct {
	// NextSession returns a session number that is higher than all earlier ones of this
	// process.
	NextSession func() wire.Session
	// DigestInterval is the time between two renewals of a registration; default
	// DefaultDigestInterval.
	DigestInterval time.Duration
}

// Entry holds requests. It is not safe for concurrent use.
//
// Invariant: each submitted request leaves the entry by exactly one of End, Withdraw or a
// Refused.
type Entry struct {
	options       Options
	requests      map[request.ID]*heldRequest
	registrations map[version.PoolID]*registration
	// evidence holds the recent timely answers of each upstream.
	evidence map[version.UpstreamID]*evidence
	// limits holds what was last reported of upstreams that name a limit.
	limits  map[version.UpstreamID]reportedLimit
	outbox  []Send
	granted []request.Grant
	refused []Refused
}

// New returns an entry without requests.
func New(options Options) *Entry {
	if options.DigestInterval == 0 {
		options.DigestInterval = DefaultDigestInterval
	}
	return &Entry{
		options:       options,
		requests:      make(map[request.ID]*heldRequest),
		registrations: make(map[version.PoolID]*registration),
		evidence:      make(map[version.UpstreamID]*evidence),
		limits:        make(map[version.UpstreamID]reportedLimit),
	}
}

// Len returns the number of held requests.
func (e *Entry) Len() int { return len(e.requests) }

// Count returns the numbers of waiting and running requests.
func (e *Entry) Count() (waitingCount, runningCount int) {
	for _, held := range e.requests {
		if held.phase == waiting {
			waitingCount++
		}
	}
	return waitingCount, len(e.requests) - waitingCount
}

// Submit adds a request, or a further attempt of a request whose previous attempt ended
// with End. Its ticket is sent at once or with the next registration.
func (e *Entry) Submit(now time.Time, ticket request.Ticket) {
	e.requests[ticket.ID] = &heldRequest{
		ticket:    ticket,
		submitted: now.Add(-ticket.Age),
		expires:   now.Add(ticket.Wait),
	}
	e.sendToDispatcher(ticket.Pool, wire.FromTicket(ticket))
}

// Adopt adds a request that is already running. It is sent with the next registration.
func (e *Entry) Adopt(now time.Time, ticket request.Ticket, upstream version.UpstreamID) {
	e.requests[ticket.ID] = &heldRequest{
		ticket:    ticket,
		phase:     running,
		submitted: now,
		upstream:  upstream,
	}
	e.RegisterAgain(now, ticket.Pool)
}

// Forget drops a request without a message. The dispatcher detects this by the next
// digest.
func (e *Entry) Forget(id request.ID) { delete(e.requests, id) }

// Withdraw drops a waiting request whose caller disconnected.
func (e *Entry) Withdraw(id request.ID) {
	held, present := e.requests[id]
	if !present || held.phase != waiting {
		return
	}
	delete(e.requests, id)
	e.sendToDispatcher(held.ticket.Pool, wire.Withdraw{Pool: held.ticket.Pool, ID: id})
}

// Grant handles a dispatcher's grant. A grant that matches no waiting attempt, or that
// does not belong to the current registration, is handed back.
func (e *Entry) Grant(from version.VMID, grant wire.Grant) {
	current := e.countReceived(from, grant.Pool, grant.Session)
	held, present := e.requests[grant.ID]
	if present && held.phase == running && held.ticket.Attempt == grant.Attempt && held.upstream == grant.Upstream {
		return // A duplicate.
	}
	if !current || !present || held.phase != waiting || held.ticket.Attempt != grant.Attempt {
		e.handBack(from, grant)
		return
	}
	held.phase = running
	held.upstream = grant.Upstream
	e.granted = append(e.granted, request.Grant{
		ID:       grant.ID,
		Attempt:  grant.Attempt,
		Pool:     grant.Pool,
		Upstream: grant.Upstream,
	})
}

// Refuse handles a dispatcher's refusal. A refusal that does not belong to the current
// registration is ignored.
func (e *Entry) Refuse(from version.VMID, refuse wire.Refuse) {
	current := e.countReceived(from, refuse.Pool, refuse.Session)
	held, present := e.requests[refuse.ID]
	if !current || !present || held.phase != waiting {
		return
	}
	e.refuse(refuse.ID, request.Refusal{
		Reason:     refuse.Reason,
		Execution:  request.NotExecuted,
		RetryAfter: time.Duration(refuse.RetryAfterMillis) * time.Millisecond,
	})
}

// End handles the completion of a running attempt. expected is the time to first token of
// a healthy upstream of the pool.
func (e *Entry) End(now time.Time, finish request.Finish, expected time.Duration) {
	held, present := e.requests[finish.ID]
	if !present || held.phase != running || held.ticket.Attempt != finish.Attempt {
		return
	}
	delete(e.requests, finish.ID)
	e.updateEvidence(now, finish, expected)
	e.sendToDispatcher(finish.Pool, wire.FromFinish(finish))
}

// Tick refuses the waiting requests whose deadline has passed and maintains the
// registrations.
func (e *Entry) Tick(now time.Time) {
	for _, id := range e.expired(now) {
		pool := e.requests[id].ticket.Pool
		e.sendToDispatcher(pool, wire.Withdraw{Pool: pool, ID: id})
		e.refuse(id, request.Refusal{
			Reason:     request.ReasonDeadline,
			Execution:  request.NotExecuted,
			RetryAfter: retryAfterDeadline,
		})
	}
	e.tickRegistrations(now)
}

// RefuseWaiting refuses the waiting requests of a pool that cannot be served any more.
func (e *Entry) RefuseWaiting(pool version.PoolID, refusal request.Refusal) {
	for _, id := range e.ids(pool) {
		if e.requests[id].phase != waiting {
			continue
		}
		e.sendToDispatcher(pool, wire.Withdraw{Pool: pool, ID: id})
		e.refuse(id, refusal)
	}
}

// Request returns the ticket of a held request, and false if the request is not held.
func (e *Entry) Request(id request.ID) (request.Ticket, bool) {
	held, present := e.requests[id]
	if !present {
		return request.Ticket{}, false
	}
	return held.ticket, true
}

// Outbox returns the messages to send and clears them.
func (e *Entry) Outbox() []Send {
	out := e.outbox
	e.outbox = nil
	return out
}

// Granted returns the accepted grants and clears them.
func (e *Entry) Granted() []request.Grant {
	out := e.granted
	e.granted = nil
	return out
}

// Refused returns the refused requests and clears them.
func (e *Entry) Refused() []Refused {
	out := e.refused
	e.refused = nil
	return out
}

// ids returns the sorted IDs of a pool's requests, so that the same events produce the
// same messages.
func (e *Entry) ids(pool version.PoolID) []request.ID {
	var ids []request.ID
	for id, held := range e.requests {
		if held.ticket.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expired returns the sorted IDs of the waiting requests whose deadline has passed.
func (e *Entry) expired(now time.Time) []request.ID {
	var ids []request.ID
	for id, held := range e.requests {
		if held.phase == waiting && !now.Before(held.expires) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// refuse drops a request and adds it to the refused ones.
func (e *Entry) refuse(id request.ID, refusal request.Refusal) {
	delete(e.requests, id)
	e.refused = append(e.refused, Refused{ID: id, Refusal: refusal})
}

// handBack returns an unused grant to its dispatcher.
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
