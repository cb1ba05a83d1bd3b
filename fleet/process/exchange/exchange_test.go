package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	upstream = version.UpstreamID(7)
	account  = version.AccountID(3)
)

// net is a fleet of reporters whose messages are delivered without delay.
type net struct {
	t         *testing.T
	now       time.Time
	members   []Member
	reporters map[version.VMID]*Reporter
	// used holds the latest report of each sender that each receiver uses, by
	// receiver and sender.
	used map[version.VMID]map[version.VMID]wire.LoadReport
	// own is the number that a VM reports as each of its totals: of uncached,
	// requested and served tokens.
	own map[version.VMID]uint64
	// down is the set of VMs that neither send nor receive.
	down map[version.VMID]bool
}

func newNet(t *testing.T, dataCentres, perDataCentre int) *net {
	n := &net{
		t: t, now: time.Unix(1000, 0),
		reporters: make(map[version.VMID]*Reporter),
		used:      make(map[version.VMID]map[version.VMID]wire.LoadReport),
		own:       make(map[version.VMID]uint64),
		down:      make(map[version.VMID]bool),
	}
	for dataCentre := range dataCentres {
		for i := range perDataCentre {
			n.members = append(n.members, Member{
				VM:         version.VMID(fmt.Sprintf("vm-%d-%02d", dataCentre, i)),
				DataCentre: version.DataCentreID(fmt.Sprintf("dc-%d", dataCentre)),
				Capacity:   float64(i%3) + 1,
			})
		}
	}
	for _, member := range n.members {
		r := New(member.VM)
		r.SetMembers(n.members)
		n.reporters[member.VM] = r
		n.used[member.VM] = make(map[version.VMID]wire.LoadReport)
	}
	return n
}

// round makes every VM send its reports once.
func (n *net) round() {
	n.now = n.now.Add(100 * time.Millisecond)
	for _, member := range n.members {
		if n.down[member.VM] {
			continue
		}
		report := wire.LoadReport{
			Upstreams: []wire.UpstreamLoad{{Upstream: upstream, Running: 1, UncachedPromptTokens: n.own[member.VM]}},
			Accounts:  []wire.AccountUsage{{Account: account, RequestedTokens: n.own[member.VM], ServedTokens: n.own[member.VM]}},
		}
		for _, message := range n.reporters[member.VM].Outbox(n.now, report) {
			if n.down[message.To] {
				continue
			}
			if n.reporters[message.To].Receive(n.now, member.VM, message.Work) {
				n.used[message.To][member.VM] = message.Work
			} else {
				delete(n.used[message.To], member.VM)
			}
		}
	}
}

// running returns the number of running attempts of other VMs that a VM knows of.
func (n *net) running(vm version.VMID) int {
	total := 0
	for _, report := range n.used[vm] {
		for _, entry := range report.Upstreams {
			total += int(entry.Running)
		}
	}
	return total
}

func TestEachVMKnowsTheLoadOfAllOthers(t *testing.T) {
	for _, size := range []struct{ dataCentres, perDataCentre int }{{3, 2}, {3, 4}, {6, 12}} {
		n := newNet(t, size.dataCentres, size.perDataCentre)
		for range 4 {
			n.round()
		}
		for _, member := range n.members {
			if running := n.running(member.VM); running != len(n.members)-1 {
				t.Errorf("fleet of %d VMs: %s knows of %d running attempts of other VMs, want %d",
					len(n.members), member.VM, running, len(n.members)-1)
			}
		}
	}
}

func TestReportedTotalsGrowByTheUsageOfOtherVMs(t *testing.T) {
	n := newNet(t, 3, 8)
	for range 4 {
		n.round()
	}
	observer := n.members[3].VM
	before := reportedTotals(n, observer)
	for _, member := range n.members {
		n.own[member.VM] += 10
	}
	for range 4 {
		n.round()
	}
	growth := reportedTotals(n, observer) - before
	if want := uint64(10 * (len(n.members) - 1)); growth != want {
		t.Errorf("reported totals grew by %d tokens, want %d", growth, want)
	}
}

func reportedTotals(n *net, vm version.VMID) uint64 {
	total := uint64(0)
	for _, report := range n.used[vm] {
		for _, entry := range report.Upstreams {
			total += entry.UncachedPromptTokens
		}
	}
	return total
}

func TestSecondHubTakesOverWhenTheFirstIsLost(t *testing.T) {
	n := newNet(t, 3, 8)
	for range 4 {
		n.round()
	}
	lost := n.reporters[n.members[0].VM].hubs["dc-0"][0]
	n.down[lost] = true
	for range 10 {
		n.round()
	}
	for _, member := range n.members {
		if member.VM == lost {
			continue
		}
		delete(n.used[member.VM], lost)
		if running := n.running(member.VM); running != len(n.members)-2 {
			t.Errorf("%s knows of %d running attempts of other VMs, want %d", member.VM, running, len(n.members)-2)
		}
	}
}

func TestLinksOfAVMDoNotGrowWithALargeFleet(t *testing.T) {
	n := newNet(t, 6, 50)
	n.round()
	for _, member := range n.members {
		r := n.reporters[member.VM]
		if peers := len(r.Peers()); !r.selfIsHub() && peers != hubsPerDataCentre {
			t.Errorf("%s has %d links, want one to each hub", member.VM, peers)
		}
	}
}

// Guards against hub reports without an age. A VM that takes an old sum for current
// considers upstreams idle to which other VMs have just sent requests, and overloads
// them. This occurred in large fleets when VMs left under load.
func TestHubReportsCarryTheAgeOfTheirData(t *testing.T) {
	n := newNet(t, 3, 6)
	n.round()
	n.round()
	const delay = 90 * time.Millisecond
	for _, member := range n.members {
		r := n.reporters[member.VM]
		if !r.selfIsHub() {
			continue
		}
		for _, message := range r.Outbox(n.now.Add(delay), wire.LoadReport{}) {
			own := r.isHub(message.To) && r.isLocal(message.To)
			if age := time.Duration(message.Work.AgeMS) * time.Millisecond; own != (age == 0) || age > 3*delay {
				t.Errorf("report of %s to %s has an age of %v, want 0 for its own load only", member.VM, message.To, age)
			}
		}
	}
}
