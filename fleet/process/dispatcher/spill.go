package dispatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/entry"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// needInterval is how often a dispatcher whose tickets wait says so.
	needInterval = 5 * time.Second
	// needTime is how long it is then told of free slots.
	needTime = 12 * time.Second
	// peerRetry is how long after a lost link a peer is registered with again.
	peerRetry = 100 * time.Millisecond
	// peerDigestInterval is how often a registration with a peer is renewed.
	// There is one for each pool and data centre, so it weighs on the control
	// traffic of a large fleet.
	peerDigestInterval = PeerLease / 3
	// lostTime is how long what a lost entry runs at a peer keeps its slot.
	lostTime = 10 * time.Second
	// vacancyInterval is the least time between two vacancies with free slots
	// for the same dispatcher.
	vacancyInterval = 200 * time.Millisecond
)

// Peer is the dispatcher of the same pool in another data centre.
type Peer struct {
	DataCentre version.DataCentreID
	// VM is the daemon that dispatches there; empty is none that is linked.
	VM version.VMID
	// Distance orders peers: 0 is the same region.
	Distance int
}

// peer is what is kept per Peer.
//
// Invariant: a request in placed is out of the queue, and it is granted to its
// entry only when the proxy got a grant for it. So it is granted once.
type peer struct {
	Peer
	// proxy registers there what is placed there.
	proxy  *entry.Entry
	placed map[request.ID]placement
	nextID request.ID
	// free is how many more offers may find a slot there.
	free   int
	needed time.Time
	// wanted is until when the peer wants to be told of free slots here.
	wanted   time.Time
	told     int
	toldTime time.Time
	// lowest is the lowest level that waits there, and toldLowest what the
	// peer was last told of here.
	lowest     lowestWaiting
	toldLowest uint64
	refusals   refusals
}

// SetPeers sets the dispatchers of the same pool elsewhere.
func (d *Dispatcher) SetPeers(now time.Time, list []Peer) {
	for _, p := range list {
		known := d.peerIn(p.DataCentre)
		if known == nil {
			known = d.newPeer()
			d.peers = append(d.peers, known)
		}
		if known.VM != p.VM {
			known.free, known.needed, known.wanted = 0, time.Time{}, time.Time{}
		}
		known.Peer = p
		known.proxy.SetTarget(now, d.options.Pool, entry.Target{VM: p.VM})
	}
	slices.SortFunc(d.peers, func(a, b *peer) int {
		if a.Distance != b.Distance {
			return a.Distance - b.Distance
		}
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
}

func (d *Dispatcher) newPeer() *peer {
	return &peer{
		proxy: entry.New(entry.Options{
			NextSession:    d.options.NextSession,
			DigestInterval: peerDigestInterval,
		}),
		placed: make(map[request.ID]placement),
	}
}

func (d *Dispatcher) peerIn(dataCentre version.DataCentreID) *peer {
	for _, p := range d.peers {
		if p.DataCentre == dataCentre {
			return p
		}
	}
	return nil
}

// peerOf returns the peer in the data centre of an upstream, or nil.
func (d *Dispatcher) peerOf(id version.UpstreamID) *peer {
	upstream, present := d.config.Upstreams[id]
	if !present {
		return nil
	}
	return d.peerIn(upstream.DataCentre)
}

// FromPeer handles a message of a dispatcher in another data centre to which
// tickets were offered.
func (d *Dispatcher) FromPeer(now time.Time, from version.VMID, message wire.Message) {
	for _, p := range d.peers {
		if p.VM == from || p.proxy.Tied(d.options.Pool) == from {
			d.fromPeer(now, p, from, message)
			d.settlePeer(now, p)
		}
	}
}

func (d *Dispatcher) fromPeer(now time.Time, p *peer, from version.VMID, message wire.Message) {
	switch m := message.(type) {
	case wire.Grant:
		p.refusals = refusals{}
		p.proxy.Grant(from, m)
	case wire.Refuse:
		p.free = 0
		p.refusals.refused(now)
		p.proxy.Refuse(from, m)
	case wire.Released:
		p.proxy.Released(now, from, m)
	case wire.Reregister:
		p.proxy.Reregister(now, from, m)
	case wire.Vacancy:
		p.free = int(m.Free)
		d.hearLowest(now, p, m.Lowest)
		d.offer(now)
	case wire.Need:
		p.wanted = now.Add(needTime)
		p.told = -1
		d.tell(now, p)
	}
}

// PeerLost puts the tickets that were on offer to a VM back in the queue.
func (d *Dispatcher) PeerLost(now time.Time, vm version.VMID) {
	for _, p := range d.peers {
		if p.VM != vm && p.proxy.Tied(d.options.Pool) != vm {
			continue
		}
		p.free = 0
		p.proxy.Lost(vm, now.Add(peerRetry))
		d.takeBack(now, p)
	}
}

// takeBack puts what a peer has not granted back in the queue.
func (d *Dispatcher) takeBack(now time.Time, p *peer) {
	for _, id := range p.ids() {
		placed := p.placed[id]
		r := d.registrationOf(placed.key)
		if r != nil && r.held[placed.key.ID].place == offered {
			p.abandon(id)
			d.push(now, r, placed.item)
		}
	}
}

// offer sends what waits to peers with free slots, nearest first.
func (d *Dispatcher) offer(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	for _, p := range d.peers {
		if p.proxy.Dispatcher(d.options.Pool) == "" {
			continue
		}
		if now.Sub(p.needed) >= needInterval {
			p.needed = now
			d.send(p.VM, wire.Need{Pool: d.options.Pool})
		}
		for p.free > 0 && d.offerNext(now, p) {
			p.free--
		}
	}
	d.balance(now)
}

// offerNext offers the first ticket in fair order to a peer and reports whether
// there was one. A ticket that came from another data centre goes no further.
func (d *Dispatcher) offerNext(now time.Time, p *peer) bool {
	for item := range d.queue.Candidates(now) {
		r := d.registrationOf(item.Key)
		if r.remote {
			continue
		}
		d.queue.Remove(now, item.Key)
		id := p.place(now, item)
		r.held[item.Key.ID] = held{attempt: item.Ticket.Attempt, place: offered, peer: p, id: id}
		d.counts.Spilled++
		d.record(now, timeline.KindSpilled, item.Key, timeline.Event{Peer: p.VM})
		return true
	}
	return false
}

// settlePeer acts on what the proxy was told.
func (d *Dispatcher) settlePeer(now time.Time, p *peer) {
	for _, grant := range p.proxy.Granted() {
		d.grantedThere(now, p, grant)
	}
	for _, refused := range p.proxy.Refused() {
		d.refusedThere(now, p, refused.ID)
	}
}

// grantedThere passes a peer's grant on to the entry.
func (d *Dispatcher) grantedThere(now time.Time, p *peer, grant request.Grant) {
	placed, present := p.placed[grant.ID]
	if !present {
		return
	}
	r := d.registrationOf(placed.key)
	if r == nil {
		p.end(now, grant.ID, grant.Unused(), 0)
		return
	}
	ticket := placed.item.Ticket
	d.charge(now, placed.key, ticket)
	r.held[placed.key.ID] = held{attempt: ticket.Attempt, place: running, upstream: grant.Upstream, peer: p, id: grant.ID}
	d.sendGrant(now, r, placed.key.ID, ticket.Attempt, grant.Upstream)
}

// refusedThere puts a ticket back in the queue.
func (d *Dispatcher) refusedThere(now time.Time, p *peer, id request.ID) {
	placed, present := p.placed[id]
	if !present {
		return
	}
	delete(p.placed, id)
	r := d.registrationOf(placed.key)
	if r == nil {
		return
	}
	if !now.Before(placed.item.Expires) {
		d.giveUp(now, placed.item, request.ReasonDeadline)
		return
	}
	d.push(now, r, placed.item)
}

// tickPeers renews what is registered elsewhere and tells who wants it how
// many slots are free here.
func (d *Dispatcher) tickPeers(now time.Time) {
	for _, p := range d.peers {
		p.expireLost(now)
		p.proxy.Tick(now)
		d.settlePeer(now, p)
		d.tell(now, p)
	}
}

// tell sends a vacancy if the peer wants it and it has news.
func (d *Dispatcher) tell(now time.Time, p *peer) {
	if p.VM == "" || now.After(p.wanted) {
		return
	}
	free := 0
	if d.queue.Len() == 0 {
		free = d.shareOf(now, p, d.slots.Free(now))
	}
	lowest := d.lowestTold()
	same := free == p.told && free == 0 && !d.levelNews(now, p, lowest)
	if same || (p.told >= 0 && now.Sub(p.toldTime) < vacancyInterval) {
		return
	}
	p.told, p.toldLowest, p.toldTime = free, lowest, now
	d.send(p.VM, wire.Vacancy{Pool: d.options.Pool, Free: uint32(free), Lowest: lowest})
}

// drainPeers moves the proxies' messages to the outbox.
func (d *Dispatcher) drainPeers() {
	for _, p := range d.peers {
		for _, send := range p.proxy.Outbox() {
			d.send(send.To, send.Message)
		}
	}
}
