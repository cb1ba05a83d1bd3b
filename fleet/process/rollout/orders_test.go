package rollout

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// ordersFixture is a controller that reads orders for one service.
type ordersFixture struct {
	*Controller
	now time.Time
}

func newOrdersFixture(upstreams ...*version.Upstream) *ordersFixture {
	now := time.Unix(1000, 0)
	c := New(Options{VM: "vm-0", Incarnation: 1, ExposureShare: testShare, RollbackTime: testRollback})
	c.SetMembers(now, []version.VMID{"vm-0"})
	c.Configure(now, configOf(upstreams...))
	return &ordersFixture{c, now}
}

// read lets the controller read an order after a time.
func (f *ordersFixture) read(after time.Duration, software string, created uint64, at storeera.Position, state State) {
	f.now = f.now.Add(after)
	f.SetOrders(f.now, []Order{{
		Pool: testPool, Service: "svc", Software: software, Duration: testDuration, Created: created, At: at,
		Status: Status{State: state, Software: software},
	}}, at, f.now)
}

// Guards against a stale read that brings back an order which another one has replaced, and with it
// requests to a version that was rolled back.
func TestStaleReadDoesNotBringBackAReplacedOrder(t *testing.T) {
	v1, v2, v3 := software("u1", "v1"), software("u2", "v2"), software("u3", "v3")
	f := newOrdersFixture(v1, v2, v3)
	f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 5}, StateNone)
	f.read(time.Second, "v2", 5, storeera.Position{Era: 1, Revision: 6}, StateRolledBack)
	f.read(time.Second, "v3", 5, storeera.Position{Era: 1, Revision: 7}, StateNone)
	f.read(time.Second, "v2", 5, storeera.Position{Era: 1, Revision: 5}, StateNone)
	for range 100 {
		if rule := f.Rule(f.now, request.Ticket{Pool: testPool, Attempt: 1}); rule.Permits("v2", v2.ID) {
			t.Fatalf("rule %+v after a stale read, want one without the version that was rolled back", rule)
		}
	}
	if f.Permits(f.now, v2) {
		t.Error("a version that was rolled back gets requests after a stale read")
	}
	if view := f.Overview(f.now); len(view) != 1 || view[0].Software != "v3" {
		t.Errorf("%+v after a stale read, want the order for v3", view)
	}
}

// Guards against a new order that ends at once, because an order with the same spec ended long ago
// in an earlier era of the store.
func TestOrderOfALaterEraBeginsAnew(t *testing.T) {
	for _, state := range []State{StateDone, StateRolledBack} {
		f := newOrdersFixture(software("u1", "v1"), software("u2", "v2"))
		f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 5}, StateNone)
		f.read(time.Second, "v2", 5, storeera.Position{Era: 1, Revision: 9}, state)
		f.now = f.now.Add(time.Second)
		f.SetOrders(f.now, nil, storeera.Position{Era: 1, Revision: 10}, f.now)
		f.read(time.Hour, "v2", 3, storeera.Position{Era: 2, Revision: 3}, StateNone)
		if view := f.Overview(f.now); view[0].State != StateNone || view[0].Elapsed > 0 {
			t.Errorf("a new order is %q after %v, an hour after the end of one that was %s", view[0].State, view[0].Elapsed, state)
		}
	}
}

// Guards against a stale list that brings an order back which was removed, and against one that lacks an
// order and so lets its version serve.
func TestStaleListIsIgnored(t *testing.T) {
	v2 := software("u2", "v2")
	f := newOrdersFixture(software("u1", "v1"), v2)
	f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 6}, StateRunning)
	f.now = f.now.Add(time.Second)
	f.SetOrders(f.now, nil, storeera.Position{Era: 1, Revision: 7}, f.now)
	f.read(time.Second, "v2", 5, storeera.Position{Era: 1, Revision: 6}, StateRunning)
	if view := f.Overview(f.now); len(view) != 0 || f.Permits(f.now, v2) {
		t.Errorf("%+v after a stale list, want no order; v2 permitted: %v", view, f.Permits(f.now, v2))
	}
	f = newOrdersFixture(software("u1", "v1"))
	f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 6}, StateNone)
	f.now = f.now.Add(time.Second)
	f.Configure(f.now, configOf(software("u1", "v1"), v2, software("u3", "v3")))
	f.now = f.now.Add(time.Second)
	f.SetOrders(f.now, nil, storeera.Position{Era: 1, Revision: 4}, f.now)
	if f.Permits(f.now, software("u3", "v3")) || len(f.Overview(f.now)) != 1 {
		t.Errorf("%+v after a stale list without orders; v3 permitted: %v", f.Overview(f.now), f.Permits(f.now, software("u3", "v3")))
	}
}
