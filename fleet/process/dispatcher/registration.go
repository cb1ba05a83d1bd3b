package dispatcher

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Lease is how long a registration lasts that nothing renews. An entry that
// cannot tell a dispatcher that it leaves can be sure of it after this time.
const Lease = 3 * time.Second

// PeerLease is the same for a dispatcher of another data centre. Its daemon
// owns no slots here, so nothing but tickets on offer waits for the end of it.
const PeerLease = 12 * time.Second

// place is where a request stands.
type place uint8

const (
	// queued waits in the queue.
	queued place = iota + 1
	// offered is on offer to a dispatcher of another data centre.
	offered
	// running holds a slot here or, with a peer, there.
	running
)

// held is what is known of one request of a registered entry.
type held struct {
	attempt  request.Attempt
	place    place
	upstream version.UpstreamID
	// peer and id tell where an offered request, or one that runs in another
	// data centre, is placed.
	peer *peer
	id   request.ID
}

// registration is an entry whose requests are handled here.
//
// Invariant: held has each request that the entry holds for the pool, as far
// as its messages have come.
type registration struct {
	entry   Entry
	session wire.Session
	// remote is set for a dispatcher of another data centre.
	remote bool
	// insists is set for an entry that cannot reach the pool's owner.
	insists bool
	// sent counts the grants and refusals of the session, and sentBefore those
	// up to the last digest.
	sent       uint32
	sentBefore uint32
	heard      time.Time
	held       map[request.ID]held
	// parts collects a session's Register until it is whole.
	parts []*wire.Register
}

// registered returns an entry's registration, or nil.
func (d *Dispatcher) registered(from Entry) *registration {
	r, present := d.registrations[from.VM]
	if !present || r.entry != from || r.session == 0 {
		return nil
	}
	return r
}

func (d *Dispatcher) registrationOf(key request.Key) *registration {
	return d.registered(Entry{VM: key.Entry, Incarnation: key.Incarnation})
}

// Register replaces what is known of an entry once all parts of the session
// are there. remote says that the entry is a dispatcher of another data centre.
func (d *Dispatcher) Register(now time.Time, from Entry, remote bool, register wire.Register) {
	if !d.owner && !register.Insist {
		d.sendAway(now, from, register.Session)
		return
	}
	r := d.admit(now, from, register)
	if r == nil || !r.collect(register) {
		return
	}
	r.remote = remote
	r.insists = register.Insist
	r.session = register.Session
	r.sent, r.sentBefore = 0, 0
	parts := r.parts
	r.parts = nil
	d.record(now, timeline.KindRegistered, request.Key{}, timeline.Event{Peer: from.VM})
	d.replace(now, r, parts)
	if !remote {
		d.join(now, r, register.Clean)
	}
	d.grant(now)
}

// admit returns the registration that a Register is for. It is nil for one
// that is out of date.
func (d *Dispatcher) admit(now time.Time, from Entry, register wire.Register) *registration {
	r, present := d.registrations[from.VM]
	if present && r.entry.Incarnation > from.Incarnation {
		return nil
	}
	if present && r.entry.Incarnation < from.Incarnation {
		d.drop(now, r, true, false)
		present = false
	}
	if !present {
		r = &registration{entry: from, held: make(map[request.ID]held)}
		d.registrations[from.VM] = r
		d.sortRegistrations()
	}
	if register.Session <= r.session {
		return nil
	}
	r.heard = now
	return r
}

// collect adds a part and reports whether all are there.
func (r *registration) collect(register wire.Register) bool {
	if register.Parts == 0 || register.Part >= register.Parts || register.Parts > maxParts {
		return false
	}
	first := slices.IndexFunc(r.parts, func(p *wire.Register) bool { return p != nil })
	if first >= 0 && r.parts[first].Session > register.Session {
		return false
	}
	if first < 0 || r.parts[first].Session < register.Session || len(r.parts) != int(register.Parts) {
		r.parts = make([]*wire.Register, register.Parts)
	}
	r.parts[register.Part] = &register
	return !slices.Contains(r.parts, nil)
}

// maxParts bounds the parts of a Register.
const maxParts = 1024

// replace makes what an entry registered all that is known of it.
func (d *Dispatcher) replace(now time.Time, r *registration, parts []*wire.Register) {
	keep := make(map[request.ID]request.Attempt)
	isRunning := make(map[request.ID]bool)
	for _, part := range parts {
		for _, ticket := range part.Waiting {
			keep[ticket.ID] = ticket.Attempt
		}
		for _, run := range part.Running {
			keep[run.ID] = run.Attempt
			isRunning[run.ID] = true
		}
	}
	for _, id := range r.ids() {
		known := r.held[id]
		attempt, present := keep[id]
		if present && attempt == known.attempt && isRunning[id] == (known.place == running) {
			continue
		}
		d.forget(now, r, id, known)
		if present && known.place == running {
			d.uncharge(slots.Hold{Key: keyOf(r.entry, id), Attempt: known.attempt})
		}
	}
	d.dropStrays(r, isRunning)
	for _, part := range parts {
		d.adopt(now, r, part)
	}
}

// dropStrays frees the slots that an entry held before it was lost and does
// not hold any more.
func (d *Dispatcher) dropStrays(r *registration, isRunning map[request.ID]bool) {
	type stray struct {
		hold     slots.Hold
		upstream version.UpstreamID
	}
	var strays []stray
	d.slots.Held(r.entry.VM, r.entry.Incarnation, func(hold slots.Hold, upstream version.UpstreamID) {
		if !isRunning[hold.Key.ID] {
			strays = append(strays, stray{hold: hold, upstream: upstream})
		}
	})
	for _, s := range strays {
		d.slots.Drop(s.hold, s.upstream)
	}
	for _, p := range d.peers {
		p.dropStrays(r.entry, isRunning)
	}
}

// adopt adds what a part of a Register brings.
func (d *Dispatcher) adopt(now time.Time, r *registration, part *wire.Register) {
	for _, run := range part.Running {
		d.adoptRunning(now, r, run)
	}
	for _, ticket := range part.Waiting {
		if _, present := r.held[ticket.ID]; !present {
			d.enqueue(now, r, ticket.Request())
		}
	}
	for _, evidence := range part.Evidence {
		d.slots.Restore(now, r.entry.VM, evidence.Upstream, int(evidence.Answers))
	}
}

func (d *Dispatcher) adoptRunning(now time.Time, r *registration, run wire.Running) {
	if d.local(run.Upstream) {
		hold := slots.Hold{Key: keyOf(r.entry, run.ID), Attempt: run.Attempt}
		d.slots.Occupy(now, hold, d.team(run.Account), run.Upstream)
		r.held[run.ID] = held{attempt: run.Attempt, place: running, upstream: run.Upstream}
		return
	}
	if _, present := r.held[run.ID]; present {
		return
	}
	known := held{attempt: run.Attempt, place: running, upstream: run.Upstream}
	if p := d.peerOf(run.Upstream); p != nil {
		known.peer = p
		known.id = p.adopt(now, d.options.Pool, keyOf(r.entry, run.ID), run)
	}
	r.held[run.ID] = known
}

// join makes the slots of the entry's VM usable.
func (d *Dispatcher) join(now time.Time, r *registration, clean bool) {
	since := now
	if !clean {
		since = now.Add(Lease)
	}
	d.slots.Join(now, r.entry.VM, since)
}

// forget removes a request from wherever it is.
func (d *Dispatcher) forget(now time.Time, r *registration, id request.ID, known held) {
	delete(r.held, id)
	key := keyOf(r.entry, id)
	switch {
	case known.place == queued:
		d.queue.Remove(now, key)
	case known.peer != nil:
		known.peer.abandon(known.id)
	case known.place == running:
		d.slots.Drop(slots.Hold{Key: key, Attempt: known.attempt}, known.upstream)
	}
}

// Release ends a registration that the entry has left.
func (d *Dispatcher) Release(now time.Time, from Entry, release wire.Release) {
	r := d.registered(from)
	if r != nil && r.session == release.Session {
		d.drop(now, r, false, false)
	}
	d.send(from.VM, wire.Released{Pool: d.options.Pool, Session: release.Session})
}

// Lost ends the registration of a VM that the link to went down. settled says
// that the process has ended.
func (d *Dispatcher) Lost(now time.Time, vm version.VMID, settled bool) {
	if r, present := d.registrations[vm]; present {
		d.drop(now, r, settled, true)
	}
}

// Digest renews a registration, or asks for a new one if messages were lost.
func (d *Dispatcher) Digest(now time.Time, from Entry, digest wire.Digest) {
	r := d.registered(from)
	if r == nil || r.session != digest.Session {
		d.askAgain(from, digest.Session)
		return
	}
	r.heard = now
	lost := digest.Seen < r.sentBefore || digest.Seen > r.sent
	if digest.Seen == r.sent {
		count, hash := r.sum()
		lost = count != digest.Held || hash != digest.Hash
	}
	r.sentBefore = r.sent
	if lost {
		d.askAgain(from, digest.Session)
	} else if digest.Seen == r.sent {
		d.slots.Heard(now, from.VM)
	}
}

func (d *Dispatcher) askAgain(from Entry, session wire.Session) {
	d.send(from.VM, wire.Reregister{Pool: d.options.Pool, Session: session})
}

// sum returns the numbers that a matching digest has.
func (r *registration) sum() (count, hash uint32) {
	for id, known := range r.held {
		hash ^= wire.HoldHash(id, known.attempt, known.place == running)
	}
	return uint32(len(r.held)), hash
}

// ids returns the IDs of what is held, in order.
func (r *registration) ids() []request.ID {
	ids := make([]request.ID, 0, len(r.held))
	for id := range r.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireRegistrations drops the registrations that were not renewed.
func (d *Dispatcher) expireRegistrations(now time.Time) {
	for _, r := range slices.Clone(d.order) {
		if now.Sub(r.heard) > r.lease() {
			d.drop(now, r, false, true)
		}
	}
}

// lease returns how long the registration lasts that nothing renews.
func (r *registration) lease() time.Duration {
	if r.remote {
		return PeerLease
	}
	return Lease
}

// drop ends a registration. settled says that its process has ended, silent
// that the entry did not say that it leaves. What waits is forgotten, since the entry registers
// it elsewhere; what runs keeps its slots for a while.
func (d *Dispatcher) drop(now time.Time, r *registration, settled, silent bool) {
	for _, id := range r.ids() {
		known := r.held[id]
		switch {
		case known.place != running:
			d.forget(now, r, id, known)
		case known.peer != nil:
			known.peer.lose(now, known.id)
		}
	}
	delete(d.registrations, r.entry.VM)
	d.sortRegistrations()
	d.slots.Orphan(now, r.entry.VM, r.entry.Incarnation, settled)
	if !r.remote {
		d.slots.Leave(now, r.entry.VM, silent)
	}
}
