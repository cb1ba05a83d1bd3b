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

// baseline is a router that gives each entry a fixed fraction of the slots of its
// data centre. Its entries exchange no reports.
type baseline struct {
	run     *run
	entries map[entryKey]*baselineEntry
	lastID  request.ID
	jobs    map[request.ID]pump.Job
}

// entryKey identifies the entry of a pool on a VM.
type entryKey struct {
	vm   version.VMID
	pool version.PoolID
}

// baselineEntry holds the slots of a pool at one entry, and the requests that wait
// for them.
type baselineEntry struct {
	slots, running int
	waiting        waitQueue
}

// waitQueue orders the requests that wait at one entry.
type waitQueue interface {
	push(now time.Time, item queue.Item)
	pop(now time.Time) (queue.Item, bool)
	finished(item queue.Item, cost request.Cost)
}

func newBaseline(r *run) *baseline {
	b := &baseline{run: r, entries: make(map[entryKey]*baselineEntry), jobs: make(map[request.ID]pump.Job)}
	for _, pool := range r.scenario.Deployment.Document.Pools {
		b.addPool(version.NewPoolID(pool.Name))
	}
	return b
}

// addPool distributes the pool's warm slots of each data centre evenly over its
// VMs, rounded so that every slot is assigned.
func (b *baseline) addPool(pool version.PoolID) {
	slots := make(map[version.DataCentreID]int)
	for _, upstream := range b.run.config.Upstreams {
		if upstream.Pool == pool {
			slots[upstream.DataCentre] += upstream.WarmLimit
		}
	}
	vms := make(map[version.DataCentreID][]version.VMID)
	for _, location := range b.run.scenario.Deployment.VMs {
		vms[location.DataCentre] = append(vms[location.DataCentre], location.VM)
	}
	for dataCentre, members := range vms {
		for i, vm := range members {
			entrySlots := (slots[dataCentre] + len(members) - 1 - i) / len(members)
			b.entries[entryKey{vm, pool}] = &baselineEntry{slots: entrySlots, waiting: b.newWaitQueue()}
		}
	}
}

// newWaitQueue returns an empty queue with the order of the scenario's policy.
func (b *baseline) newWaitQueue() waitQueue {
	if b.run.scenario.Policy == PolicyRoundRobin {
		return &roundRobin{waiting: make(map[version.AccountID][]queue.Item)}
	}
	meter := service.NewMeter()
	meter.Configure(b.run.config)
	return &localFair{meter: meter, queue: queue.New(queue.Options{}, meter)}
}

func (b *baseline) submit(vm version.VMID, ticket request.Ticket, cost request.Cost) {
	now := b.run.simulation.Now()
	b.lastID++
	ticket.ID = b.lastID
	b.jobs[ticket.ID] = pump.Job{VM: vm, Ticket: ticket, Cost: cost, Submitted: now}
	b.run.recorder.recordSubmitted(now, ticket)
	e := b.entries[entryKey{vm, ticket.Pool}]
	e.waiting.push(now, queue.Item{
		Key:     request.Key{Entry: vm, ID: ticket.ID},
		Ticket:  ticket,
		Arrived: now,
		Expires: now.Add(maxWait),
	})
	b.grant(e)
}

// grant starts waiting requests while the entry has free slots.
func (b *baseline) grant(e *baselineEntry) {
	for e.running < e.slots {
		item, found := e.waiting.pop(b.run.simulation.Now())
		if !found {
			return
		}
		e.running++
		job := b.jobs[item.Key.ID]
		b.run.recorder.Granted(b.run.simulation.Now(), job, 0)
		b.run.simulation.After(pump.WarmFirstToken, func() { b.stream(e, item, job, job.Cost) })
	}
}

// stream charges a running request in the simulation's intervals until it is
// complete.
func (b *baseline) stream(e *baselineEntry, item queue.Item, job pump.Job, remaining request.Cost) {
	chunk := min(remaining, request.Cost(pump.ChargeInterval/pump.TimePerCostUnit))
	b.run.simulation.After(time.Duration(float64(chunk)*float64(pump.TimePerCostUnit)), func() {
		now := b.run.simulation.Now()
		b.run.recorder.Charged(now, job, chunk)
		if remaining > chunk {
			b.stream(e, item, job, remaining-chunk)
			return
		}
		e.running--
		delete(b.jobs, item.Key.ID)
		e.waiting.finished(item, job.Cost)
		b.run.recorder.Ended(now, job)
		b.grant(e)
	})
}

// roundRobin serves the waiting accounts in turn, one request each.
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

func (r *roundRobin) finished(queue.Item, request.Cost) {}

// localFair orders requests by the service that this entry has given to their
// accounts.
type localFair struct {
	meter *service.Meter
	queue *queue.Queue
}

func (l *localFair) push(now time.Time, item queue.Item) { l.queue.Push(now, item, 0) }

func (l *localFair) pop(now time.Time) (queue.Item, bool) {
	item, found := l.queue.Next(now)
	if !found {
		return queue.Item{}, false
	}
	l.queue.Grant(now, item.Key)
	l.meter.Grant(now, service.AttemptKey{Key: item.Key, Attempt: 1}, item.Ticket)
	return item, true
}

func (l *localFair) finished(item queue.Item, cost request.Cost) {
	l.meter.Finish(service.AttemptKey{Key: item.Key, Attempt: 1}, cost, request.OutcomeDone)
}
