package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/valve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// drawnSeconds is the length of a drawn load.
	drawnSeconds = 16
	// The processor time that a VM takes to serve a request, to refuse one that it has read, and to turn
	// one away unread.
	serveTime, refuseTime, turnAwayTime = 700 * time.Microsecond, 250 * time.Microsecond, 20 * time.Microsecond
	// shedTick is how often a VM adjusts its load shedder.
	shedTick = 15 * time.Millisecond
	// unreadEvery is how many connections come to one of which nothing has arrived when a VM decides about it.
	unreadEvery = 20
	// drawnShared and drawnOwn are the tokens of a prompt.
	drawnShared, drawnOwn = 3000, 1500
)

// drawnAccount is an account of a drawn load.
type drawnAccount struct {
	// perSecond is its usual rate, and hotPerSecond the one from begins to ends.
	perSecond, hotPerSecond float64
	begins, ends            time.Duration
	// vms are the VMs that its callers reach, one entry for each caller.
	vms []int
}

// rate returns the account's requests per second.
func (a drawnAccount) rate(elapsed time.Duration) float64 {
	if elapsed >= a.begins && elapsed < a.ends {
		return a.hotPerSecond
	}
	return a.perSecond
}

// drawnLoad is a fleet with accounts of which some ask for more than their share for a while.
type drawnLoad struct {
	engines int
	// cores are the processors of the VMs, relative to a whole one.
	cores    []float64
	accounts []drawnAccount
}

// drawLoad draws a load. The balancer sends each caller to one VM, so accounts with few callers reach few.
func drawLoad(seed uint64) drawnLoad {
	random := rand.New(rand.NewPCG(seed, 52))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	load := drawnLoad{engines: 8 + random.IntN(33)}
	for range 8 + random.IntN(33) {
		cores := 0.2
		if random.IntN(6) == 0 {
			cores = 0.8
		}
		load.cores = append(load.cores, cores)
	}
	// capacity is the requests a second that the engines prefill.
	capacity := float64(load.engines) * engineRate / (drawnOwn + drawnShared/10)
	hot, all := 2+random.IntN(5), 10+random.IntN(15)
	for i := range all {
		account := drawnAccount{perSecond: capacity / float64(all) * between(0.05, 0.9)}
		callers := 1 + random.IntN(3)
		if i < hot {
			account.hotPerSecond = capacity * between(0.3, 4)
			account.begins = time.Duration(random.IntN(6000)) * time.Millisecond
			account.ends = account.begins + time.Duration(7000+random.IntN(9000))*time.Millisecond
			callers = int(between(1, float64(2*len(load.cores))))
		}
		for range callers {
			account.vms = append(account.vms, random.IntN(len(load.cores)))
		}
		load.accounts = append(load.accounts, account)
	}
	return load
}

// play offers a load to the placers of its VMs, and returns what the accounts asked for and got.
func (load drawnLoad) play() *fairnessJudge {
	sim := newFleetSimulation(len(load.cores), load.engines)
	judge := &fairnessJudge{accounts: make(map[version.AccountID][]second)}
	for i := range load.accounts {
		judge.at(version.AccountID(i+1), drawnSeconds*time.Second-1)
	}
	var vms []*drawnVM
	for i, cores := range load.cores {
		vms = append(vms, &drawnVM{index: i, cores: cores, shedder: valve.New(0), parts: valve.NewParts(), turnedAway: make(map[version.AccountID]int)})
	}
	const step = 5 * time.Millisecond
	due, sent := make([]float64, len(load.accounts)), 0
	for elapsed := time.Duration(0); elapsed < drawnSeconds*time.Second; elapsed += step {
		for i, account := range load.accounts {
			for due[i] += account.rate(elapsed) * step.Seconds(); due[i] >= 1; due[i]-- {
				sent++
				vm := vms[account.vms[sent%len(account.vms)]]
				ticket := sim.vms[vm.index].ticket(version.AccountID(i+1), uint64(sent%200), drawnShared, drawnOwn)
				judge.record(ticket.Account, elapsed, cost(ticket), vm.serve(sim, ticket))
			}
		}
		for _, vm := range vms {
			vm.work(step, elapsed%shedTick == 0)
		}
		sim.advance(step)
	}
	return judge
}

// drawnVM is a VM whose processor bounds what it takes in. While it sheds load, it knows the accounts of
// nearly all connections from what has arrived of their requests.
type drawnVM struct {
	index   int
	cores   float64
	shedder *valve.Shedder
	parts   *valve.Parts
	// arrived counts requests, and turnedAway those of known accounts that were turned away since the last ticket.
	arrived    int
	turnedAway map[version.AccountID]int
	// backlog is the processor time of the work that it has not done.
	backlog time.Duration
}

// admits reports whether the VM takes in a request, and counts those that it turns away.
func (vm *drawnVM) admits(sim *fleetSimulation, account version.AccountID) bool {
	vm.arrived++
	vm.parts.Arrive(sim.now, account)
	if vm.arrived%unreadEvery == 0 {
		admitted := vm.shedder.Admit()
		if !admitted {
			sim.turnAway(vm.index)
		}
		return admitted
	}
	ahead := func(account version.AccountID) bool { return sim.vms[vm.index].Ahead(sim.now, account) }
	admitted := vm.parts.Admits(sim.now, account, ahead, vm.shedder)
	if !admitted {
		vm.turnedAway[account]++
	}
	return admitted
}

// serve reports whether the VM serves a request.
func (vm *drawnVM) serve(sim *fleetSimulation, ticket request.Ticket) bool {
	if !vm.admits(sim, ticket.Account) {
		vm.backlog += turnAwayTime
		return false
	}
	ticket.TurnedAway = vm.turnedAway[ticket.Account]
	delete(vm.turnedAway, ticket.Account)
	if !sim.offer(vm.index, ticket) {
		vm.backlog += refuseTime
		return false
	}
	vm.backlog += serveTime
	return true
}

// work gives the VM's processor some time, and its shedder a look at what is left.
func (vm *drawnVM) work(step time.Duration, look bool) {
	vm.backlog = max(vm.backlog-time.Duration(vm.cores*float64(step)), 0)
	if look {
		vm.shedder.ObserveLag(time.Duration(float64(vm.backlog) / vm.cores))
	}
}

// Guards against accounts that get less than half of what others get, whoever asks for how much, for how long
// and at which VMs: shares that were served in bursts, VMs that turn away whoever comes, and grants of other
// VMs that were estimated from what these turn away.
func TestSharesOfDrawnLoads(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			for _, violation := range drawLoad(seed+1).play().violations(0, drawnSeconds) {
				t.Error(violation)
			}
		})
	}
}
