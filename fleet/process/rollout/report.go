package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
)

// reportFinalTime is how long a VM reports an order that is done or rolled back: until every VM has
// heard of it.
const reportFinalTime = 10 * time.Second

// Report returns this VM's report for the other VMs.
func (c *Controller) Report(now time.Time) wire.RolloutReport {
	if !c.enabled() {
		return wire.RolloutReport{}
	}
	report := wire.RolloutReport{Incarnation: c.options.Incarnation, VMs: 1}
	for _, o := range c.sortedOrders() {
		if o.isFinal() && now.Sub(o.finalAt) > reportFinalTime || len(report.Orders) == wire.MaxRolloutOrders {
			continue
		}
		own := *o.own
		own.ElapsedMS = uint32(max(o.elapsed(now).Milliseconds(), 1))
		own.Progress, own.Condemned = uint8(o.progress), o.condemned
		own.OldRunning = uint32(c.oldRunning(o))
		if c.isDrained(now, o) {
			own.Drained = 1
			o.toldDrainedAt = now
		}
		report.Orders = append(report.Orders, own.Wire(o.key()))
	}
	return report
}

// Receive takes in the sum of the reports of all other VMs, of which the last came age ago, as
// exchange.Reporter.RolloutSum returns both. It is called before each Tick.
func (c *Controller) Receive(now time.Time, sum wire.RolloutReport, age time.Duration) {
	if !c.enabled() {
		return
	}
	c.othersVMs, c.othersAt = int(sum.VMs), now.Add(-age)
	byKey := make(map[uint64]wire.RolloutOrder, len(sum.Orders))
	for _, order := range sum.Orders {
		byKey[order.Key] = order
	}
	for _, o := range c.orders {
		reported, present := byKey[o.key()]
		if !present {
			o.others.Drained, o.others.OldRunning = 0, 0
			continue
		}
		o.others.Raise(tally.FromWire(reported))
		o.raiseElapsed(now, time.Duration(reported.ElapsedMS)*time.Millisecond)
		c.advance(now, o, min(progress(reported.Progress), progressDone), "")
		if reported.Condemned != "" {
			c.condemn(now, o, reported.Condemned)
		}
	}
}

// sortedOrders returns the orders sorted by service, those that are not final first.
func (c *Controller) sortedOrders() []*order {
	list := make([]*order, 0, len(c.orders))
	for _, o := range c.orders {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *order) int {
		if a.isFinal() != b.isFinal() {
			if b.isFinal() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Service, b.Service)
	})
	return list
}

// Overview describes the orders, sorted by service.
func (c *Controller) Overview(now time.Time) []Overview {
	list := make([]Overview, 0, len(c.orders))
	for _, o := range c.sortedOrders() {
		total := o.total()
		view := Overview{
			Service: o.Service, Software: o.Software, State: o.state(), Phase: o.phase(), Reason: o.reason,
			Elapsed: o.elapsed(now), Duration: o.Duration, Age: now.Sub(c.readAt), Condemned: o.condemned,
			Requests: total.Requests, Sent: total.Sent, VMs: c.othersVMs + 1, Drained: int(o.others.Drained),
			OldRunning: int(o.others.OldRunning) + c.oldRunning(o),
		}
		if c.isDrained(now, o) {
			view.Drained++
		}
		for _, route := range total.Routes {
			view.Ended += uint64(route.New.Ended)
			view.Failed += uint64(route.New.Failed)
			view.Slow += uint64(route.New.Slow)
		}
		for _, id := range o.sides.canaries {
			if u := c.upstreams[id]; u != nil {
				view.Canary = append(view.Canary, u.name)
			}
		}
		list = append(list, view)
	}
	slices.SortFunc(list, func(a, b Overview) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
