package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
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

// limitRound makes every VM send its limit report once: a demand of one request a second, one
// request sent, and the limit that only the given VM observed.
func (n *net) limitRound(observer version.VMID, limit request.RateLimit) map[version.VMID]map[string]wire.LimitReport {
	heard := make(map[version.VMID]map[string]wire.LimitReport)
	for range 4 {
		n.round()
		for _, member := range n.members {
			own := wire.LimitReport{VMs: 1, Pools: []wire.PoolDemand{{Pool: 1, MilliPerSecond: 1000}}}
			if member.VM == observer {
				own.Upstreams = []wire.UpstreamLimit{wire.NewUpstreamLimit(upstream, limit, 0, 1)}
			} else {
				own.Upstreams = []wire.UpstreamLimit{wire.NewUpstreamLimit(upstream, request.RateLimit{State: request.LimitNone}, 10*time.Second, 1)}
			}
			for _, message := range n.reporters[member.VM].LimitOutbox(n.now, own) {
				if scope, used := n.reporters[message.To].ReceiveLimits(n.now, member.VM, message.Report); used {
					if heard[message.To] == nil {
						heard[message.To] = make(map[string]wire.LimitReport)
					}
					heard[message.To][scope] = message.Report
				}
			}
		}
	}
	return heard
}

// Guards against a VM that does not hear of a limit which only one VM was told, or that counts a
// VM's demand and requests twice or not at all.
func TestEachVMHearsOfLimitsAndCountsEachVMOnce(t *testing.T) {
	named := request.RateLimit{State: request.LimitNamed, PerSecond: 7}
	for _, size := range []struct{ dataCentres, perDataCentre int }{{3, 2}, {3, 4}, {3, 8}, {6, 12}} {
		n := newNet(t, size.dataCentres, size.perDataCentre)
		observer := n.members[len(n.members)-1].VM
		heard := n.limitRound(observer, named)
		for _, member := range n.members {
			var vms, demand, sent uint32
			heardLimit := member.VM == observer
			for _, report := range heard[member.VM] {
				vms += report.VMs
				demand += report.Pools[0].MilliPerSecond / 1000
				sent += report.Upstreams[0].Sent
				heardLimit = heardLimit || report.Upstreams[0].RateLimit() == named
			}
			others := uint32(len(n.members) - 1)
			if vms != others || demand != others || sent != others || !heardLimit {
				t.Errorf("fleet of %d VMs: %s heard of %d VMs, a demand of %d a second and %d requests, want %d of each; heard of the limit: %v",
					len(n.members), member.VM, vms, demand, sent, others, heardLimit)
			}
		}
	}
}

// Guards against hubs whose sums count the requests of a hub twice, or miss a data centre, after
// the active hub has gone.
func TestLimitReportsOfTheSecondHubReplaceThoseOfTheFirst(t *testing.T) {
	n := newNet(t, 3, 8)
	n.limitRound(n.members[0].VM, request.RateLimit{State: request.LimitNamed, PerSecond: 7})
	lost := n.reporters[n.members[0].VM].hubs["dc-0"][0]
	n.down[lost] = true
	for range 10 {
		n.round()
	}
	for _, member := range n.members {
		if scopes := n.reporters[member.VM]; scopes.selfIsHub() || member.DataCentre != "dc-0" {
			continue
		}
		second := n.reporters[member.VM].hubs["dc-0"][1]
		if scope, used := n.reporters[member.VM].ReceiveLimits(n.now, second, wire.LimitReport{VMs: 1}); scope != "fleet" || !used {
			t.Errorf("%s: report of the second hub has scope %q and is used: %v, want the scope of the first one's", member.VM, scope, used)
		}
	}
}

// Guards against a message for the whole fleet that some VM does not get, also with a hub of each
// data centre lost, and against one that goes round for ever.
func TestMessagesAreRelayedToEachVM(t *testing.T) {
	for _, size := range [][2]int{{3, 2}, {6, 12}} {
		for _, lost := range []bool{false, true} {
			n := newNet(t, size[0], size[1])
			if lost {
				for _, hubs := range n.reporters[n.members[0].VM].hubs {
					n.down[hubs[0]] = true
				}
			}
			for _, origin := range n.members {
				if n.down[origin.VM] {
					continue
				}
				type delivery struct{ from, to version.VMID }
				known, sent := map[version.VMID]bool{origin.VM: true}, 0
				var queue []delivery
				pass := func(from, at version.VMID) {
					for _, to := range n.reporters[at].Relays(from) {
						queue = append(queue, delivery{at, to})
					}
				}
				pass(origin.VM, origin.VM)
				for ; len(queue) > 0; queue = queue[1:] {
					d := queue[0]
					sent++
					if n.down[d.to] || known[d.to] {
						continue
					}
					known[d.to] = true
					pass(d.from, d.to)
				}
				for _, member := range n.members {
					if !known[member.VM] && !n.down[member.VM] {
						t.Fatalf("%v, hubs lost: %t: %s does not get a message of %s", size, lost, member.VM, origin.VM)
					}
				}
				if sent > 4*len(n.members) {
					t.Fatalf("%v: %d messages for %d VMs", size, sent, len(n.members))
				}
			}
		}
	}
}

// Guards against hubs that add paces up or replace a new one by an old one, and against a pace that
// travels in a circle and stays new: every VM knows the newest one, with its whole age.
func TestNewestPaceReachesEveryVM(t *testing.T) {
	for _, size := range []struct{ dataCentres, perDataCentre int }{{3, 2}, {3, 8}} {
		n := newNet(t, size.dataCentres, size.perDataCentre)
		for range 4 {
			n.round()
		}
		type heard struct {
			percent uint32
			at      time.Time
		}
		newest := make(map[version.VMID]heard)
		start := n.now
		early, late := n.members[1].VM, n.members[len(n.members)-1].VM
		for range 12 {
			n.round()
			for _, member := range n.members {
				var own wire.PaceReport
				switch age := n.now.Sub(start); {
				case member.VM == early && age <= 300*time.Millisecond:
					own.Upstreams = append(own.Upstreams, wire.NewUpstreamPace(upstream, 100, age))
				case member.VM == late && age >= 200*time.Millisecond && age <= 500*time.Millisecond:
					own.Upstreams = append(own.Upstreams, wire.NewUpstreamPace(upstream, 250, age-200*time.Millisecond))
				}
				for _, message := range n.reporters[member.VM].PaceOutbox(n.now, own) {
					if !n.reporters[message.To].ReceivePaces(n.now, member.VM, message.Report) {
						continue
					}
					for _, entry := range message.Report.Upstreams {
						if at := n.now.Add(-entry.Age()); at.After(newest[message.To].at) {
							newest[message.To] = heard{entry.Percent, at}
						}
					}
				}
			}
		}
		for _, member := range n.members {
			want := heard{250, start.Add(200 * time.Millisecond)}
			if member.VM != late && newest[member.VM] != want {
				t.Errorf("fleet of %d VMs: %s knows %+v, want %+v", len(n.members), member.VM, newest[member.VM], want)
			}
		}
		for _, member := range n.members {
			if messages := n.reporters[member.VM].PaceOutbox(n.now, wire.PaceReport{}); len(messages) > 0 {
				t.Errorf("%s still passes on a pace of a second ago", member.VM)
			}
		}
	}
}
