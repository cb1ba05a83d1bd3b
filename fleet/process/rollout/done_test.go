package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// Guards against requests that are lost at old upstreams because the store accepts the write of done,
// and applies it only after it has answered nothing for seconds.
func TestDoneIsAppliedAfterAStallOfTheStore(t *testing.T) {
	done := 0
	for _, stall := range []time.Duration{1800 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		for i := range 20 {
			w := newWorld(t, 6, 6, uint64(i))
			w.perStep *= 2
			w.give()
			w.run(6500*time.Millisecond + time.Duration(i)*150*time.Millisecond)
			w.stalledUntil = w.now.Add(stall)
			w.run(stall + time.Second)
			if w.done {
				done++
			}
			if t.Failed() {
				t.Fatalf("store silent for %v, seed %d", stall, i)
			}
		}
	}
	if done == 0 {
		t.Error("no order was done after a stall")
	}
}

// shifting returns a VM of a fleet that reads an order in the shift, drained.
func shifting(members int) (*ordersFixture, func()) {
	f := newOrdersFixture(software("u1", "v1"), software("u2", "v2"))
	vms := make([]version.VMID, 0, members)
	for i := range members {
		vms = append(vms, version.VMID(fmt.Sprintf("vm-%d", i)))
	}
	f.SetMembers(f.now, vms)
	read := func() {
		f.SetOrders(f.now, []Order{{
			Pool: testPool, Service: "svc", Software: "v2", Duration: testDuration, Created: 5,
			At:     storeera.Position{Era: 1, Revision: 6},
			Status: Status{State: StateRunning, Software: "v2", Phase: PhaseShifting},
		}}, storeera.Position{Era: 1, Revision: 6}, f.now)
	}
	read()
	f.now = f.now.Add(3500 * time.Millisecond)
	read()
	return f, read
}

// Guards against a VM that has reported that it is drained, is suspended, and sends to an old upstream
// while another VM still counts the report and writes done; and against streams that it never takes up.
func TestDrainedVMKeepsFromOldUpstreamsWhileItsReportCounts(t *testing.T) {
	for members, lifetime := range map[int]time.Duration{3: 500 * time.Millisecond, 30: 1500 * time.Millisecond} {
		f, read := shifting(members)
		old := software("u1", "v1")
		notAll := wire.RolloutReport{VMs: uint32(members - 1), Orders: []wire.RolloutOrder{{Key: f.orders[testPool].key(), Drained: 1}}}
		f.Receive(f.now, notAll, 0)
		if f.Report(f.now).Orders[0].Drained != 1 {
			t.Fatal("the VM is not drained")
		}
		told := f.now
		takeUp := func() bool {
			rule := f.Rule(f.now, request.Ticket{Pool: testPool, Attempt: 1, Software: "v1"})
			return rule.Permits("v1", old.ID) && f.Permits(f.now, old)
		}
		// The VM is suspended, and its caller comes back after each Retry-After of 500 ms.
		f.now = told.Add(450 * time.Millisecond)
		for step := 0; f.now.Before(told.Add(lifetime + doneWriteTime)); step++ {
			if step%5 == 0 && takeUp() {
				t.Errorf("%d VMs: an old upstream gets a stream %v after the report", members, f.now.Sub(told))
			}
			f.now = f.now.Add(100 * time.Millisecond)
			read()
			f.Receive(f.now, notAll, 0)
			if f.Report(f.now).Orders[0].Drained != 0 {
				t.Fatalf("%d VMs: reported as drained while a caller waits", members)
			}
		}
		if !takeUp() {
			t.Errorf("%d VMs: a stream is not taken up %v after the report", members, f.now.Sub(told))
		}
	}
}
