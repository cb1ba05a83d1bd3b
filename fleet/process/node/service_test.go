package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// backloggedFleet is a simulated fleet whose accounts always have waiting
// requests. It records what each account was served, in cost units.
type backloggedFleet struct {
	*pump.Simulation
	document
	accounts []version.AccountID
	served   map[version.AccountID]float64
	costs    map[version.AccountID]request.Cost
}

const (
	fairAccounts = 3
	// callersPerAccount is the number of callers that keep an account
	// backlogged.
	callersPerAccount = 40
)

// newBackloggedFleet starts a fleet without callers. The accounts have equal
// weights and requests of different cost.
func newBackloggedFleet(t *testing.T, fault func(from, to version.VMID, random *rand.Rand) pump.FrameFault, sites ...site) *backloggedFleet {
	t.Helper()
	s := &backloggedFleet{
		document: document{sites: sites, accounts: fairAccounts},
		served:   make(map[version.AccountID]float64),
		costs:    make(map[version.AccountID]request.Cost),
	}
	config := s.compile(t)
	s.Simulation = pump.New(pump.Options{Seed: 1, Config: config, Observer: s, Fault: fault})
	for _, site := range sites {
		for i := range site.vms {
			s.Add(version.VMID(fmt.Sprintf("%s-vm-%d", site.name, i)), site.name)
		}
	}
	for i := range fairAccounts {
		id := version.NewAccountID(accountName(i))
		s.accounts = append(s.accounts, id)
		s.costs[id] = request.Cost(20 + 40*i)
	}
	return s
}

// startEverywhere spreads each account's callers over all VMs.
func (s *backloggedFleet) startEverywhere() {
	for _, id := range s.accounts {
		s.startAt(id, s.VMs())
	}
}

// startAt starts an account's callers at the given VMs.
func (s *backloggedFleet) startAt(id version.AccountID, vms []version.VMID) {
	for i := range callersPerAccount {
		s.submit(vms[i%len(vms)], id)
	}
}

func (s *backloggedFleet) submit(vm version.VMID, id version.AccountID) {
	cost := s.costs[id]
	s.Submit(vm, request.Ticket{Account: id, Pool: poolID, Estimate: cost, Wait: time.Minute}, cost)
}

func (s *backloggedFleet) Granted(time.Time, pump.Job, version.UpstreamID) {}

func (s *backloggedFleet) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	s.served[job.Ticket.Account] += float64(cost)
}

func (s *backloggedFleet) Ended(_ time.Time, job pump.Job) { s.submitAgain(job) }

func (s *backloggedFleet) Refused(_ time.Time, job pump.Job, _ request.Refusal) { s.submitAgain(job) }

func (s *backloggedFleet) Lost(_ time.Time, job pump.Job, _ bool) { s.submitAgain(job) }

// submitAgain submits the next request of a caller after a short pause.
func (s *backloggedFleet) submitAgain(job pump.Job) {
	s.After(100*time.Millisecond, func() { s.submit(job.VM, job.Ticket.Account) })
}

// dispatchers returns the VMs that dispatch the pool.
func (s *backloggedFleet) dispatchers() []version.VMID {
	var vms []version.VMID
	for _, vm := range s.VMs() {
		if len(s.Daemon(vm).Node.Stats(s.Now()).Pools) > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// checkLevels fails the test unless the level of each account at each
// dispatcher is what the account was served, within tolerance cost units.
func (s *backloggedFleet) checkLevels(t *testing.T, tolerance float64) {
	t.Helper()
	for _, vm := range s.dispatchers() {
		for _, id := range s.accounts {
			level := s.Daemon(vm).Node.Level(id)
			if level < s.served[id]-tolerance || level > s.served[id]+tolerance {
				t.Errorf("%s: level %.0f of an account that was served %.0f cost units", vm, level, s.served[id])
			}
		}
	}
}

// checkEvenShares fails the test unless all accounts were served the same,
// within tolerance cost units.
func (s *backloggedFleet) checkEvenShares(t *testing.T, tolerance float64) {
	t.Helper()
	least, most := s.served[s.accounts[0]], s.served[s.accounts[0]]
	for _, id := range s.accounts {
		least, most = min(least, s.served[id]), max(most, s.served[id])
	}
	if most-least > tolerance {
		t.Errorf("accounts were served between %.0f and %.0f cost units", least, most)
	}
}

// inFlightBound bounds what may be charged and not yet served, or the reverse,
// in cost units: each slot with the largest request and one second of service.
func (s *backloggedFleet) inFlightBound() float64 {
	slots := 0
	for _, site := range s.sites {
		slots += site.upstreams * warmLimit
	}
	return float64(slots) * (20 + 40*(fairAccounts-1) + float64(time.Second/pump.TimePerCostUnit))
}

// A dispatcher that counts only its own grants would serve an account again for
// what it was served in other data centres.
func TestDispatchersKnowServiceOfOtherDataCentres(t *testing.T) {
	s := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(60 * time.Second)
	s.checkLevels(t, s.inFlightBound())
	s.checkEvenShares(t, s.inFlightBound())
}

// Shares must not depend on where the callers connect. One account is alone in
// the data centre with most slots, two share the one with few.
func TestSharesAreEvenWhereverCallersConnect(t *testing.T) {
	s := newBackloggedFleet(t, nil, site{"north", "one", 2, 4}, site{"south", "two", 2, 2})
	north, south := s.VMs()[:2], s.VMs()[2:]
	s.startAt(s.accounts[0], north)
	s.startAt(s.accounts[1], south)
	s.startAt(s.accounts[2], south)
	s.Run(120 * time.Second)
	s.checkEvenShares(t, s.inFlightBound())
}

// A restarted daemon has lost its counts, as a home and as a dispatcher's
// daemon. Every daemon is restarted in turn; the shares must stay even and the
// levels must be recovered.
func TestRestartedDaemonsRecoverLevels(t *testing.T) {
	s := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(60 * time.Second)
	for _, vm := range s.VMs() {
		s.Restart(vm)
		s.Run(20 * time.Second)
		s.checkEvenShares(t, 2*s.inFlightBound())
	}
	s.Run(10 * time.Second)
	s.checkLevels(t, 2*s.inFlightBound())
}

// A home's report leaves out what its receiver counted itself. A restarted
// receiver that applied a report for its earlier process would miss that count.
func TestLevelsForEarlierProcessAreIgnored(t *testing.T) {
	n := node.New(node.Options{VM: "a", DataCentre: "north", Incarnation: 2, Timeline: timeline.New("a", 1)})
	for _, incarnation := range []uint32{1, 2} {
		n.Step(time.UnixMilli(0), node.Receive{From: "home", Incarnation: 1, Message: wire.ServiceLevels{
			Incarnation: incarnation,
			Sequence:    uint64(incarnation),
			Records:     []wire.ServiceRecord{{Account: 7, Charged: 500}},
		}})
		want := map[uint32]float64{1: 0, 2: 500}[incarnation]
		if level := n.Level(7); level != want {
			t.Errorf("level %.0f after a report for incarnation %d, want %.0f", level, incarnation, want)
		}
	}
}

// During a partition each side counts alone. Afterwards the levels and the
// shares must agree again.
func TestSharesConvergeAfterPartition(t *testing.T) {
	s := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"south", "two", 2, 1})
	s.startEverywhere()
	s.Run(30 * time.Second)
	north, south := s.VMs()[:2], s.VMs()[2:]
	s.Cut(north, south)
	s.Run(30 * time.Second)
	s.Heal(north, south)
	s.Run(60 * time.Second)
	s.checkLevels(t, s.inFlightBound())
	s.checkEvenShares(t, s.inFlightBound())
}

// A lost, duplicated or reordered service record must not shift the shares.
func TestSharesSurviveLostDuplicatedAndReorderedMessages(t *testing.T) {
	s := newBackloggedFleet(t, lossyNetwork(3), site{"north", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(120 * time.Second)
	s.checkEvenShares(t, 2*s.inFlightBound())
}

// accountName returns the name of the account with an index.
func accountName(i int) string {
	if i == 0 {
		return "counters"
	}
	return fmt.Sprintf("account-%d", i)
}
