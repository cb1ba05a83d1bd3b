package exchange

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// rolloutNet adds the exchange of rollout reports to a fleet.
type rolloutNet struct {
	*net
	// failed is what a VM has counted in its present incarnation.
	failed      map[version.VMID]uint32
	incarnation map[version.VMID]uint64
	// ended is set once no VM reports an order.
	ended bool
}

func newRolloutNet(t *testing.T, dataCentres, perDataCentre int) *rolloutNet {
	n := &rolloutNet{
		net: newNet(t, dataCentres, perDataCentre), failed: make(map[version.VMID]uint32),
		incarnation: make(map[version.VMID]uint64),
	}
	for _, member := range n.members {
		n.failed[member.VM], n.incarnation[member.VM] = 1, 1
	}
	return n
}

func (n *rolloutNet) round() {
	n.net.round()
	for _, member := range n.members {
		if n.down[member.VM] {
			continue
		}
		count := wire.RolloutCounts{Ended: 10, Failed: n.failed[member.VM]}
		own := wire.RolloutReport{Incarnation: n.incarnation[member.VM], VMs: 1, Orders: []wire.RolloutOrder{{
			Key: 7, Drained: 1, Requests: 10, Routes: []wire.RolloutRoute{{Route: 3, New: count}},
			Upstreams: []wire.RolloutUpstream{{Upstream: upstream, Counts: count}},
		}}}
		if n.ended {
			own.Orders = nil
		}
		for _, message := range n.reporters[member.VM].RolloutOutbox(n.now, own) {
			if n.down[message.To] {
				continue
			}
			n.reporters[message.To].ReceiveRollout(n.now, member.VM, message.Report)
		}
	}
}

// check checks what every VM knows of the others: how many it hears, how many of these have nothing
// at old upstreams, and the failures of all but itself.
func (n *rolloutNet) check(when string, vms, drained, failed uint32) {
	n.t.Helper()
	for _, member := range n.members {
		if n.down[member.VM] {
			continue
		}
		sum, _ := n.reporters[member.VM].RolloutSum(n.now)
		if len(sum.Orders) != 1 || len(sum.Orders[0].Routes) != 1 || len(sum.Orders[0].Upstreams) != 1 {
			n.t.Fatalf("%s: %s knows %+v", when, member.VM, sum)
		}
		order, own := sum.Orders[0], n.failed[member.VM]
		if sum.VMs != vms || order.Drained != drained || order.Routes[0].New.Failed+own != failed || order.Upstreams[0].Counts.Failed+own != failed {
			n.t.Errorf("%s: %s hears %d VMs, %d drained, %d failures of all, %d at the upstream; want %d, %d, %d",
				when, member.VM, sum.VMs, order.Drained, order.Routes[0].New.Failed+own, order.Upstreams[0].Counts.Failed+own, vms, drained, failed)
			return
		}
	}
}

// Guards against evidence that is counted twice or lost: over hubs, when a VM dies, when it starts
// again and counts from 0, and when a hub is lost.
func TestEvidenceIsCountedOnceAndKept(t *testing.T) {
	for _, size := range []struct{ dataCentres, perDataCentre int }{{3, 2}, {3, 27}} {
		n := newRolloutNet(t, size.dataCentres, size.perDataCentre)
		vms := uint32(len(n.members))
		for range 6 {
			n.round()
		}
		n.check("at first", vms-1, vms-1, vms)

		isHub := func(vm version.VMID) bool {
			r := n.reporters[vm]
			return len(r.hubs) > 0 && r.isHub(vm)
		}
		var leaf, hub version.VMID
		for _, member := range n.members[1:] {
			if !isHub(member.VM) {
				leaf = member.VM
			} else if n.reporters[member.VM].isActiveHub(n.now, member.VM) {
				hub = member.VM
			}
		}
		n.down[leaf] = true
		for range 10 {
			n.round()
		}
		n.check("a second after a VM died", vms-1, vms-2, vms)
		n.now = n.now.Add(2 * time.Second)
		for range 8 {
			n.round()
		}
		n.check("four seconds after a VM died", vms-2, vms-2, vms)

		n.down[leaf], n.failed[leaf], n.incarnation[leaf] = false, 3, 2
		r := New(leaf)
		r.SetMembers(n.members)
		n.reporters[leaf] = r
		for range 6 {
			n.round()
		}
		// The restarted VM knows all others but its own former self.
		checkRestarted := func(when string, vms, failed uint32) {
			n.failed[leaf]++
			n.check(when, vms, vms, failed)
			n.failed[leaf]--
		}
		checkRestarted("after its restart", vms-1, vms+3)

		if hub != "" {
			n.down[hub] = true
			n.round()
			n.now = n.now.Add(3 * time.Second)
			for range 12 {
				n.round()
			}
			checkRestarted("without a hub", vms-2, vms+3)
		}
	}
}

// Guards against reports that grow with the fleet, and against messages while there is no order.
func TestRolloutReportsAreBounded(t *testing.T) {
	n := newRolloutNet(t, 3, 27)
	own := wire.RolloutReport{VMs: 1}
	for _, member := range n.members {
		if messages := n.reporters[member.VM].RolloutOutbox(n.now, own); len(messages) > 0 {
			t.Fatalf("%s sends %d reports while there is no order", member.VM, len(messages))
		}
	}
	for i := range 3 * wire.MaxRolloutOrders {
		order := wire.RolloutOrder{Key: uint64(i)}
		for j := range 100 {
			order.Routes = append(order.Routes, wire.RolloutRoute{Route: uint32(i + j)})
			order.Upstreams = append(order.Upstreams, wire.RolloutUpstream{Upstream: version.UpstreamID(i*1000 + j)})
		}
		own.Orders = []wire.RolloutOrder{order}
		n.now = n.now.Add(10 * time.Millisecond)
		for _, member := range n.members[1:4] {
			r := n.reporters[n.members[0].VM]
			r.ReceiveRollout(n.now, member.VM, own)
			sum, _ := r.RolloutSum(n.now)
			if len(sum.Orders) > wire.MaxRolloutOrders {
				t.Fatalf("a sum has %d orders, want %d at most", len(sum.Orders), wire.MaxRolloutOrders)
			}
			for _, order := range sum.Orders {
				if len(order.Routes) > wire.MaxRolloutRoutes || len(order.Upstreams) > wire.MaxRolloutUpstreams {
					t.Fatalf("a sum has %d routes and %d upstreams", len(order.Routes), len(order.Upstreams))
				}
			}
		}
	}
}

// Guards against reports that go on for ever once there was an order, since each VM reports because
// it hears others report.
func TestRolloutReportsEndWithTheOrder(t *testing.T) {
	for _, size := range []struct{ dataCentres, perDataCentre int }{{3, 2}, {3, 27}} {
		n := newRolloutNet(t, size.dataCentres, size.perDataCentre)
		for range 6 {
			n.round()
		}
		n.ended = true
		// The last report of each scope on the way counts for rolloutSilence.
		for start := n.now; n.now.Sub(start) < 4*rolloutSilence; {
			n.round()
		}
		for _, member := range n.members {
			if messages := n.reporters[member.VM].RolloutOutbox(n.now, wire.RolloutReport{VMs: 1}); len(messages) > 0 {
				t.Fatalf("%d VMs: %s sends %d reports %v after the last order", len(n.members), member.VM, len(messages), 4*rolloutSilence)
			}
		}
	}
}

// Guards against a sum without the order in force, because its place is taken by orders that have
// ended.
func TestRolloutSumHoldsTheOrdersInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("a")
	r.SetMembers([]Member{{VM: "a", DataCentre: "x", Capacity: 1}, {VM: "b", DataCentre: "x", Capacity: 1}})
	// The keys grow, so that those of earlier orders sort before; b starts again at times.
	for i := range 40 {
		now = now.Add(time.Minute)
		key := uint64(1000 + i)
		r.ReceiveRollout(now, "b", wire.RolloutReport{
			Incarnation: uint64(1 + i/12), VMs: 1, Orders: []wire.RolloutOrder{{Key: key, Requests: 1}},
		})
		if sum, _ := r.RolloutSum(now); len(sum.Orders) != 1 || sum.Orders[0].Key != key {
			t.Fatalf("order %d: the sum holds %d orders, want the one in force", i, len(sum.Orders))
		}
	}
}
