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
	f := &backloggedFleet{
		document: document{sites: sites, accounts: fairAccounts},
		served:   make(map[version.AccountID]float64),
		costs:    make(map[version.AccountID]request.Cost),
	}
	config := f.compile(t)
	f.Simulation = pump.New(pump.Options{Seed: 1, Config: config, Observer: f, Fault: fault})
	for _, site := range sites {
		for i := range site.vms {
			f.Add(version.VMID(fmt.Sprintf("%s-vm-%d", site.name, i)), site.name)
		}
	}
	for i := range fairAccounts {
		id := version.NewAccountID(accountName(i))
		f.accounts = append(f.accounts, id)
		f.costs[id] = request.Cost(20 + 40*i)
	}
	return f
}

// startEverywhere spreads each account's callers over all VMs.
func (f *backloggedFleet) startEverywhere() {
	for _, id := range f.accounts {
		f.startAt(id, f.VMs())
	}
}

// startAt starts an account's callers at the given VMs.
func (f *backloggedFleet) startAt(id version.AccountID, vms []version.VMID) {
	for i := range callersPerAccount {
		f.submit(vms[i%len(vms)], id)
	}
}

func (f *backloggedFleet) submit(vm version.VMID, id version.AccountID) {
	cost := f.costs[id]
	f.Submit(vm, request.Ticket{Account: id, Pool: poolID, Estimate: cost, Wait: time.Minute}, cost)
}

func (f *backloggedFleet) Granted(time.Time, pump.Job, version.UpstreamID) {}

func (f *backloggedFleet) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	f.served[job.Ticket.Account] += float64(cost)
}

func (f *backloggedFleet) Ended(_ time.Time, job pump.Job) { f.submitAgain(job) }

func (f *backloggedFleet) Refused(_ time.Time, job pump.Job, _ request.Refusal) { f.submitAgain(job) }

func (f *backloggedFleet) Lost(_ time.Time, job pump.Job, _ bool) { f.submitAgain(job) }

// submitAgain submits the next request of a caller after a short pause.
func (f *backloggedFleet) submitAgain(job pump.Job) {
	f.After(100*time.Millisecond, func() { f.submit(job.VM, job.Ticket.Account) })
}

// dispatchers returns the VMs that dispatch the pool.
func (f *backloggedFleet) dispatchers() []version.VMID {
	var vms []version.VMID
	for _, vm := range f.VMs() {
		if len(f.Daemon(vm).Node.Stats(f.Now()).Pools) > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// checkLevels fails the test unless the level of each account at each
// dispatcher is what the account was served, within tolerance cost units.
func (f *backloggedFleet) checkLevels(t *testing.T, tolerance float64) {
	t.Helper()
	for _, vm := range f.dispatchers() {
		for _, id := range f.accounts {
			level := f.Daemon(vm).Node.Level(id)
			if level < f.served[id]-tolerance || level > f.served[id]+tolerance {
				t.Errorf("%s: level %.0f of an account that was served %.0f cost units", vm, level, f.served[id])
			}
		}
	}
}

// checkEvenShares fails the test unless all accounts were served the same,
// within tolerance cost units.
func (f *backloggedFleet) checkEvenShares(t *testing.T, tolerance float64) {
	t.Helper()
	least, most := f.served[f.accounts[0]], f.served[f.accounts[0]]
	for _, id := range f.accounts {
		least, most = min(least, f.served[id]), max(most, f.served[id])
	}
	if most-least > tolerance {
		t.Errorf("accounts were served between %.0f and %.0f cost units", least, most)
	}
}

// inFlightBound bounds what may be charged and not yet served, or the reverse,
// in cost units: each slot with the largest request and one second of service.
func (f *backloggedFleet) inFlightBound() float64 {
	slots := 0
	for _, site := range f.sites {
		slots += site.upstreams * warmLimit
	}
	return float64(slots) * (20 + 40*(fairAccounts-1) + float64(time.Second/pump.TimePerCostUnit))
}

// A dispatcher that counts only its own grants would serve an account again for
// what it was served in other data centres.
func TestDispatchersKnowServiceOfOtherDataCentres(t *testing.T) {
	f := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	f.startEverywhere()
	f.Run(60 * time.Second)
	f.checkLevels(t, f.inFlightBound())
	f.checkEvenShares(t, f.inFlightBound())
}

// Shares must not depend on where the callers connect. One account is alone in
// the data centre with most slots, two share the one with few.
func TestSharesAreEvenWhereverCallersConnect(t *testing.T) {
	f := newBackloggedFleet(t, nil, site{"north", "one", 2, 4}, site{"south", "two", 2, 2})
	north, south := f.VMs()[:2], f.VMs()[2:]
	f.startAt(f.accounts[0], north)
	f.startAt(f.accounts[1], south)
	f.startAt(f.accounts[2], south)
	f.Run(120 * time.Second)
	f.checkEvenShares(t, f.inFlightBound())
}

// A restarted daemon has lost its counts, as a home and as a dispatcher's
// daemon. Every daemon is restarted in turn; the shares must stay even and the
// levels must be recovered.
func TestRestartedDaemonsRecoverLevels(t *testing.T) {
	f := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	f.startEverywhere()
	f.Run(60 * time.Second)
	for _, vm := range f.VMs() {
		f.Restart(vm)
		f.Run(20 * time.Second)
		f.checkEvenShares(t, 2*f.inFlightBound())
	}
	f.Run(10 * time.Second)
	f.checkLevels(t, 2*f.inFlightBound())
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
	f := newBackloggedFleet(t, nil, site{"north", "one", 2, 2}, site{"south", "two", 2, 1})
	f.startEverywhere()
	f.Run(30 * time.Second)
	north, south := f.VMs()[:2], f.VMs()[2:]
	f.Cut(north, south)
	f.Run(30 * time.Second)
	f.Heal(north, south)
	f.Run(60 * time.Second)
	f.checkLevels(t, f.inFlightBound())
	f.checkEvenShares(t, f.inFlightBound())
}

// A lost, duplicated or reordered service record must not shift the shares.
func TestSharesSurviveLostDuplicatedAndReorderedMessages(t *testing.T) {
	f := newBackloggedFleet(t, lossyNetwork(3), site{"north", "one", 2, 2}, site{"south", "two", 2, 2})
	f.startEverywhere()
	f.Run(120 * time.Second)
	f.checkEvenShares(t, 2*f.inFlightBound())
}

// accountName returns the name of the account with an index.
func accountName(i int) string {
	if i == 0 {
		return "counters"
	}
	return fmt.Sprintf("account-%d", i)
}
