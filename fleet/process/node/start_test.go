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

// started is a daemon without any link.
type started struct {
	*node.Node
	granted int
}

func startAlone(vm version.VMID, config *version.Config, now time.Time) *started {
	s := &started{Node: node.New(node.Options{
		VM: vm, DataCentre: "north", Incarnation: 1, Timeline: timeline.New(vm, 16),
	})}
	s.Step(now, node.Directory{})
	s.Step(now, node.Configure{Config: config})
	s.Step(now, node.Submit{Ticket: request.Ticket{
		ID: 1, Attempt: 1, Account: version.NewAccountID("crews"), Pool: version.NewPoolID("polish"), Wait: time.Minute,
	}})
	return s
}

// run ticks for a while and counts grants.
func (s *started) run(from time.Time, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += node.TickInterval {
		s.Tick(from.Add(at))
		for _, action := range s.Ready() {
			if _, granted := action.(node.Granted); granted {
				s.granted++
			}
		}
	}
}

// TestDaemonsStartedTogetherDoNotBothUseAColdUpstream starts two daemons whose
// platform's list has neither yet, so that they do not know of one another.
func TestDaemonsStartedTogetherDoNotBothUseAColdUpstream(t *testing.T) {
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
	for _, s := range []*started{first, second} {
		s.run(now, beforeListed)
	}
	if total := first.granted + second.granted; total > 1 {
		t.Fatalf("%d requests run at an upstream with a cold limit of 1", total)
	}
	now = now.Add(beforeListed)
	first.Step(now, node.Directory{VMs: []membership.VM{{ID: "vm-1", DataCentre: "north"}}})
	first.run(now, beforeListed)
	if first.granted != 1 {
		t.Errorf("%d grants once the list has the daemon, want 1", first.granted)
	}
}
