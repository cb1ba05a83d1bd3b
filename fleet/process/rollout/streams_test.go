package rollout

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against streams without an upstream in the shift, while the record of versions lacks the new
// one, and against an order that is done by then.
func TestStreamsBeginWhereTheRecordAllows(t *testing.T) {
	f, read := shifting(2)
	o := f.orders[testPool]
	f.SetStreamVersions(map[version.PoolID][]string{testPool: {"v1"}})
	f.Receive(f.now, wire.RolloutReport{VMs: 1, Orders: []wire.RolloutOrder{{Key: o.key()}}}, 0)
	old, next := software("u1", "v1"), software("u2", "v2")
	stream := request.Ticket{Pool: testPool, Attempt: 1, Resumable: true}
	if rule := f.Rule(f.now, stream); !rule.Permits("v1", old.ID) || rule.Permits("v2", next.ID) || !f.Permits(f.now, old) {
		t.Errorf("rule %+v of a stream that may begin at the old version only", rule)
	}
	if rule := f.Rule(f.now, request.Ticket{Pool: testPool, Attempt: 1}); rule.Permits("v1", old.ID) {
		t.Errorf("rule %+v of another request, want the new version", rule)
	}
	f.now = f.now.Add(2 * takeUpGrace)
	read()
	if f.Report(f.now).Orders[0].Drained != 0 {
		t.Error("drained although streams can begin at the old version only")
	}
	f.SetStreamVersions(map[version.PoolID][]string{testPool: {"v1", "v2"}})
	if rule := f.Rule(f.now, stream); rule.Permits("v1", old.ID) || f.Report(f.now).Orders[0].Drained != 1 {
		t.Errorf("rule %+v once the record has the new version, or not drained", rule)
	}
}

// Guards against a shift while the record of versions lacks the new one.
func TestNoShiftBeforeTheRecordHasTheVersion(t *testing.T) {
	w := newWorld(t, 6, 6, 3)
	w.give()
	for _, v := range w.vms {
		v.SetStreamVersions(map[version.PoolID][]string{testPool: {"v1"}})
	}
	w.run(8 * time.Second)
	if phase := w.order.Status.Phase; phase != PhaseCanary {
		t.Errorf("the order is %s while streams cannot begin at its version", phase)
	}
	for _, v := range w.vms {
		v.SetStreamVersions(map[version.PoolID][]string{testPool: {"v1", "v2"}})
	}
	w.run(time.Second)
	if phase := w.order.Status.Phase; phase != PhaseShifting {
		t.Errorf("the order is %s once they can", phase)
	}
}
