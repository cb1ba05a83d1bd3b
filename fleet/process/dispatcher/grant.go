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

// grant hands out free slots until none is left or nobody who waits may have
// one, and offers what still waits to other data centres.
func (d *Dispatcher) grant(now time.Time) {
	for d.queue.Len() > 0 && d.grantNext(now) {
		continue
	}
	for d.queue.Len() == 0 && d.recall(now) && d.grantNext(now) {
		continue
	}
	d.offer(now)
}

// grantNext grants the first ticket in fair order that may have a slot. A slot
// that a team keeps back passes by the accounts of others.
func (d *Dispatcher) grantNext(now time.Time) bool {
	var without []string
	for item := range d.queue.Candidates(now) {
		team := d.team(item.Ticket.Account)
		if slices.Contains(without, team) {
			continue
		}
		if upstream, free := d.slots.Acquire(now, demandOf(item, team)); free {
			d.granted(now, item, upstream)
			return true
		}
		if !d.slots.Spare() {
			return false
		}
		without = append(without, team)
	}
	return false
}

// granted takes a ticket out of the queue and tells its entry.
func (d *Dispatcher) granted(now time.Time, item queue.Item, upstream version.UpstreamID) {
	d.queue.Take(now, item.Key)
	// The queue holds tickets of registered entries only.
	r := d.registrationOf(item.Key)
	if !r.remote {
		// A remote one is charged by the dispatcher that placed it here.
		d.charge(now, item.Key, item.Ticket)
	}
	r.held[item.Key.ID] = held{attempt: item.Ticket.Attempt, place: running, upstream: upstream}
	d.sendGrant(now, r, item.Key.ID, item.Ticket.Attempt, upstream)
}

// grantRemote grants a ticket of another data centre at once or refuses it.
func (d *Dispatcher) grantRemote(now time.Time, r *registration, item queue.Item) {
	upstream, free := d.slots.Acquire(now, demandOf(item, d.team(item.Ticket.Account)))
	if !free {
		d.refuse(now, r, item, request.ReasonQueueFull)
		return
	}
	r.held[item.Key.ID] = held{attempt: item.Ticket.Attempt, place: running, upstream: upstream}
	d.sendGrant(now, r, item.Key.ID, item.Ticket.Attempt, upstream)
}

func (d *Dispatcher) sendGrant(now time.Time, r *registration, id request.ID, attempt request.Attempt, upstream version.UpstreamID) {
	d.counts.Granted++
	r.sent++
	key := keyOf(r.entry, id)
	d.record(now, timeline.KindGranted, key, timeline.Event{Attempt: attempt, Upstream: upstream})
	d.send(r.entry.VM, wire.Grant{
		ID:       id,
		Attempt:  attempt,
		Pool:     d.options.Pool,
		Upstream: upstream,
		Session:  r.session,
	})
}

func demandOf(item queue.Item, team string) slots.Demand {
	return slots.Demand{
		Hold:   slots.Hold{Key: item.Key, Attempt: item.Ticket.Attempt},
		Team:   team,
		Avoid:  item.Ticket.Avoid,
		Prefix: item.Ticket.Prefix,
	}
}
