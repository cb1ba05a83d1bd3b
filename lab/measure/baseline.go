package measure

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// baseline gives each entry a fixed part of the slots of its data centre. Its
// entries know nothing of one another.
type baseline struct {
	run     *run
	entries map[entryKey]*baselineEntry
	next    request.ID
	costs   map[request.ID]pump.Job
}

type entryKey struct {
	vm   version.VMID
	pool version.PoolID
}

// baselineEntry is one entry's share of a pool.
type baselineEntry struct {
	slots, running int
	order          turns
}

// turns orders what waits at one entry.
type turns interface {
	push(now time.Time, item queue.Item)
	pop(now time.Time) (queue.Item, bool)
	ended(item queue.Item, cost request.Cost)
}

func newBaseline(r *run) *baseline {
	b := &baseline{run: r, entries: make(map[entryKey]*baselineEntry), costs: make(map[request.ID]pump.Job)}
	for _, pool := range r.scenario.Deployment.Document.Pools {
		b.addPool(version.NewPoolID(pool.Name))
	}
	return b
}

// addPool deals the pool's slots of each data centre out to its VMs in turn.
func (b *baseline) addPool(pool version.PoolID) {
	slots := make(map[version.DataCentreID]int)
	for _, upstream := range b.run.config.Upstreams {
		if upstream.Pool == pool {
			slots[upstream.DataCentre] += upstream.WarmLimit
		}
	}
	vms := make(map[version.DataCentreID][]version.VMID)
	for _, place := range b.run.scenario.Deployment.VMs {
		vms[place.DataCentre] = append(vms[place.DataCentre], place.VM)
	}
	for dataCentre, members := range vms {
		for i, vm := range members {
			share := (slots[dataCentre] + len(members) - 1 - i) / len(members)
			b.entries[entryKey{vm, pool}] = &baselineEntry{slots: share, order: b.newTurns()}
		}
	}
}

func (b *baseline) newTurns() turns {
	if b.run.scenario.Policy == PolicyRoundRobin {
		return &roundRobin{waiting: make(map[version.AccountID][]queue.Item)}
	}
	meter := service.NewMeter()
	meter.Configure(b.run.config)
	return &localFair{meter: meter, queue: queue.New(queue.Options{}, meter)}
}

func (b *baseline) submit(vm version.VMID, ticket request.Ticket, cost request.Cost) {
	now := b.run.pump.Now()
	b.next++
	ticket.ID = b.next
	b.costs[ticket.ID] = pump.Job{VM: vm, Ticket: ticket, Cost: cost, Submitted: now}
	b.run.meter.submitted(now, ticket)
	e := b.entries[entryKey{vm, ticket.Pool}]
	e.order.push(now, queue.Item{
		Key:     request.Key{Entry: vm, ID: ticket.ID},
		Ticket:  ticket,
		Arrived: now,
		Expires: now.Add(wait),
	})
	b.grant(e)
}

func (b *baseline) grant(e *baselineEntry) {
	for e.running < e.slots {
		item, waits := e.order.pop(b.run.pump.Now())
		if !waits {
			return
		}
		e.running++
		job := b.costs[item.Key.ID]
		b.run.meter.Granted(b.run.pump.Now(), job, 0)
		b.run.pump.After(pump.FirstToken, func() { b.stream(e, item, job, job.Cost) })
	}
}

// stream charges a running request in the pump's steps until it ends.
func (b *baseline) stream(e *baselineEntry, item queue.Item, job pump.Job, rest request.Cost) {
	chunk := min(rest, request.Cost(pump.ChargeInterval/pump.Pace))
	b.run.pump.After(time.Duration(float64(chunk)*float64(pump.Pace)), func() {
		now := b.run.pump.Now()
		b.run.meter.Charged(now, job, chunk)
		if rest > chunk {
			b.stream(e, item, job, rest-chunk)
			return
		}
		e.running--
		delete(b.costs, item.Key.ID)
		e.order.ended(item, job.Cost)
		b.run.meter.Ended(now, job)
		b.grant(e)
	})
}

// roundRobin gives accounts their turns, one request each.
type roundRobin struct {
	order   []version.AccountID
	waiting map[version.AccountID][]queue.Item
}

func (r *roundRobin) push(_ time.Time, item queue.Item) {
	account := item.Ticket.Account
	if len(r.waiting[account]) == 0 {
		r.order = append(r.order, account)
	}
	r.waiting[account] = append(r.waiting[account], item)
}

func (r *roundRobin) pop(time.Time) (queue.Item, bool) {
	if len(r.order) == 0 {
		return queue.Item{}, false
	}
	account := r.order[0]
	r.order = slices.Delete(r.order, 0, 1)
	item := r.waiting[account][0]
	r.waiting[account] = r.waiting[account][1:]
	if len(r.waiting[account]) > 0 {
		r.order = append(r.order, account)
	}
	return item, true
}

func (r *roundRobin) ended(queue.Item, request.Cost) {}

// localFair shares by what one entry has served.
type localFair struct {
	meter *service.Meter
	queue *queue.Queue
}

func (l *localFair) push(now time.Time, item queue.Item) { l.queue.Push(now, item, 0) }

func (l *localFair) pop(now time.Time) (queue.Item, bool) {
	item, waits := l.queue.Next(now)
	if !waits {
		return queue.Item{}, false
	}
	l.queue.Take(now, item.Key)
	l.meter.Grant(now, service.Hold{Key: item.Key, Attempt: 1}, item.Ticket)
	return item, true
}

func (l *localFair) ended(item queue.Item, cost request.Cost) {
	l.meter.Finish(service.Hold{Key: item.Key, Attempt: 1}, cost, request.OutcomeDone)
}
