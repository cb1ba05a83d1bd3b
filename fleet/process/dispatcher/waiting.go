package dispatcher

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

func newQueue(options Options) *queue.Queue { return queue.New(options.Queue) }

// candidates yields the tickets in the order in which they should be granted.
func (d *Dispatcher) candidates(_ time.Time) func(yield func(queue.Item) bool) {
	return func(yield func(queue.Item) bool) {
		if item, waits := d.queue.Next(d.options.Levels); waits {
			yield(item)
		}
	}
}

// pushQueue adds a ticket to the queue and refuses what has to go for it.
func (d *Dispatcher) pushQueue(now time.Time, item queue.Item) {
	limit := 0
	if account := d.account(item.Ticket.Account); account != nil {
		limit = account.MaxWaiting
	}
	if reason := d.queue.Push(item, limit); reason != "" {
		d.pushedOut(now, item, reason)
	}
}

func (d *Dispatcher) pushedOut(now time.Time, item queue.Item, reason request.Reason) {
	if r := d.registrationOf(item.Key); r != nil {
		delete(r.held, item.Key.ID)
		d.refuse(now, r, item, reason)
	}
}

// takeQueued removes a ticket that is granted.
func (d *Dispatcher) takeQueued(_ time.Time, item queue.Item) { d.queue.Remove(item.Key) }

// removeQueued removes a ticket that is not.
func (d *Dispatcher) removeQueued(_ time.Time, key request.Key) { d.queue.Remove(key) }

// retryAfter returns when a refused caller of an account may come back.
func (d *Dispatcher) retryAfter(time.Time, version.AccountID) time.Duration { return time.Second }
