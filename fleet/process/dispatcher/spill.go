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
	// vacancyRequestInterval is how often a dispatcher with waiting tickets asks
	// its peers for vacancy reports.
	vacancyRequestInterval = 5 * time.Second
	// vacancyRequestValidity is how long a peer sends vacancy reports after it was
	// asked for them.
	vacancyRequestValidity = 12 * time.Second
	// peerReregisterDelay is how long after a lost link the registration with a
	// peer is tried again.
	peerReregisterDelay = 100 * time.Millisecond
	// peerDigestInterval is how often a registration with a peer is renewed.
	// There is one registration for each pool and data centre, so the interval
	// determines much of the control traffic of a large fleet.
	peerDigestInterval = PeerLease / 3
	// lostEntryGrace is how long the requests of a lost entry keep their slots
	// at a peer.
	lostEntryGrace = 10 * time.Second
	// minVacancyInterval is the minimum time between two vacancy messages to the
	// same peer.
	minVacancyInterval = 200 * time.Millisecond
)

// Peer is the dispatcher of the same pool in another data centre.
type Peer struct {
	DataCentre version.DataCentreID
	// VM is the linked daemon that dispatches there; empty if there is none.
	VM version.VMID
	// Distance orders the peers: 0 is a data centre of the same region.
	Distance int
}

// peer is the state kept per Peer.
//
// Invariant: a request in placed is not in the queue, and it is granted to its
// entry only when the proxy received a grant for it. So it is granted at most
// once.
type peer struct {
	Peer
	// proxy registers the placed requests with the peer, as an entry would.
	proxy  *entry.Entry
	placed map[request.ID]placement
	nextID request.ID
	// freeSlots is the number of free slots that the peer reported, less the
	// offers made since.
	freeSlots int
	// vacancyRequestedAt is when the peer was last asked for vacancy reports.
	vacancyRequestedAt time.Time
	// vacancyReportsUntil is when the peer's last request for vacancy reports
	// expires.
	vacancyReportsUntil time.Time
	// reportedFree is the number of free slots in the last vacancy report to
	// the peer, and -1 if a report is due at once. reportedAt is when that
	// report was sent.
	reportedFree int
	reportedAt   time.Time
	// lowest is the lowest waiting level that the peer reported, and
	// reportedLowest the encoded one that was last reported to it.
	lowest         lowestLevel
	reportedLowest uint64
	backoff        refusalBackoff
}

// SetPeers sets the dispatchers of the same pool in other data centres. Peers
// are never removed.
func (d *Dispatcher) SetPeers(now time.Time, list []Peer) {
	for _, p := range list {
		knownPeer := d.peerIn(p.DataCentre)
		if knownPeer == nil {
			knownPeer = d.newPeer()
			d.peers = append(d.peers, knownPeer)
		}
		if knownPeer.VM != p.VM {
			knownPeer.freeSlots, knownPeer.vacancyRequestedAt, knownPeer.vacancyReportsUntil = 0, time.Time{}, time.Time{}
		}
		knownPeer.Peer = p
		knownPeer.proxy.SetTarget(now, d.options.Pool, entry.Target{VM: p.VM})
	}
	slices.SortFunc(d.peers, func(a, b *peer) int {
		if a.Distance != b.Distance {
			return a.Distance - b.Distance
		}
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
}

// newPeer returns a peer without placed requests.
func (d *Dispatcher) newPeer() *peer {
	return &peer{
		proxy: entry.New(entry.Options{
			NextSession:    d.options.NextSession,
			DigestInterval: peerDigestInterval,
		}),
		placed: make(map[request.ID]placement),
	}
}

// peerIn returns the peer in a data centre, or nil.
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

// ReceiveFromPeer handles a message from the dispatcher of another data centre,
// such as its reply to an offered ticket.
func (d *Dispatcher) ReceiveFromPeer(now time.Time, from version.VMID, message wire.Message) {
	for _, p := range d.peers {
		if p.VM == from || p.proxy.RegisteredOrReleasing(d.options.Pool) == from {
			d.handlePeerMessage(now, p, from, message)
			d.processPeerReplies(now, p)
		}
	}
}

// handlePeerMessage handles a message from one peer. Any grant resets the
// refusal backoff.
func (d *Dispatcher) handlePeerMessage(now time.Time, p *peer, from version.VMID, message wire.Message) {
	switch m := message.(type) {
	case wire.Grant:
		p.backoff = refusalBackoff{}
		p.proxy.Grant(from, m)
	case wire.Refuse:
		p.freeSlots = 0
		p.backoff.extend(now)
		p.proxy.Refuse(from, m)
	case wire.Released:
		p.proxy.Released(now, from, m)
	case wire.Reregister:
		p.proxy.Reregister(now, from, m)
	case wire.Vacancy:
		p.freeSlots = int(m.Free)
		d.receiveLowest(now, p, m.LowestLevel)
		d.offerToPeers(now)
	case wire.VacancyRequest:
		p.vacancyReportsUntil = now.Add(vacancyRequestValidity)
		p.reportedFree = -1
		d.reportVacancy(now, p)
	}
}

// PeerLost handles the loss of the link to a VM: tickets on offer to a peer
// there return to the queue.
func (d *Dispatcher) PeerLost(now time.Time, vm version.VMID) {
	for _, p := range d.peers {
		if p.VM != vm && p.proxy.RegisteredOrReleasing(d.options.Pool) != vm {
			continue
		}
		p.freeSlots = 0
		p.proxy.LinkLost(vm, now.Add(peerReregisterDelay))
		d.requeueOffered(now, p)
	}
}

// requeueOffered returns the tickets that a peer has not granted to the queue.
func (d *Dispatcher) requeueOffered(now time.Time, p *peer) {
	for _, id := range p.ids() {
		placed := p.placed[id]
		r := d.registrationOf(placed.key)
		if r != nil && r.held[placed.key.ID].state == offered {
			p.abandon(id)
			d.push(now, r, placed.item)
		}
	}
}

// offerToPeers offers waiting tickets to peers with free slots, nearest first,
// asks the peers for vacancy reports, and balances the remaining tickets.
func (d *Dispatcher) offerToPeers(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	for _, p := range d.peers {
		if p.proxy.Dispatcher(d.options.Pool) == "" {
			continue
		}
		if now.Sub(p.vacancyRequestedAt) >= vacancyRequestInterval {
			p.vacancyRequestedAt = now
			d.send(p.VM, wire.VacancyRequest{Pool: d.options.Pool})
		}
		for p.freeSlots > 0 && d.offerNext(now, p) {
			p.freeSlots--
		}
	}
	d.balance(now)
}

// offerNext offers the first ticket in fair order to a peer and reports whether
// there was one. A ticket of another data centre is not offered further.
func (d *Dispatcher) offerNext(now time.Time, p *peer) bool {
	for item := range d.queue.Candidates(now) {
		r := d.registrationOf(item.Key)
		if r.remote {
			continue
		}
		d.queue.Remove(now, item.Key)
		id := p.submit(now, item)
		r.held[item.Key.ID] = heldRequest{attempt: item.Ticket.Attempt, state: offered, peer: p, placedID: id}
		d.counts.Spilled++
		d.record(now, timeline.KindSpilled, item.Key, timeline.Event{Peer: p.VM})
		return true
	}
	return false
}

// processPeerReplies applies the grants and refusals that the proxy received
// from a peer.
func (d *Dispatcher) processPeerReplies(now time.Time, p *peer) {
	for _, grant := range p.proxy.Granted() {
		d.acceptPeerGrant(now, p, grant)
	}
	for _, refused := range p.proxy.Refused() {
		d.requeueRefused(now, p, refused.ID)
	}
}

// acceptPeerGrant passes a peer's grant on to the entry, or hands it back if
// the entry is not registered any more.
func (d *Dispatcher) acceptPeerGrant(now time.Time, p *peer, grant request.Grant) {
	placed, present := p.placed[grant.ID]
	if !present {
		return
	}
	r := d.registrationOf(placed.key)
	if r == nil {
		p.finish(now, grant.ID, grant.Unused(), 0)
		return
	}
	ticket := placed.item.Ticket
	d.charge(now, placed.key, ticket)
	r.held[placed.key.ID] = heldRequest{attempt: ticket.Attempt, state: running, upstream: grant.Upstream, peer: p, placedID: grant.ID}
	d.sendGrant(now, r, placed.key.ID, ticket.Attempt, grant.Upstream)
}

// requeueRefused returns a ticket that a peer refused to the queue, or refuses
// it if its maximum wait has passed.
func (d *Dispatcher) requeueRefused(now time.Time, p *peer, id request.ID) {
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
		d.dropAndRefuse(now, placed.item, request.ReasonDeadline)
		return
	}
	d.push(now, r, placed.item)
}

// tickPeers renews the registrations with the peers and sends them the vacancy
// reports that are due.
func (d *Dispatcher) tickPeers(now time.Time) {
	for _, p := range d.peers {
		p.expireLost(now)
		p.proxy.Tick(now)
		d.processPeerReplies(now, p)
		d.reportVacancy(now, p)
	}
}

// reportVacancy sends a vacancy report to a peer that asked for them, if there
// is something new to report and the last report is old enough. No slot is
// reported as free while tickets wait here.
func (d *Dispatcher) reportVacancy(now time.Time, p *peer) {
	if p.VM == "" || now.After(p.vacancyReportsUntil) {
		return
	}
	free := 0
	if d.queue.Len() == 0 {
		free = d.freeSlotsFor(now, p, d.slots.Free(now))
	}
	lowest := d.encodedLowest()
	unchanged := free == p.reportedFree && free == 0 && !d.levelReportDue(now, p, lowest)
	if unchanged || (p.reportedFree >= 0 && now.Sub(p.reportedAt) < minVacancyInterval) {
		return
	}
	p.reportedFree, p.reportedLowest, p.reportedAt = free, lowest, now
	d.send(p.VM, wire.Vacancy{Pool: d.options.Pool, Free: uint32(free), LowestLevel: lowest})
}

// drainPeers moves the proxies' messages to the outbox.
func (d *Dispatcher) drainPeers() {
	for _, p := range d.peers {
		for _, send := range p.proxy.Outbox() {
			d.send(send.To, send.Message)
		}
	}
}
