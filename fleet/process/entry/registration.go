package entry

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// DefaultDigestInterval is how often a registration is renewed if Options
	// say nothing.
	DefaultDigestInterval = time.Second
	// releaseTimeout is how long an old dispatcher may take to confirm that
	// the entry has left.
	releaseTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax bound the pause before a registration that was
	// refused is tried again.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	// maxPart bounds the requests in one part of a Register.
	maxPart = 2048
	// evidenceWindow is the length of each of the two windows in which prompt
	// answers are counted.
	evidenceWindow = 15 * time.Second
	// lateFactor is how many times the expected first-token time is late.
	lateFactor = 3
)

// Target is the dispatcher that a pool's requests are to be registered with.
type Target struct {
	// VM is empty if there is none.
	VM version.VMID
	// Insist says that the pool's owner cannot be reached.
	Insist bool
}

// progress is how far a registration has come.
type progress uint8

const (
	// absent is no registration; tickets wait here.
	absent progress = iota
	// registered is a registration in use.
	registered
	// releasing is one that the entry has left, until the dispatcher confirms.
	releasing
)

// registration is one pool's tie to a dispatcher.
//
// Invariant: a grant is accepted only from dispatcher, only of session, and
// only while progress is not absent.
type registration struct {
	target     Target
	dispatcher version.VMID
	progress   progress
	session    wire.Session
	// seen counts the grants and refusals of the session.
	seen uint32
	// clean is set while no dispatcher may still use the entry's slots.
	clean bool
	// due is when the next digest is sent, the release times out or an absent
	// registration may be tried.
	due     time.Time
	backoff time.Duration
}

// SetTarget sets the dispatcher to register a pool's requests with. It does
// nothing if that is so already.
func (e *Entry) SetTarget(now time.Time, pool version.PoolID, target Target) {
	r, present := e.registrations[pool]
	if !present {
		r = &registration{clean: true}
		e.registrations[pool] = r
	}
	r.target = target
	switch {
	case r.progress == absent:
		e.tryRegister(now, pool, r)
	case r.progress == registered && r.dispatcher != target.VM && target.VM != "":
		e.release(now, pool, r)
	}
}

// Dispatcher returns the VM that a pool's requests are registered with, or "".
func (e *Entry) Dispatcher(pool version.PoolID) version.VMID {
	r, present := e.registrations[pool]
	if !present || r.progress != registered {
		return ""
	}
	return r.dispatcher
}

// Tied returns the VM that a pool's requests are registered with or that has
// yet to confirm that the entry has left, or "".
func (e *Entry) Tied(pool version.PoolID) version.VMID {
	r, present := e.registrations[pool]
	if !present || r.progress == absent {
		return ""
	}
	return r.dispatcher
}

// Lost ends the registrations with a VM that the link to went down. They are
// not tried again before again.
func (e *Entry) Lost(vm version.VMID, again time.Time) {
	for _, r := range e.registrations {
		if r.progress != absent && r.dispatcher == vm {
			r.progress = absent
			r.clean = false
			r.due = again
		}
	}
}

// Released handles a dispatcher's confirmation that the entry has left.
func (e *Entry) Released(now time.Time, from version.VMID, released wire.Released) {
	r, present := e.registrations[released.Pool]
	if !present || r.progress != releasing || r.dispatcher != from || r.session != released.Session {
		return
	}
	r.progress = absent
	r.clean = true
	r.due = now
	e.tryRegister(now, released.Pool, r)
}

// Reregister handles a dispatcher that does not know the registration.
func (e *Entry) Reregister(now time.Time, from version.VMID, message wire.Reregister) {
	r, present := e.registrations[message.Pool]
	if !present || r.progress != registered || r.dispatcher != from || r.session != message.Session {
		return
	}
	r.progress = absent
	r.due = now
	if message.Elsewhere && r.target.VM == from {
		r.backoff = min(max(2*r.backoff, backoffMin), backoffMax)
		r.due = now.Add(r.backoff)
	}
	e.tryRegister(now, message.Pool, r)
}

// RegisterAgain makes the next Tick register a pool anew.
func (e *Entry) RegisterAgain(now time.Time, pool version.PoolID) {
	if r, present := e.registrations[pool]; present && r.progress == registered {
		r.progress = absent
		r.due = now
	}
}

// tryRegister registers with the target if there is one and it is time.
func (e *Entry) tryRegister(now time.Time, pool version.PoolID, r *registration) {
	if r.target.VM == "" || now.Before(r.due) {
		return
	}
	r.progress = registered
	r.dispatcher = r.target.VM
	r.session = e.options.NextSession()
	r.seen = 0
	r.due = now.Add(e.options.DigestInterval)
	for _, part := range e.register(now, pool, r) {
		e.send(r.dispatcher, part)
	}
	r.clean = true
}

// release leaves the present dispatcher before another one is registered with.
func (e *Entry) release(now time.Time, pool version.PoolID, r *registration) {
	r.progress = releasing
	r.due = now.Add(releaseTimeout)
	e.send(r.dispatcher, wire.Release{Pool: pool, Session: r.session})
}

func (e *Entry) tickRegistrations(now time.Time) {
	for _, pool := range e.pools() {
		r := e.registrations[pool]
		if now.Before(r.due) {
			continue
		}
		switch r.progress {
		case absent:
			e.tryRegister(now, pool, r)
		case registered:
			r.due = now.Add(e.options.DigestInterval)
			r.backoff = 0
			e.send(r.dispatcher, e.digest(pool, r))
		case releasing:
			r.progress = absent
			r.clean = false
			e.tryRegister(now, pool, r)
		}
	}
}

// tell sends a message to the pool's dispatcher if there is one. Otherwise the
// next registration tells all that matters of it.
func (e *Entry) tell(pool version.PoolID, message wire.Message) {
	r, present := e.registrations[pool]
	if !present || r.progress == absent {
		return
	}
	if _, isTicket := message.(wire.Ticket); isTicket && r.progress == releasing {
		return
	}
	e.send(r.dispatcher, message)
}

// saw counts a grant or refusal and reports whether it belongs to the present
// registration.
func (e *Entry) saw(from version.VMID, pool version.PoolID, session wire.Session) bool {
	r, present := e.registrations[pool]
	if !present || r.progress == absent || r.dispatcher != from || r.session != session {
		return false
	}
	r.seen++
	return true
}

func (e *Entry) digest(pool version.PoolID, r *registration) wire.Digest {
	digest := wire.Digest{Pool: pool, Session: r.session, Seen: r.seen}
	for id, s := range e.requests {
		if s.ticket.Pool != pool {
			continue
		}
		digest.Held++
		digest.Hash ^= wire.HoldHash(id, s.ticket.Attempt, s.phase == running)
	}
	return digest
}

// register returns the parts of a Register for all that is held for a pool.
func (e *Entry) register(now time.Time, pool version.PoolID, r *registration) []wire.Register {
	parts := []wire.Register{{Evidence: e.recentEvidence(now, pool)}}
	for i, id := range e.ids(pool) {
		if i > 0 && i%maxPart == 0 {
			parts = append(parts, wire.Register{})
		}
		part := &parts[len(parts)-1]
		s := e.requests[id]
		if s.phase == running {
			part.Running = append(part.Running, s.running(id))
		} else {
			part.Waiting = append(part.Waiting, s.waiting(now))
		}
	}
	for i := range parts {
		parts[i].Pool = pool
		parts[i].Session = r.session
		parts[i].Part = uint32(i)
		parts[i].Parts = uint32(len(parts))
		parts[i].Clean = r.clean
		parts[i].Insist = r.target.Insist
	}
	return parts
}

func (s *state) running(id request.ID) wire.Running {
	return wire.Running{
		ID:       id,
		Account:  s.ticket.Account,
		Attempt:  s.ticket.Attempt,
		Upstream: s.upstream,
	}
}

func (s *state) waiting(now time.Time) wire.Ticket {
	ticket := s.ticket
	ticket.Age = now.Sub(s.submitted)
	ticket.Wait = s.expires.Sub(now)
	return wire.FromTicket(ticket)
}

func (e *Entry) pools() []version.PoolID {
	pools := make([]version.PoolID, 0, len(e.registrations))
	for pool := range e.registrations {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	return pools
}

// evidence counts prompt answers of one upstream in two windows.
type evidence struct {
	pool     version.PoolID
	started  time.Time
	current  uint32
	previous uint32
}

// turn moves on to the window that now belongs to.
func (w *evidence) turn(now time.Time) {
	passed := now.Sub(w.started)
	if passed < evidenceWindow {
		return
	}
	w.previous = w.current
	if passed >= 2*evidenceWindow {
		w.previous = 0
	}
	w.current = 0
	w.started = now
}

// learn counts a prompt answer, and forgets all of an upstream that failed or
// was late.
func (e *Entry) learn(now time.Time, finish request.Finish, expected time.Duration) {
	failed := finish.Outcome == request.OutcomeBroken || finish.Outcome == request.OutcomeRefused
	if failed || finish.FirstToken > lateFactor*expected {
		delete(e.evidence, finish.Upstream)
		return
	}
	if finish.Outcome != request.OutcomeDone || finish.FirstToken <= 0 || finish.FirstToken > expected {
		return
	}
	w, present := e.evidence[finish.Upstream]
	if !present {
		w = &evidence{pool: finish.Pool, started: now}
		e.evidence[finish.Upstream] = w
	}
	w.turn(now)
	w.current++
}

func (e *Entry) recentEvidence(now time.Time, pool version.PoolID) []wire.Evidence {
	var list []wire.Evidence
	for upstream, w := range e.evidence {
		w.turn(now)
		answers := w.current + w.previous
		if answers == 0 {
			delete(e.evidence, upstream)
		} else if w.pool == pool {
			list = append(list, wire.Evidence{Upstream: upstream, Answers: answers})
		}
	}
	slices.SortFunc(list, func(a, b wire.Evidence) int { return int(int64(a.Upstream) - int64(b.Upstream)) })
	return list
}
