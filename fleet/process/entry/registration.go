package entry

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// DefaultDigestInterval is the default of Options.DigestInterval.
	DefaultDigestInterval = time.Second
	// releaseTimeout is how long a previous dispatcher may take to confirm the release
	// of a registration.
	releaseTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax are the minimum and maximum delay before a refused
	// registration is retried.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	// maxRequestsPerPart is the maximum number of requests in one part of a Register.
	maxRequestsPerPart = 2048
	// evidenceWindow is the length of each of the two windows in which timely answers
	// are counted.
	evidenceWindow = 15 * time.Second
	// lateFactor times the expected time to first token is the time beyond which an
	// answer is late.
	lateFactor = 3
)

// Target is the dispatcher with which a pool's requests are to be registered.
type Target struct {
	// VM is the VM of the dispatcher, or empty if there is none.
	VM version.VMID
	// OwnerUnreachable is set if the entry cannot reach the pool's owner and therefore
	// registers with another dispatcher.
	OwnerUnreachable bool
}

// registrationState is the state of a registration.
type registrationState uint8

const (
	// absent means that there is no registration. Tickets wait in the entry.
	absent registrationState = iota
	// registered means that the registration is in use.
	registered
	// releasing means that the entry has released the registration and waits for the
	// dispatcher's confirmation.
	releasing
)

// registration is an entry's registration with a dispatcher for one pool.
//
// Invariant: a grant is accepted only from dispatcher, only with session, and only
// while state is not absent.
type registration struct {
	// target is the dispatcher to register with.
	target Target
	// dispatcher is the dispatcher that state refers to.
	dispatcher version.VMID
	state      registrationState
	session    wire.Session
	// received counts the grants and refusals received in the session.
	received uint32
	// exclusive is set while no other dispatcher can still use the entry's slots.
	exclusive bool
	// due is when the next digest is sent, when the release times out, or when an
	// absent registration may be retried, depending on state.
	due     time.Time
	backoff time.Duration
}

// SetTarget sets the dispatcher to register a pool's requests with. It has no effect if
// they are already registered with that dispatcher.
func (e *Entry) SetTarget(now time.Time, pool version.PoolID, target Target) {
	r, present := e.registrations[pool]
	if !present {
		r = &registration{exclusive: true}
		e.registrations[pool] = r
	}
	r.target = target
	switch {
	case r.state == absent:
		e.tryRegister(now, pool, r)
	case r.state == registered && r.dispatcher != target.VM && target.VM != "":
		e.release(now, pool, r)
	}
}

// Dispatcher returns the VM of the dispatcher that a pool's requests are registered with,
// or "" if there is none.
func (e *Entry) Dispatcher(pool version.PoolID) version.VMID {
	r, present := e.registrations[pool]
	if !present || r.state != registered {
		return ""
	}
	return r.dispatcher
}

// RegisteredOrReleasing returns the VM of the dispatcher that a pool's requests are
// registered with, or that has yet to confirm the release of the registration, or "" if
// there is none.
func (e *Entry) RegisteredOrReleasing(pool version.PoolID) version.VMID {
	r, present := e.registrations[pool]
	if !present || r.state == absent {
		return ""
	}
	return r.dispatcher
}

// LinkLost ends the registrations with a VM whose link went down. They are retried at
// retryAt at the earliest.
func (e *Entry) LinkLost(vm version.VMID, retryAt time.Time) {
	for _, r := range e.registrations {
		if r.state != absent && r.dispatcher == vm {
			r.state = absent
			r.exclusive = false
			r.due = retryAt
		}
	}
}

// Released handles a dispatcher's confirmation of a release. The entry then registers with
// its target.
func (e *Entry) Released(now time.Time, from version.VMID, released wire.Released) {
	r, present := e.registrations[released.Pool]
	if !present || r.state != releasing || r.dispatcher != from || r.session != released.Session {
		return
	}
	r.state = absent
	r.exclusive = true
	r.due = now
	e.tryRegister(now, released.Pool, r)
}

// Reregister handles the message of a dispatcher that does not know the registration. The
// entry registers again; if the dispatcher does not own the pool but is still the
// target, it does so after a backoff.
func (e *Entry) Reregister(now time.Time, from version.VMID, message wire.Reregister) {
	r, present := e.registrations[message.Pool]
	if !present || r.state != registered || r.dispatcher != from || r.session != message.Session {
		return
	}
	r.state = absent
	r.due = now
	if message.NotOwner && r.target.VM == from {
		r.backoff = min(max(2*r.backoff, backoffMin), backoffMax)
		r.due = now.Add(r.backoff)
	}
	e.tryRegister(now, message.Pool, r)
}

// RegisterAgain makes the next Tick register a pool's requests again.
func (e *Entry) RegisterAgain(now time.Time, pool version.PoolID) {
	if r, present := e.registrations[pool]; present && r.state == registered {
		r.state = absent
		r.due = now
	}
}

// tryRegister registers with the target if there is one and the registration is due.
func (e *Entry) tryRegister(now time.Time, pool version.PoolID, r *registration) {
	if r.target.VM == "" || now.Before(r.due) {
		return
	}
	r.state = registered
	r.dispatcher = r.target.VM
	r.session = e.options.NextSession()
	r.received = 0
	r.due = now.Add(e.options.DigestInterval)
	for _, part := range e.registerParts(now, pool, r) {
		e.send(r.dispatcher, part)
	}
	r.exclusive = true
}

// release releases the registration with the current dispatcher, before the entry
// registers with another one.
func (e *Entry) release(now time.Time, pool version.PoolID, r *registration) {
	r.state = releasing
	r.due = now.Add(releaseTimeout)
	e.send(r.dispatcher, wire.Release{Pool: pool, Session: r.session})
}

// tickRegistrations handles the registrations that are due: it retries absent ones, renews
// those in use, and gives up waiting for the confirmation of a release.
func (e *Entry) tickRegistrations(now time.Time) {
	for _, pool := range e.pools() {
		r := e.registrations[pool]
		if now.Before(r.due) {
			continue
		}
		switch r.state {
		case absent:
			e.tryRegister(now, pool, r)
		case registered:
			r.due = now.Add(e.options.DigestInterval)
			r.backoff = 0
			e.send(r.dispatcher, e.digest(pool, r))
		case releasing:
			r.state = absent
			r.exclusive = false
			e.tryRegister(now, pool, r)
		}
	}
}

// sendToDispatcher sends a message to the pool's dispatcher if there is a registration.
// Otherwise the next registration contains the state that the message conveys. A ticket
// is not sent while the registration is being released.
func (e *Entry) sendToDispatcher(pool version.PoolID, message wire.Message) {
	r, present := e.registrations[pool]
	if !present || r.state == absent {
		return
	}
	if _, isTicket := message.(wire.Ticket); isTicket && r.state == releasing {
		return
	}
	e.send(r.dispatcher, message)
}

// countReceived counts a received grant or refusal and reports whether it belongs to the
// current registration.
func (e *Entry) countReceived(from version.VMID, pool version.PoolID, session wire.Session) bool {
	r, present := e.registrations[pool]
	if !present || r.state == absent || r.dispatcher != from || r.session != session {
		return false
	}
	r.received++
	return true
}

// digest returns the digest of the requests held for a pool.
func (e *Entry) digest(pool version.PoolID, r *registration) wire.Digest {
	digest := wire.Digest{Pool: pool, Session: r.session, Received: r.received}
	for id, held := range e.requests {
		if held.ticket.Pool != pool {
			continue
		}
		digest.Held++
		digest.Hash ^= wire.HoldHash(id, held.ticket.Attempt, held.phase == running)
	}
	return digest
}

// registerParts returns the parts of a Register with all requests held for a pool.
func (e *Entry) registerParts(now time.Time, pool version.PoolID, r *registration) []wire.Register {
	parts := []wire.Register{{Evidence: e.recentEvidence(now, pool)}}
	for i, id := range e.ids(pool) {
		if i > 0 && i%maxRequestsPerPart == 0 {
			parts = append(parts, wire.Register{})
		}
		part := &parts[len(parts)-1]
		held := e.requests[id]
		if held.phase == running {
			part.Running = append(part.Running, held.running(id))
		} else {
			part.Waiting = append(part.Waiting, held.waiting(now))
		}
	}
	for i := range parts {
		parts[i].Pool = pool
		parts[i].Session = r.session
		parts[i].Part = uint32(i)
		parts[i].Parts = uint32(len(parts))
		parts[i].Exclusive = r.exclusive
		parts[i].OwnerUnreachable = r.target.OwnerUnreachable
	}
	return parts
}

func (held *heldRequest) running(id request.ID) wire.Running {
	return wire.Running{
		ID:       id,
		Account:  held.ticket.Account,
		Attempt:  held.ticket.Attempt,
		Upstream: held.upstream,
	}
}

func (held *heldRequest) waiting(now time.Time) wire.Ticket {
	ticket := held.ticket
	ticket.Age = now.Sub(held.submitted)
	ticket.Wait = held.expires.Sub(now)
	return wire.FromTicket(ticket)
}

// pools returns the sorted IDs of the pools with a registration.
func (e *Entry) pools() []version.PoolID {
	pools := make([]version.PoolID, 0, len(e.registrations))
	for pool := range e.registrations {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	return pools
}

// evidence counts the timely answers of one upstream, which show that it is healthy, in
// two windows.
type evidence struct {
	pool     version.PoolID
	started  time.Time
	current  uint32
	previous uint32
}

// roll starts a new window if the current one has ended.
func (ev *evidence) roll(now time.Time) {
	passed := now.Sub(ev.started)
	if passed < evidenceWindow {
		return
	}
	ev.previous = ev.current
	if passed >= 2*evidenceWindow {
		ev.previous = 0
	}
	ev.current = 0
	ev.started = now
}

// updateEvidence counts a timely answer, and drops the evidence of an upstream that failed
// or was late.
func (e *Entry) updateEvidence(now time.Time, finish request.Finish, expected time.Duration) {
	failed := finish.Outcome == request.OutcomeBroken || finish.Outcome == request.OutcomeRefused
	if failed || finish.FirstToken > lateFactor*expected {
		delete(e.evidence, finish.Upstream)
		return
	}
	if finish.Outcome != request.OutcomeDone || finish.FirstToken <= 0 || finish.FirstToken > expected {
		return
	}
	ev, present := e.evidence[finish.Upstream]
	if !present {
		ev = &evidence{pool: finish.Pool, started: now}
		e.evidence[finish.Upstream] = ev
	}
	ev.roll(now)
	ev.current++
}

// recentEvidence returns the evidence of a pool's upstreams, sorted by upstream.
func (e *Entry) recentEvidence(now time.Time, pool version.PoolID) []wire.Evidence {
	var list []wire.Evidence
	for upstream, ev := range e.evidence {
		ev.roll(now)
		answers := ev.current + ev.previous
		if answers == 0 {
			delete(e.evidence, upstream)
		} else if ev.pool == pool {
			list = append(list, wire.Evidence{Upstream: upstream, Answers: answers})
		}
	}
	slices.SortFunc(list, func(a, b wire.Evidence) int { return int(int64(a.Upstream) - int64(b.Upstream)) })
	return list
}
