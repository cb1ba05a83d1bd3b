package dispatcher

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// enqueue adds a ticket of a registered entry to the queue. One of another
// data centre has to be behind those that wait to be queued.
func (d *Dispatcher) enqueue(now time.Time, r *registration, ticket request.Ticket) {
	item := queue.Item{
		Key:     keyOf(r.entry, ticket.ID),
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

// push adds a ticket to the queue and refuses what has to go for it.
func (d *Dispatcher) push(now time.Time, r *registration, item queue.Item) {
	r.held[item.Key.ID] = held{attempt: item.Ticket.Attempt, place: queued}
	d.record(now, timeline.KindQueued, item.Key, timeline.Event{Account: item.Ticket.Account})
	limit := 0
	if account := d.account(item.Ticket.Account); account != nil {
		limit = account.MaxWaiting
	}
	for _, refused := range d.queue.Push(now, item, limit) {
		d.giveUp(now, refused.Item, refused.Reason)
	}
}

// giveUp refuses a ticket that is out of the queue.
func (d *Dispatcher) giveUp(now time.Time, item queue.Item, reason request.Reason) {
	if r := d.registrationOf(item.Key); r != nil {
		delete(r.held, item.Key.ID)
		d.refuse(now, r, item, reason)
	}
}

// uncharge takes back what was charged for an attempt that did not run.
func (d *Dispatcher) uncharge(hold slots.Hold) {
	d.options.Meter.Finish(service.Hold(hold), 0, request.OutcomeUnused)
}
