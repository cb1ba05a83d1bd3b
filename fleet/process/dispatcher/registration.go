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

// Lease is how long a registration lasts without renewal. An entry that cannot
// tell its dispatcher that it leaves can rely on the registration's end after
// this time.
const Lease = 3 * time.Second

// PeerLease is the same for a dispatcher of another data centre. It can be
// longer, since such a dispatcher owns no slots here: only the tickets on offer
// wait for the end of its lease.
const PeerLease = 12 * time.Second

// requestState is the state of a request at this dispatcher.
type requestState uint8

const (
	// queued is a request in the queue.
	queued requestState = iota + 1
	// offered is a request on offer to a dispatcher of another data centre.
	offered
	// running is a request that holds a slot here or, if it has a peer, at the
	// peer.
	running
)

// heldRequest is one request of a registered entry.
type heldRequest struct {
	attempt  request.Attempt
	state    requestState
	upstream version.UpstreamID
	// peer and placedID identify the placement of a request that is on offer to
	// another data centre or runs there.
	peer     *peer
	placedID request.ID
}

// registration is one entry and the requests that it registered here.
//
// Invariant: held contains each request that the entry holds for the pool, as
// far as the entry's messages have arrived.
type registration struct {
	entry   EntryID
	session wire.Session
	// remote is set for a dispatcher of another data centre.
	remote bool
	// ownerUnreachable is set if the entry cannot reach the pool's owner.
	ownerUnreachable bool
	// repliesSent counts the grants and refusals sent in the session, and
	// repliesSentAtDigest those sent before the last digest arrived.
	repliesSent         uint32
	repliesSentAtDigest uint32
	lastReceived        time.Time
	held                map[request.ID]heldRequest
	// parts collects the parts of a session's Register until all have arrived.
	parts []*wire.Register
}

// findRegistration returns an entry's complete registration, or nil.
func (d *Dispatcher) findRegistration(from EntryID) *registration {
	r, present := d.registrations[from.VM]
	if !present || r.entry != from || r.session == 0 {
		return nil
	}
	return r
}

// registrationOf returns the registration of the entry that holds a request, or
// nil.
func (d *Dispatcher) registrationOf(key request.Key) *registration {
	return d.findRegistration(EntryID{VM: key.Entry, Incarnation: key.Incarnation})
}

// Register replaces an entry's registered requests once all parts of the
// session's Register have arrived. remote is set if the entry is a dispatcher
// of another data centre.
func (d *Dispatcher) Register(now time.Time, from EntryID, remote bool, register wire.Register) {
	if !d.owner && !register.OwnerUnreachable {
		d.redirect(now, from, register.Session)
		return
	}
	r := d.registrationFor(now, from, register)
	if r == nil || !r.addPart(register) {
		return
	}
	r.remote = remote
	r.ownerUnreachable = register.OwnerUnreachable
	r.session = register.Session
	r.repliesSent, r.repliesSentAtDigest = 0, 0
	parts := r.parts
	r.parts = nil
	d.record(now, timeline.KindRegistered, request.Key{}, timeline.Event{Peer: from.VM})
	d.replaceRequests(now, r, parts)
	if !remote {
		d.join(now, r, register.Exclusive)
	}
	d.grant(now)
}

// registrationFor returns the registration that a Register belongs to and
// creates it if needed. It returns nil if the Register is of an earlier
// incarnation or not of a later session.
func (d *Dispatcher) registrationFor(now time.Time, from EntryID, register wire.Register) *registration {
	r, present := d.registrations[from.VM]
	if present && r.entry.Incarnation > from.Incarnation {
		return nil
	}
	if present && r.entry.Incarnation < from.Incarnation {
		d.dropRegistration(now, r, true, false)
		present = false
	}
	if !present {
		r = &registration{entry: from, held: make(map[request.ID]heldRequest)}
		d.registrations[from.VM] = r
		d.rebuildOrder()
	}
	if register.Session <= r.session {
		return nil
	}
	r.lastReceived = now
	return r
}

// addPart adds one part of a Register and reports whether all parts have
// arrived. Parts of an earlier session are ignored, and those of a later one
// discard what was collected.
func (r *registration) addPart(register wire.Register) bool {
	if register.Parts == 0 || register.Part >= register.Parts || register.Parts > maxRegisterParts {
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

// maxRegisterParts bounds the number of parts of a Register.
const maxRegisterParts = 1024

// replaceRequests makes the registered requests of an entry the only ones that
// are known of it. A request whose attempt and state are unchanged keeps its
// place; any other one is removed and added again. The charge of a grant is
// cancelled if the entry still has the request but does not run that attempt.
func (d *Dispatcher) replaceRequests(now time.Time, r *registration, parts []*wire.Register) {
	registered := make(map[request.ID]request.Attempt)
	isRunning := make(map[request.ID]bool)
	for _, part := range parts {
		for _, ticket := range part.Waiting {
			registered[ticket.ID] = ticket.Attempt
		}
		for _, run := range part.Running {
			registered[run.ID] = run.Attempt
			isRunning[run.ID] = true
		}
	}
	for _, id := range r.ids() {
		held := r.held[id]
		attempt, present := registered[id]
		if present && attempt == held.attempt && isRunning[id] == (held.state == running) {
			continue
		}
		d.removeRequest(now, r, id, held)
		if present && held.state == running {
			d.cancelCharge(slots.Hold{Key: requestKey(r.entry, id), Attempt: held.attempt})
		}
	}
	d.dropStaleHolds(r, isRunning)
	for _, part := range parts {
		d.adoptPart(now, r, part)
	}
}

// dropStaleHolds frees the slots that an entry's incarnation holds, here or at
// peers, for requests that it did not register as running. An entry whose
// registration was lost may have finished such requests meanwhile.
func (d *Dispatcher) dropStaleHolds(r *registration, isRunning map[request.ID]bool) {
	type staleHold struct {
		hold     slots.Hold
		upstream version.UpstreamID
	}
	var stale []staleHold
	d.slots.EachHold(r.entry.VM, r.entry.Incarnation, func(hold slots.Hold, upstream version.UpstreamID) {
		if !isRunning[hold.Key.ID] {
			stale = append(stale, staleHold{hold: hold, upstream: upstream})
		}
	})
	for _, s := range stale {
		d.slots.Drop(s.hold, s.upstream)
	}
	for _, p := range d.peers {
		p.dropStaleHolds(r.entry, isRunning)
	}
}

// adoptPart adds the requests and the evidence of one part of a Register.
func (d *Dispatcher) adoptPart(now time.Time, r *registration, part *wire.Register) {
	for _, run := range part.Running {
		d.adoptRunning(now, r, run)
	}
	for _, ticket := range part.Waiting {
		if _, present := r.held[ticket.ID]; !present {
			d.enqueue(now, r, ticket.Request())
		}
	}
	for _, evidence := range part.Evidence {
		d.slots.AddEvidence(now, r.entry.VM, evidence.Upstream, int(evidence.Answers))
	}
}

// adoptRunning adds a request that runs at an upstream here or in another data
// centre.
func (d *Dispatcher) adoptRunning(now time.Time, r *registration, run wire.Running) {
	if d.isLocal(run.Upstream) {
		hold := slots.Hold{Key: requestKey(r.entry, run.ID), Attempt: run.Attempt}
		d.slots.Occupy(now, hold, d.team(run.Account), run.Upstream)
		r.held[run.ID] = heldRequest{attempt: run.Attempt, state: running, upstream: run.Upstream}
		return
	}
	if _, present := r.held[run.ID]; present {
		return
	}
	held := heldRequest{attempt: run.Attempt, state: running, upstream: run.Upstream}
	if p := d.peerOf(run.Upstream); p != nil {
		held.peer = p
		held.placedID = p.adopt(now, d.options.Pool, requestKey(r.entry, run.ID), run)
	}
	r.held[run.ID] = held
}

// join makes the slots of the entry's VM usable. Those of cold upstreams become
// usable after a lease, unless the registration is exclusive: until then an
// earlier dispatcher may still use them.
func (d *Dispatcher) join(now time.Time, r *registration, exclusive bool) {
	since := now
	if !exclusive {
		since = now.Add(Lease)
	}
	d.slots.Join(now, r.entry.VM, since)
}

// removeRequest removes a request from the registration and from the queue, the
// peer or the slot that it occupies.
func (d *Dispatcher) removeRequest(now time.Time, r *registration, id request.ID, held heldRequest) {
	delete(r.held, id)
	key := requestKey(r.entry, id)
	switch {
	case held.state == queued:
		d.queue.Remove(now, key)
	case held.peer != nil:
		held.peer.abandon(held.placedID)
	case held.state == running:
		d.slots.Drop(slots.Hold{Key: key, Attempt: held.attempt}, held.upstream)
	}
}

// Release ends a registration at the entry's request and confirms that.
func (d *Dispatcher) Release(now time.Time, from EntryID, release wire.Release) {
	r := d.findRegistration(from)
	if r != nil && r.session == release.Session {
		d.dropRegistration(now, r, false, false)
	}
	d.send(from.VM, wire.Released{Pool: d.options.Pool, Session: release.Session})
}

// EntryLost ends the registration of a VM whose link went down. processEnded
// reports whether the VM's process is known to have ended.
func (d *Dispatcher) EntryLost(now time.Time, vm version.VMID, processEnded bool) {
	if r, present := d.registrations[vm]; present {
		d.dropRegistration(now, r, processEnded, true)
	}
}

// Digest renews a registration, or asks the entry to register again if the
// digest shows that a message was lost. Grants and refusals sent since the
// digest before may still be under way, so the held requests are compared only
// if the entry has seen all of them.
func (d *Dispatcher) Digest(now time.Time, from EntryID, digest wire.Digest) {
	r := d.findRegistration(from)
	if r == nil || r.session != digest.Session {
		d.requestReregister(from, digest.Session)
		return
	}
	r.lastReceived = now
	lost := digest.Received < r.repliesSentAtDigest || digest.Received > r.repliesSent
	if digest.Received == r.repliesSent {
		count, hash := r.holdDigest()
		lost = count != digest.Held || hash != digest.Hash
	}
	r.repliesSentAtDigest = r.repliesSent
	if lost {
		d.requestReregister(from, digest.Session)
	} else if digest.Received == r.repliesSent {
		d.slots.Renew(now, from.VM)
	}
}

// requestReregister asks an entry to register again.
func (d *Dispatcher) requestReregister(from EntryID, session wire.Session) {
	d.send(from.VM, wire.Reregister{Pool: d.options.Pool, Session: session})
}

// holdDigest returns the number and the hash of the held requests, as a
// matching digest has them.
func (r *registration) holdDigest() (count, hash uint32) {
	for id, held := range r.held {
		hash ^= wire.HoldHash(id, held.attempt, held.state == running)
	}
	return uint32(len(r.held)), hash
}

// ids returns the IDs of the held requests, in order.
func (r *registration) ids() []request.ID {
	ids := make([]request.ID, 0, len(r.held))
	for id := range r.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireRegistrations drops the registrations that were not renewed within
// their lease.
func (d *Dispatcher) expireRegistrations(now time.Time) {
	for _, r := range slices.Clone(d.order) {
		if now.Sub(r.lastReceived) > r.lease() {
			d.dropRegistration(now, r, false, true)
		}
	}
}

// lease returns how long the registration lasts without renewal.
func (r *registration) lease() time.Duration {
	if r.remote {
		return PeerLease
	}
	return Lease
}

// dropRegistration ends a registration. processEnded is set if the entry's
// process has ended, unannounced if the entry did not announce that it leaves.
// Waiting requests are forgotten, since the entry registers them elsewhere;
// running ones keep their slots for a while.
func (d *Dispatcher) dropRegistration(now time.Time, r *registration, processEnded, unannounced bool) {
	for _, id := range r.ids() {
		held := r.held[id]
		switch {
		case held.state != running:
			d.removeRequest(now, r, id, held)
		case held.peer != nil:
			held.peer.markLost(now, held.placedID)
		}
	}
	delete(d.registrations, r.entry.VM)
	d.rebuildOrder()
	d.slots.Orphan(now, r.entry.VM, r.entry.Incarnation, processEnded)
	if !r.remote {
		d.slots.Leave(now, r.entry.VM, unannounced)
	}
}
