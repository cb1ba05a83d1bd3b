package dispatcher

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// placement is a request of this data centre at a peer.
type placement struct {
	key     request.Key
	attempt request.Attempt
	// item is the ticket; it is empty for a request that ran already.
	item queue.Item
	// since is when it was placed.
	since time.Time
	// lost is when the entry that runs it was lost; zero while it is
	// registered.
	lost time.Time
}

// place submits a ticket to the peer under an ID of its own.
func (p *peer) place(now time.Time, item queue.Item) request.ID {
	p.nextID++
	p.placed[p.nextID] = placement{key: item.Key, attempt: item.Ticket.Attempt, item: item, since: now}
	ticket := item.Ticket
	ticket.ID = p.nextID
	ticket.Age = now.Sub(item.Arrived)
	ticket.Wait = item.Expires.Sub(now)
	ticket.Avoid = 0
	p.proxy.Submit(now, ticket)
	return p.nextID
}

// adopt takes over a request that runs at the peer already.
func (p *peer) adopt(now time.Time, pool version.PoolID, key request.Key, run wire.Running) request.ID {
	for id, placed := range p.placed {
		if placed.key == key && placed.attempt == run.Attempt && !placed.lost.IsZero() {
			placed.lost = time.Time{}
			p.placed[id] = placed
			return id
		}
	}
	p.nextID++
	p.placed[p.nextID] = placement{key: key, attempt: run.Attempt}
	p.proxy.Adopt(now, request.Ticket{
		ID:      p.nextID,
		Account: run.Account,
		Pool:    pool,
		Attempt: run.Attempt,
	}, run.Upstream)
	return p.nextID
}

// end ends what ran at the peer.
func (p *peer) end(now time.Time, id request.ID, finish request.Finish, expected time.Duration) {
	delete(p.placed, id)
	finish.ID = id
	p.proxy.End(now, finish, expected)
}

// lose notes that the entry of a request that runs at the peer was lost.
func (p *peer) lose(now time.Time, id request.ID) {
	placed := p.placed[id]
	placed.lost = now
	p.placed[id] = placed
}

// dropStrays frees the slots that a lost entry held at the peer and does not
// hold any more.
func (p *peer) dropStrays(entry Entry, isRunning map[request.ID]bool) {
	for id, placed := range p.placed {
		own := placed.key.Entry == entry.VM && placed.key.Incarnation == entry.Incarnation
		if own && !placed.lost.IsZero() && !isRunning[placed.key.ID] {
			p.abandon(id)
		}
	}
}

// expireLost frees the slots of requests whose entry did not come back.
func (p *peer) expireLost(now time.Time) {
	for id, placed := range p.placed {
		if !placed.lost.IsZero() && now.Sub(placed.lost) >= lostTime {
			p.abandon(id)
		}
	}
}

// abandon forgets a request that was placed at the peer.
func (p *peer) abandon(id request.ID) {
	delete(p.placed, id)
	p.proxy.Withdraw(id)
	p.proxy.Forget(id)
}

func (p *peer) ids() []request.ID {
	ids := make([]request.ID, 0, len(p.placed))
	for id := range p.placed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
