// Package dispatcher decides which waiting ticket gets which upstream, for one
// pool in one data centre.
//
// All its state is soft: a successor rebuilds it from what the entries
// register.
package dispatcher

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Entry names one incarnation of a daemon that holds requests.
type Entry struct {
	VM          version.VMID
	Incarnation uint64
}

// Send is a message for an entry.
type Send struct {
	To      Entry
	Message wire.Message
}

// Options set up a Dispatcher.
type Options struct {
	Pool       version.PoolID
	DataCentre version.DataCentreID
	Queue      queue.Options
	// Meter counts what is granted and gives the fleet-wide service levels.
	Meter *service.Meter
}

// Dispatcher owns one queue and one slot table. It is not safe for concurrent
// use.
type Dispatcher struct {
	options Options
	config  *version.Config
	queue   *queue.Queue
	slots   *slots.Table
	outbox  []Send
}

// New returns a dispatcher without upstreams.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options: options,
		queue:   queue.New(options.Queue, options.Meter),
		slots:   slots.New(),
	}
}

// Configure applies a configuration version.
func (d *Dispatcher) Configure(now time.Time, config *version.Config) {
	d.config = config
	var upstreams []*version.Upstream
	for _, upstream := range config.Upstreams {
		local := upstream.Pool == d.options.Pool && upstream.DataCentre == d.options.DataCentre
		if local && !config.UpstreamOut(upstream) {
			upstreams = append(upstreams, upstream)
		}
	}
	d.slots.Configure(upstreams)
	d.grant(now)
}

// Register replaces what is known of an entry.
func (d *Dispatcher) Register(now time.Time, from Entry, register wire.Register) {
	for _, running := range register.Running {
		key := keyOf(from, running.ID)
		d.slots.Occupy(slots.Hold{Key: key, Attempt: running.Attempt}, running.Upstream)
	}
	for _, ticket := range register.Waiting {
		d.push(now, from, ticket.Request())
	}
	d.grant(now)
}

// Ticket adds a waiting request.
func (d *Dispatcher) Ticket(now time.Time, from Entry, ticket request.Ticket) {
	d.push(now, from, ticket)
	d.grant(now)
}

// Withdraw takes a waiting request back.
func (d *Dispatcher) Withdraw(now time.Time, from Entry, id request.ID) {
	d.queue.Remove(now, keyOf(from, id))
}

// Finish frees a slot and passes it on.
func (d *Dispatcher) Finish(now time.Time, from Entry, finish request.Finish) {
	hold := slots.Hold{Key: keyOf(from, finish.ID), Attempt: finish.Attempt}
	d.slots.Release(now, hold, finish)
	d.options.Meter.Finish(service.Hold(hold), finish.Cost, finish.Outcome)
	d.grant(now)
}

// Tick refuses the tickets whose wait has ended.
func (d *Dispatcher) Tick(now time.Time) {
	for _, item := range d.queue.Expired(now) {
		d.refuse(now, item, request.ReasonDeadline)
	}
	d.grant(now)
}

// Waiting returns the number of queued tickets.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Outbox takes out the messages to send.
func (d *Dispatcher) Outbox() []Send {
	out := d.outbox
	d.outbox = nil
	return out
}

func (d *Dispatcher) push(now time.Time, from Entry, ticket request.Ticket) {
	item := queue.Item{
		Key:     keyOf(from, ticket.ID),
		Ticket:  ticket,
		Arrived: now.Add(-ticket.Age),
		Expires: now.Add(ticket.Wait),
	}
	for _, refused := range d.queue.Push(now, item, d.accountLimit(ticket.Account)) {
		d.refuse(now, refused.Item, refused.Reason)
	}
}

func (d *Dispatcher) accountLimit(id version.AccountID) int {
	if d.config == nil {
		return 0
	}
	account, present := d.config.Accounts[id]
	if !present {
		return 0
	}
	return account.MaxWaiting
}

// grant hands out free slots until none is left or nobody waits.
func (d *Dispatcher) grant(now time.Time) {
	for {
		item, waiting := d.queue.Next(now)
		if !waiting {
			return
		}
		attempt := item.Ticket.Attempt
		hold := slots.Hold{Key: item.Key, Attempt: attempt}
		upstream, free := d.slots.Acquire(now, hold, item.Ticket.Avoid)
		if !free {
			return
		}
		d.queue.Take(now, item.Key)
		d.options.Meter.Grant(now, service.Hold(hold), item.Ticket)
		d.send(item.Key, wire.Grant{
			ID:       item.Key.ID,
			Attempt:  attempt,
			Pool:     d.options.Pool,
			Upstream: upstream,
		})
	}
}

func (d *Dispatcher) refuse(now time.Time, item queue.Item, reason request.Reason) {
	after := d.queue.RetryAfter(now, item.Ticket.Account)
	d.send(item.Key, wire.Refuse{
		ID:               item.Key.ID,
		Pool:             d.options.Pool,
		Reason:           reason,
		RetryAfterMillis: uint32(after.Milliseconds()),
	})
}

func (d *Dispatcher) send(key request.Key, message wire.Message) {
	to := Entry{VM: key.Entry, Incarnation: key.Incarnation}
	d.outbox = append(d.outbox, Send{To: to, Message: message})
}

func keyOf(entry Entry, id request.ID) request.Key {
	return request.Key{Entry: entry.VM, Incarnation: entry.Incarnation, ID: id}
}
