package dispatcher

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// placement is a request of this data centre that is on offer or runs at a
// peer.
type placement struct {
	key     request.Key
	attempt request.Attempt
	// item is the ticket; it is empty for a request that ran already when it
	// was adopted.
	item queue.Item
	// placedAt is when the ticket was submitted to the peer.
	placedAt time.Time
	// lostAt is when the registration of the request's entry was lost; zero
	// while the entry is registered.
	lostAt time.Time
}

// submit submits a ticket to the peer under a new ID, which it returns.
func (p *peer) submit(now time.Time, item queue.Item) request.ID {
	p.nextID++
	p.placed[p.nextID] = placement{key: item.Key, attempt: item.Ticket.Attempt, item: item, placedAt: now}
	ticket := item.Ticket
	ticket.ID = p.nextID
	ticket.Age = now.Sub(item.Arrived)
	ticket.Wait = item.Expires.Sub(now)
	ticket.Avoid = 0
	p.proxy.Submit(now, ticket)
	return p.nextID
}

// adopt takes over a request that runs at the peer already and returns its ID
// there. A placement whose entry was lost is reused.
func (p *peer) adopt(now time.Time, pool version.PoolID, key request.Key, run wire.Running) request.ID {
	for id, placed := range p.placed {
		if placed.key == key && placed.attempt == run.Attempt && !placed.lostAt.IsZero() {
			placed.lostAt = time.Time{}
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

// finish reports the outcome of a request to the peer and forgets the request.
func (p *peer) finish(now time.Time, id request.ID, finish request.Finish, expected time.Duration) {
	delete(p.placed, id)
	finish.ID = id
	p.proxy.End(now, finish, expected)
}

// markLost records that the registration of a request's entry was lost.
func (p *peer) markLost(now time.Time, id request.ID) {
	placed := p.placed[id]
	placed.lostAt = now
	p.placed[id] = placed
}

// dropStaleHolds frees the slots at the peer that an entry held when its
// registration was lost and that the entry did not register again.
func (p *peer) dropStaleHolds(holder EntryID, isRunning map[request.ID]bool) {
	for id, placed := range p.placed {
		sameEntry := placed.key.Entry == holder.VM && placed.key.Incarnation == holder.Incarnation
		if sameEntry && !placed.lostAt.IsZero() && !isRunning[placed.key.ID] {
			p.abandon(id)
		}
	}
}

// expireLost frees the slots of requests whose entry did not register again
// within lostEntryGrace.
func (p *peer) expireLost(now time.Time) {
	for id, placed := range p.placed {
		if !placed.lostAt.IsZero() && now.Sub(placed.lostAt) >= lostEntryGrace {
			p.abandon(id)
		}
	}
}

// abandon forgets a request at the peer, which learns of that by a withdrawal
// or the next digest.
func (p *peer) abandon(id request.ID) {
	delete(p.placed, id)
	p.proxy.Withdraw(id)
	p.proxy.Forget(id)
}

// ids returns the IDs of the placed requests, in order.
func (p *peer) ids() []request.ID {
	ids := make([]request.ID, 0, len(p.placed))
	for id := range p.placed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
