package dispatcher

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// enqueue adds a ticket of a registered entry to the queue. A ticket of another
// data centre is queued only if its account is behind those that wait here.
func (d *Dispatcher) enqueue(now time.Time, r *registration, ticket request.Ticket) {
	item := queue.Item{
		Key:     requestKey(r.entry, ticket.ID),
		Ticket:  ticket,
		Arrived: now.Add(-ticket.Age),
		Expires: now.Add(ticket.Wait),
	}
	if r.remote {
		d.enqueueRemote(now, r, item)
		return
	}
	d.push(now, r, item)
}

// push adds a ticket to the queue and refuses the tickets that the queue drops
// for it.
func (d *Dispatcher) push(now time.Time, r *registration, item queue.Item) {
	r.held[item.Key.ID] = heldRequest{attempt: item.Ticket.Attempt, state: queued}
	d.record(now, timeline.KindQueued, item.Key, timeline.Event{Account: item.Ticket.Account})
	limit := 0
	if account := d.account(item.Ticket.Account); account != nil {
		limit = account.MaxWaiting
	}
	for _, refused := range d.queue.Push(now, item, limit) {
		d.dropAndRefuse(now, refused.Item, refused.Reason)
	}
}

// dropAndRefuse removes a ticket that is no longer in the queue from its
// registration, and refuses it.
func (d *Dispatcher) dropAndRefuse(now time.Time, item queue.Item, reason request.Reason) {
	if r := d.registrationOf(item.Key); r != nil {
		delete(r.held, item.Key.ID)
		d.sendRefusal(now, r, item, reason)
	}
}

// cancelCharge reverses the charge of a granted attempt that did not run.
func (d *Dispatcher) cancelCharge(hold slots.Hold) {
	d.options.Meter.Finish(service.AttemptKey(hold), 0, request.OutcomeUnused)
}
