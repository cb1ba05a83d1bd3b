package node_test

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// loneDaemon is a daemon without any link and the number of its grants.
type loneDaemon struct {
	*node.Node
	granted int
}

// startAlone starts a daemon that the platform's list does not contain yet and
// submits a request to it.
func startAlone(vm version.VMID, config *version.Config, now time.Time) *loneDaemon {
	d := &loneDaemon{Node: node.New(node.Options{
		VM: vm, DataCentre: "north", Incarnation: 1, Timeline: timeline.New(vm, 16),
	})}
	d.Step(now, node.Directory{})
	d.Step(now, node.Configure{Config: config})
	d.Step(now, node.Submit{Ticket: request.Ticket{
		ID: 1, Attempt: 1, Account: version.NewAccountID("crews"), Pool: version.NewPoolID("polish"), Wait: time.Minute,
	}})
	return d
}

// run ticks the daemon for the given duration and counts its grants.
func (d *loneDaemon) run(from time.Time, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += node.TickInterval {
		d.Tick(from.Add(at))
		for _, action := range d.Ready() {
			if _, granted := action.(node.Granted); granted {
				d.granted++
			}
		}
	}
}

// Two daemons that start together do not know each other while the platform's
// list contains neither. If each considered itself the owner of all slots, both
// would use the one slot of a cold upstream.
func TestDaemonsStartedTogetherShareColdLimit(t *testing.T) {
	t.Parallel()
	const beforeListed = 5 * time.Second
	now := time.UnixMilli(0)
	config, err := version.Compile(&version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}},
		Accounts:    []version.AccountSpec{{Name: "crews"}},
		Pools:       []version.PoolSpec{{Name: "polish", Kind: version.PoolModel, Models: []string{"m"}}},
		Upstreams: []version.UpstreamSpec{
			{Name: "north-1", Pool: "polish", DataCentre: "north", Address: "127.0.0.1:1", ColdLimit: 1},
		},
		Presets: []version.PresetSpec{{Name: "day"}},
	}, version.Head{Number: 1, Preset: "day"})
	if err != nil {
		t.Fatal(err)
	}
	first, second := startAlone("vm-1", config, now), startAlone("vm-2", config, now)
	for _, d := range []*loneDaemon{first, second} {
		d.run(now, beforeListed)
	}
	if total := first.granted + second.granted; total > 1 {
		t.Fatalf("%d requests granted at an upstream with a cold limit of 1", total)
	}
	now = now.Add(beforeListed)
	first.Step(now, node.Directory{VMs: []membership.VM{{ID: "vm-1", DataCentre: "north"}}})
	first.run(now, beforeListed)
	if first.granted != 1 {
		t.Errorf("%d grants once the list contains the daemon, want 1", first.granted)
	}
}
