package distribute

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// injectFault publishes a change, gives an order, or injects or heals a fault, at
// random.
func (f *fleet) injectFault(step int) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(8) {
	case 0:
		f.publish(testDocument(float64(1+step)), nil)
	case 1, 2:
		name := []string{"north", "south"}[f.random.IntN(2)]
		// The clocks of operators differ by up to one minute.
		millis := f.now.UnixMilli() + f.random.Int64N(60_000)
		order := version.Order{Operation: fmt.Sprintf("order-%d", step), Millis: millis, Target: version.TargetDataCentre, Name: name, Out: f.random.IntN(2) == 0}
		// A daemon without a head rejects the order, which is a valid outcome.
		_, _ = n.core.ApplyOrder(f.now, order)
	case 3:
		f.start(n)
	case 4:
		f.platform.unreachable = !f.platform.unreachable
	case 5:
		n.cutOff = !n.cutOff
	case 6:
		side := f.nodes[f.random.IntN(len(f.nodes))].dataCentre
		f.partitioned = func(from, to *testNode) bool { return (from.dataCentre == side) != (to.dataCentre == side) }
	case 7:
		f.partitioned = nil
	}
}

// absorbOrders has the platform's head absorb the orders of the watchers that reach
// the platform.
func (f *fleet) absorbOrders() {
	for _, n := range f.nodes {
		orders := n.core.Orders()
		if !n.core.Watching() || f.platform.unreachable || n.cutOff || len(f.platform.head.Pending(orders)) == 0 {
			continue
		}
		f.platform.head = f.platform.head.Absorb(orders).WithOperation("absorb")
	}
}

// TestEveryDaemonConvergesToThePlatformsHead injects random faults, heals them and
// checks that every daemon has applied the platform's head and nothing else. It
// also checks throughout that the numbers of applied configurations only rise.
func TestEveryDaemonConvergesToThePlatformsHead(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(t, 2, 4, seed)
		f.lossFraction, f.duplicateFraction = 0.1, 0.1
		f.publish(testDocument(1), nil)
		f.run(2 * time.Second)
		for step := range 30 {
			f.injectFault(step)
			f.run(time.Duration(f.random.Int64N(int64(3 * time.Second))))
			if f.random.IntN(3) == 0 {
				f.absorbOrders()
			}
		}
		f.partitioned, f.platform.unreachable, f.lossFraction = nil, false, 0
		for _, n := range f.nodes {
			n.cutOff = false
		}
		for range 3 {
			f.run(appliedWithinUnderFaults)
			f.absorbOrders()
		}
		want := f.platform.head
		for _, n := range f.nodes {
			out := n.config.OutOfServiceNames()
			if n.config.Number != want.Number || fmt.Sprint(out) != fmt.Sprint(want.Out) || len(n.core.Orders()) > 0 {
				t.Errorf("seed %d: %s has version %d, out of service %v, pending orders %v; want version %d of the platform, out of service %v, no orders",
					seed, n.vm, n.config.Number, out, n.core.Orders(), want.Number, want.Out)
			}
		}
		if t.Failed() {
			return
		}
	}
}
