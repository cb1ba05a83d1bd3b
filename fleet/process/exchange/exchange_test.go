package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	engine = version.UpstreamID(7)
	tenant = version.AccountID(3)
)

// net is a fleet of exchanges whose messages arrive at once.
type net struct {
	t         *testing.T
	now       time.Time
	members   []Member
	exchanges map[version.VMID]*Exchange
	// heard sums the read totals that each VM was told and that count.
	heard map[version.VMID]map[version.VMID]wire.Work
	own   map[version.VMID]uint64
	down  map[version.VMID]bool
}

func newNet(t *testing.T, centres, perCentre int) *net {
	n := &net{
		t: t, now: time.Unix(1000, 0),
		exchanges: make(map[version.VMID]*Exchange),
		heard:     make(map[version.VMID]map[version.VMID]wire.Work),
		own:       make(map[version.VMID]uint64),
		down:      make(map[version.VMID]bool),
	}
	for centre := range centres {
		for i := range perCentre {
			n.members = append(n.members, Member{
				VM:         version.VMID(fmt.Sprintf("vm-%d-%02d", centre, i)),
				DataCentre: version.DataCentreID(fmt.Sprintf("dc-%d", centre)),
				Capacity:   float64(i%3) + 1,
			})
		}
	}
	for _, member := range n.members {
		e := New(member.VM)
		e.SetMembers(n.members)
		n.exchanges[member.VM] = e
		n.heard[member.VM] = make(map[version.VMID]wire.Work)
	}
	return n
}

// round lets every VM report once.
func (n *net) round() {
	n.now = n.now.Add(100 * time.Millisecond)
	for _, member := range n.members {
		if n.down[member.VM] {
			continue
		}
		work := wire.Work{
			Upstreams: []wire.UpstreamWork{{Upstream: engine, Running: 1, Read: n.own[member.VM]}},
			Accounts:  []wire.AccountWork{{Account: tenant, Asked: n.own[member.VM], Served: n.own[member.VM]}},
		}
		for _, message := range n.exchanges[member.VM].Outbox(n.now, work) {
			if n.down[message.To] {
				continue
			}
			if n.exchanges[message.To].Hear(n.now, member.VM, message.Work) {
				n.heard[message.To][member.VM] = message.Work
			} else {
				delete(n.heard[message.To], member.VM)
			}
		}
	}
}

// running is how many attempts of others a VM was told of.
func (n *net) running(vm version.VMID) int {
	total := 0
	for _, work := range n.heard[vm] {
		for _, entry := range work.Upstreams {
			total += int(entry.Running)
		}
	}
	return total
}

func TestEachVMKnowsTheWorkOfAllOthers(t *testing.T) {
	for _, size := range []struct{ centres, perCentre int }{{3, 2}, {3, 4}, {6, 12}} {
		n := newNet(t, size.centres, size.perCentre)
		for range 4 {
			n.round()
		}
		for _, member := range n.members {
			if running := n.running(member.VM); running != len(n.members)-1 {
				t.Errorf("%d VMs: %s was told of %d attempts of others, want %d",
					len(n.members), member.VM, running, len(n.members)-1)
			}
		}
	}
}

func TestTotalsGrowByWhatTheOthersSent(t *testing.T) {
	n := newNet(t, 3, 8)
	for range 4 {
		n.round()
	}
	observer := n.members[3].VM
	before := totalsHeard(n, observer)
	for _, member := range n.members {
		n.own[member.VM] += 10
	}
	for range 4 {
		n.round()
	}
	grown := totalsHeard(n, observer) - before
	if want := uint64(10 * (len(n.members) - 1)); grown != want {
		t.Errorf("totals grew by %d, want %d", grown, want)
	}
}

func totalsHeard(n *net, vm version.VMID) uint64 {
	total := uint64(0)
	for _, work := range n.heard[vm] {
		for _, entry := range work.Upstreams {
			total += entry.Read
		}
	}
	return total
}

func TestALostHubIsReplacedByTheOther(t *testing.T) {
	n := newNet(t, 3, 8)
	for range 4 {
		n.round()
	}
	lost := n.exchanges[n.members[0].VM].hubs["dc-0"][0]
	n.down[lost] = true
	for range 10 {
		n.round()
	}
	for _, member := range n.members {
		if member.VM == lost {
			continue
		}
		delete(n.heard[member.VM], lost)
		if running := n.running(member.VM); running != len(n.members)-2 {
			t.Errorf("%s was told of %d attempts of others, want %d", member.VM, running, len(n.members)-2)
		}
	}
}

func TestMessagesOfAVMDoNotGrowWithALargeFleet(t *testing.T) {
	n := newNet(t, 6, 50)
	n.round()
	for _, member := range n.members {
		e := n.exchanges[member.VM]
		if peers := len(e.Peers()); !e.hub() && peers != hubsPerCentre {
			t.Errorf("%s has %d links", member.VM, peers)
		}
	}
}

// A VM that does not know how old a hub's word is takes engines for idle that others have
// just sent work to (leaving-under-load on the grown sites).
func TestAHubTellsHowOldItsWordIs(t *testing.T) {
	n := newNet(t, 3, 6)
	n.round()
	n.round()
	const wait = 90 * time.Millisecond
	for _, member := range n.members {
		e := n.exchanges[member.VM]
		if !e.hub() {
			continue
		}
		for _, message := range e.Outbox(n.now.Add(wait), wire.Work{}) {
			own := e.isHub(message.To) && e.isLocal(message.To)
			if age := time.Duration(message.Work.AgeMS) * time.Millisecond; own != (age == 0) || age > 3*wait {
				t.Errorf("%s tells %s: %v old", member.VM, message.To, age)
			}
		}
	}
}
