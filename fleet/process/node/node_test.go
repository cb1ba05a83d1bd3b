package node_test

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
)

// BenchmarkIdleSecond measures the work of a daemon of a large fleet in one
// second without requests.
func BenchmarkIdleSecond(b *testing.B) {
	vms, config := largeFleet(b)
	vm := vms[0]
	now := time.UnixMilli(0)
	n := node.New(node.Options{VM: vm.ID, DataCentre: vm.DataCentre, Incarnation: 1, Timeline: timeline.New(vm.ID, 16)})
	n.Step(now, node.Configure{Config: config})
	n.Step(now, node.Directory{VMs: vms})
	for _, peer := range vms {
		if peer.DataCentre == vm.DataCentre && peer.ID != vm.ID {
			n.Step(now, node.PeerUp{Hello: helloOf(peer.ID, peer.DataCentre, 1)})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for range time.Second / node.TickInterval {
			now = now.Add(node.TickInterval)
			n.Tick(now)
			n.Ready()
		}
	}
}
