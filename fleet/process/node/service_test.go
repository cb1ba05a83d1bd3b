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

// shared is a fleet whose accounts always have waiting requests, with a ledger
// of what each was served.
type shared struct {
	*pump.Pump
	document
	accounts []version.AccountID
	served   map[version.AccountID]float64
	costs    map[version.AccountID]request.Cost
}

const (
	sharedAccounts = 3
	// sharedCallers keep each account backlogged.
	sharedCallers = 40
)

func newShared(t *testing.T, fault func(from, to version.VMID, random *rand.Rand) pump.Fate, sites ...site) *shared {
	t.Helper()
	s := &shared{
		document: document{sites: sites, accounts: sharedAccounts},
		served:   make(map[version.AccountID]float64),
		costs:    make(map[version.AccountID]request.Cost),
	}
	config := s.compile(t)
	s.Pump = pump.New(pump.Options{Seed: 1, Config: config, Observer: s, Fault: fault})
	for _, site := range sites {
		for i := range site.vms {
			s.Add(version.VMID(fmt.Sprintf("%s-vm-%d", site.name, i)), site.name)
		}
	}
	for i := range sharedAccounts {
		id := version.NewAccountID(accountName(i))
		s.accounts = append(s.accounts, id)
		s.costs[id] = request.Cost(20 + 40*i)
	}
	return s
}

// startEverywhere spreads each account's callers over all VMs.
func (s *shared) startEverywhere() {
	for _, id := range s.accounts {
		s.startAt(id, s.VMs())
	}
}

// startAt puts an account's callers at some VMs.
func (s *shared) startAt(id version.AccountID, vms []version.VMID) {
	for i := range sharedCallers {
		s.submit(vms[i%len(vms)], id)
	}
}

func (s *shared) submit(vm version.VMID, id version.AccountID) {
	cost := s.costs[id]
	s.Submit(vm, request.Ticket{Account: id, Pool: poolID, Estimate: cost, Wait: time.Minute}, cost)
}

func (s *shared) Granted(time.Time, pump.Job, version.UpstreamID) {}

func (s *shared) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	s.served[job.Ticket.Account] += float64(cost)
}

func (s *shared) Ended(_ time.Time, job pump.Job) { s.again(job) }

func (s *shared) Refused(_ time.Time, job pump.Job, _ request.Refusal) { s.again(job) }

func (s *shared) Lost(_ time.Time, job pump.Job, _ bool) { s.again(job) }

func (s *shared) again(job pump.Job) {
	s.After(100*time.Millisecond, func() { s.submit(job.VM, job.Ticket.Account) })
}

// dispatchers returns the VMs that dispatch the pool.
func (s *shared) dispatchers() []version.VMID {
	var vms []version.VMID
	for _, vm := range s.VMs() {
		if len(s.Daemon(vm).Node.Stats(s.Now()).Pools) > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// checkLevels fails the test unless each dispatcher knows what each account was
// served, up to tolerance units.
func (s *shared) checkLevels(t *testing.T, tolerance float64) {
	t.Helper()
	for _, vm := range s.dispatchers() {
		for _, id := range s.accounts {
			level := s.Daemon(vm).Node.Level(id)
			if level < s.served[id]-tolerance || level > s.served[id]+tolerance {
				t.Errorf("%s: level %.0f of an account that was served %.0f", vm, level, s.served[id])
			}
		}
	}
}

// checkShares fails the test unless all accounts were served alike.
func (s *shared) checkShares(t *testing.T, tolerance float64) {
	t.Helper()
	least, most := s.served[s.accounts[0]], s.served[s.accounts[0]]
	for _, id := range s.accounts {
		least, most = min(least, s.served[id]), max(most, s.served[id])
	}
	if most-least > tolerance {
		t.Errorf("served between %.0f and %.0f", least, most)
	}
}

// inFlight bounds what can be charged and not served yet, or the reverse: every
// slot with the largest request, and a second of service.
func (s *shared) inFlight() float64 {
	slots := 0
	for _, site := range s.sites {
		slots += site.upstreams * warmLimit
	}
	return float64(slots) * (20 + 40*(sharedAccounts-1) + float64(time.Second/pump.Pace))
}

func TestDispatchersKnowWhatWasServedElsewhere(t *testing.T) {
	s := newShared(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(60 * time.Second)
	s.checkLevels(t, s.inFlight())
	s.checkShares(t, s.inFlight())
}

// TestSharesAreEvenWhereverCallersAre puts one account alone where most slots
// are and two together where few are.
func TestSharesAreEvenWhereverCallersAre(t *testing.T) {
	s := newShared(t, nil, site{"north", "one", 2, 4}, site{"south", "two", 2, 2})
	north, south := s.VMs()[:2], s.VMs()[2:]
	s.startAt(s.accounts[0], north)
	s.startAt(s.accounts[1], south)
	s.startAt(s.accounts[2], south)
	s.Run(120 * time.Second)
	s.checkShares(t, s.inFlight())
}

// TestRestartedDaemonsLearnTheirLevelsAnew restarts every daemon in turn, homes
// and dispatchers alike.
func TestRestartedDaemonsLearnTheirLevelsAnew(t *testing.T) {
	s := newShared(t, nil, site{"north", "one", 2, 2}, site{"near", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(60 * time.Second)
	for _, vm := range s.VMs() {
		s.Restart(vm)
		s.Run(20 * time.Second)
		s.checkShares(t, 2*s.inFlight())
	}
	s.Run(10 * time.Second)
	s.checkLevels(t, 2*s.inFlight())
}

// TestWordsForAnEarlierProcessAreIgnored matters because a word leaves out what
// its receiver counted itself.
func TestWordsForAnEarlierProcessAreIgnored(t *testing.T) {
	n := node.New(node.Options{VM: "a", DataCentre: "north", Incarnation: 2, Timeline: timeline.New("a", 1)})
	for _, incarnation := range []uint32{1, 2} {
		n.Step(time.UnixMilli(0), node.Receive{From: "home", Incarnation: 1, Message: wire.ServiceLevels{
			Incarnation: incarnation,
			Sequence:    uint64(incarnation),
			Records:     []wire.ServiceRecord{{Account: 7, Charged: 500}},
		}})
		want := map[uint32]float64{1: 0, 2: 500}[incarnation]
		if level := n.Level(7); level != want {
			t.Errorf("level %.0f after a word for process %d, want %.0f", level, incarnation, want)
		}
	}
}

func TestSharesMeetAgainAfterAPartition(t *testing.T) {
	s := newShared(t, nil, site{"north", "one", 2, 2}, site{"south", "two", 2, 1})
	s.startEverywhere()
	s.Run(30 * time.Second)
	north, south := s.VMs()[:2], s.VMs()[2:]
	s.Cut(north, south)
	s.Run(30 * time.Second)
	s.Heal(north, south)
	s.Run(60 * time.Second)
	s.checkLevels(t, s.inFlight())
	s.checkShares(t, s.inFlight())
}

func TestSharesSurviveLostDoubledAndReorderedMessages(t *testing.T) {
	s := newShared(t, lossy(3), site{"north", "one", 2, 2}, site{"south", "two", 2, 2})
	s.startEverywhere()
	s.Run(120 * time.Second)
	s.checkShares(t, 2*s.inFlight())
}

func accountName(i int) string {
	if i == 0 {
		return "counters"
	}
	return fmt.Sprintf("account-%d", i)
}
