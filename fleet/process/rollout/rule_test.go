package rollout

import (
	"reflect"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// Guards against questions that take from the budget of the canary, so that fewer requests reach it, and
// against a foreseen rule that is not the one that the next request gets.
func TestForeseenRulesTakeNothing(t *testing.T) {
	w := newWorld(t, 6, 6, 1)
	w.give()
	w.run(2 * time.Second)
	c := w.vms[1].Controller
	ticket, canaries := request.Ticket{Pool: testPool, Attempt: 1}, 0
	for n := range 2000 {
		before, requests := *c.orders[testPool], c.orders[testPool].own.Requests
		foreseen := c.Foresee(w.now, ticket)
		c.Foresee(w.now, request.Ticket{Pool: testPool, Attempt: 2, Software: "v1"})
		if o := c.orders[testPool]; !reflect.DeepEqual(before, *o) || o.own.Requests != requests {
			t.Fatalf("the question before request %d changes the order", n)
		}
		rule := c.Rule(w.now, ticket)
		if !reflect.DeepEqual(rule, foreseen) {
			t.Fatalf("request %d gets the rule %+v, foreseen was %+v", n, rule, foreseen)
		}
		if rule.Among != nil {
			canaries++
			c.orders[testPool].budget.reserved = nil
		}
	}
	if canaries == 0 || canaries == 2000 {
		t.Errorf("%d of 2000 requests go to the canary, want some", canaries)
	}
}

// Guards against a question about a stream of the old version that keeps a VM from giving up the old
// upstreams in the shift, or that makes it hold requests since the order might have been done.
func TestForeseenRulesRecordNoNeedOfTheOldVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	v1, v2 := software("u1", "v1"), software("u2", "v2")
	order := Order{Pool: testPool, Service: "svc", Software: "v2", Duration: testDuration, Created: 5, At: storeera.Position{Revision: 5}}
	c := New(Options{VM: "vm-0", Incarnation: 1, ExposureShare: testShare, RollbackTime: testRollback})
	c.SetMembers(now, []version.VMID{"vm-0"})
	c.Configure(now, configOf(v1))
	c.SetOrders(now, []Order{order}, order.At, now)
	c.Configure(now, configOf(v1, v2))
	order.At.Revision++
	order.Status = Status{State: StateRunning, Software: "v2", Phase: PhaseShifting}
	kept, given := 0, 0
	for range 50 {
		now = now.Add(takeUpGrace / 20)
		c.SetOrders(now, []Order{order}, order.At, now)
		before := *c.orders[testPool]
		rule := c.Foresee(now, request.Ticket{Pool: testPool, Attempt: 1, Software: "v1"})
		if after := *c.orders[testPool]; !reflect.DeepEqual(before, after) {
			t.Fatalf("the question changes %+v to %+v", before, after)
		}
		if rule.Permits("v1", v1.ID) {
			kept++
		} else {
			given++
		}
	}
	if kept == 0 || given == 0 {
		t.Errorf("the old version is kept %d times and given up %d times, want both", kept, given)
	}
}
