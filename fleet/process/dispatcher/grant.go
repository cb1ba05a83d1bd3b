package dispatcher

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// grant assigns free slots until none is left or no waiting ticket may have
// one, and then offers the remaining tickets to other data centres.
func (d *Dispatcher) grant(now time.Time) {
	for d.queue.Len() > 0 && d.grantNext(now) {
		continue
	}
	for d.queue.Len() == 0 && d.recall(now) && d.grantNext(now) {
		continue
	}
	d.offerToPeers(now)
}

// grantNext grants the first ticket in fair order that may have a free slot and
// reports whether there was one. Accounts of other teams are skipped for a slot
// that its owning team keeps back.
func (d *Dispatcher) grantNext(now time.Time) bool {
	var blockedTeams []string
	for item := range d.queue.Candidates(now) {
		team := d.team(item.Ticket.Account)
		if slices.Contains(blockedTeams, team) {
			continue
		}
		if upstream, free := d.slots.Acquire(now, slotDemand(item, team)); free {
			d.assign(now, item, upstream)
			return true
		}
		if !d.slots.FoundFreeSlot() {
			return false
		}
		blockedTeams = append(blockedTeams, team)
	}
	return false
}

// assign removes a ticket from the queue and grants it a slot at an upstream.
func (d *Dispatcher) assign(now time.Time, item queue.Item, upstream version.UpstreamID) {
	d.queue.Grant(now, item.Key)
	// The queue holds tickets of registered entries only.
	r := d.registrationOf(item.Key)
	if !r.remote {
		// A remote ticket is charged by the dispatcher that placed it here.
		d.charge(now, item.Key, item.Ticket)
	}
	r.held[item.Key.ID] = heldRequest{attempt: item.Ticket.Attempt, state: running, upstream: upstream}
	d.sendGrant(now, r, item.Key.ID, item.Ticket.Attempt, upstream)
}

// grantRemote grants a ticket of another data centre a free slot, or else
// refuses it.
func (d *Dispatcher) grantRemote(now time.Time, r *registration, item queue.Item) {
	upstream, free := d.slots.Acquire(now, slotDemand(item, d.team(item.Ticket.Account)))
	if !free {
		d.sendRefusal(now, r, item, request.ReasonQueueFull)
		return
	}
	r.held[item.Key.ID] = heldRequest{attempt: item.Ticket.Attempt, state: running, upstream: upstream}
	d.sendGrant(now, r, item.Key.ID, item.Ticket.Attempt, upstream)
}

// sendGrant tells an entry that its request may be sent to an upstream.
func (d *Dispatcher) sendGrant(now time.Time, r *registration, id request.ID, attempt request.Attempt, upstream version.UpstreamID) {
	d.counts.Granted++
	r.repliesSent++
	key := requestKey(r.entry, id)
	d.record(now, timeline.KindGranted, key, timeline.Event{Attempt: attempt, Upstream: upstream})
	d.send(r.entry.VM, wire.Grant{
		ID:       id,
		Attempt:  attempt,
		Pool:     d.options.Pool,
		Upstream: upstream,
		Session:  r.session,
	})
}

// slotDemand returns the demand for a slot of a queued ticket.
func slotDemand(item queue.Item, team string) slots.Demand {
	return slots.Demand{
		Hold:   slots.Hold{Key: item.Key, Attempt: item.Ticket.Attempt},
		Team:   team,
		Avoid:  item.Ticket.Avoid,
		Prefix: item.Ticket.Prefix,
	}
}
