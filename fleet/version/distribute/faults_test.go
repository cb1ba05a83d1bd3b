package distribute

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// disturb does one thing at random to a fleet.
func (f *fleet) disturb(step int) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(8) {
	case 0:
		f.publish(testDocument(float64(1+step)), nil)
	case 1, 2:
		name := []string{"north", "south"}[f.random.IntN(2)]
		// The clocks of operators differ by up to a minute.
		millis := f.now.UnixMilli() + f.random.Int64N(60_000)
		order := version.Order{Operation: fmt.Sprintf("order-%d", step), Millis: millis, Target: version.TargetDataCentre, Name: name, Out: f.random.IntN(2) == 0}
		// A daemon without a head refuses; that is part of the disturbance.
		_, _ = n.core.GiveOrder(f.now, order)
	case 3:
		f.start(n)
	case 4:
		f.platform.down = !f.platform.down
	case 5:
		n.cutOff = !n.cutOff
	case 6:
		side := f.nodes[f.random.IntN(len(f.nodes))].dataCentre
		f.cut = func(from, to *testNode) bool { return (from.dataCentre == side) != (to.dataCentre == side) }
	case 7:
		f.cut = nil
	}
}

// absorbOrders lets watching nodes that reach the platform write their orders.
func (f *fleet) absorbOrders() {
	for _, n := range f.nodes {
		orders := n.core.Orders()
		if !n.core.Watching() || f.platform.down || n.cutOff || len(f.platform.head.Pending(orders)) == 0 {
			continue
		}
		f.platform.head = f.platform.head.Absorb(orders).By("absorb")
	}
}

// TestEveryDaemonEndsWithThePlatformsHead disturbs a fleet at random, heals it
// and wants every daemon to hold exactly what the platform holds. That numbers
// only grow is checked all the while.
func TestEveryDaemonEndsWithThePlatformsHead(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(t, 2, 4, seed)
		f.loss, f.repeat = 0.1, 0.1
		f.publish(testDocument(1), nil)
		f.run(2 * time.Second)
		for step := range 30 {
			f.disturb(step)
			f.run(time.Duration(f.random.Int64N(int64(3 * time.Second))))
			if f.random.IntN(3) == 0 {
				f.absorbOrders()
			}
		}
		f.cut, f.platform.down, f.loss = nil, false, 0
		for _, n := range f.nodes {
			n.cutOff = false
		}
		for range 3 {
			f.run(inForceUnderFaults)
			f.absorbOrders()
		}
		want := f.platform.head
		for _, n := range f.nodes {
			out := n.config.OutNames()
			if n.config.Number != want.Number || fmt.Sprint(out) != fmt.Sprint(want.Out) || len(n.core.Orders()) > 0 {
				t.Errorf("seed %d: %s holds %d, out %v, orders %v; the platform %d, out %v",
					seed, n.vm, n.config.Number, out, n.core.Orders(), want.Number, want.Out)
			}
		}
		if t.Failed() {
			return
		}
	}
}
