package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// The rule on named limits: in any limitWindow an upstream gets at most limitFactor times what its
// limit allows, and limitSlack requests.
const (
	limitFactor = 1.5
	limitSlack  = 5
)

func named(perSecond float64) request.Advice {
	return request.Advice{Limit: request.RateLimit{State: request.LimitNamed, PerSecond: perSecond}}
}

var unlimited = request.Advice{Limit: request.RateLimit{State: request.LimitNone}}

// limitedFleet is a fleet of placers that exchange limit reports with a delay, and upstreams that
// name limits in their answers.
type limitedFleet struct {
	t         *testing.T
	now       time.Time
	vms       []*limitedVM
	members   []exchange.Member
	upstreams []version.UpstreamID
	// limit is the rate that an upstream names; negative names none.
	limit map[version.UpstreamID]float64
	// sent are the times at which requests reached an upstream.
	sent     map[version.UpstreamID][]time.Time
	messages []limitMessage
	answers  []limitAnswer
	random   *rand.Rand
	// granted and refused count the requests by account.
	granted, refused map[version.AccountID]int
}

type limitedVM struct {
	*fixture
	reporter *exchange.Reporter
	name     version.VMID
	// down keeps the VM from doing anything; cut keeps its reports from others and theirs
	// from it.
	down, cut bool
}

type limitMessage struct {
	at       time.Time
	from, to version.VMID
	report   wire.LimitReport
}

type limitAnswer struct {
	at, sentAt time.Time
	vm         *limitedVM
	grant      request.Grant
}

const (
	fleetStep      = 10 * time.Millisecond
	fleetLinkDelay = 20 * time.Millisecond
	fleetInterval  = 240 * time.Millisecond
	fleetAnswer    = 60 * time.Millisecond
)

func newLimitedFleet(t *testing.T, vms, upstreams int, limit float64) *limitedFleet {
	f := &limitedFleet{
		t: t, now: time.Unix(1000, 0), limit: make(map[version.UpstreamID]float64),
		sent: make(map[version.UpstreamID][]time.Time), random: rand.New(rand.NewPCG(uint64(vms), uint64(upstreams))),
		granted: make(map[version.AccountID]int), refused: make(map[version.AccountID]int),
	}
	for i := range vms {
		f.members = append(f.members, exchange.Member{
			VM: version.VMID(fmt.Sprintf("vm-%03d", i)), DataCentre: version.DataCentreID(fmt.Sprintf("dc-%d", i%3)), Capacity: 1,
		})
	}
	for _, member := range f.members {
		f.vms = append(f.vms, f.newVM(member, upstreams))
	}
	for id := range f.vms[0].config.Upstreams {
		f.upstreams, f.limit[id] = append(f.upstreams, id), limit
	}
	slices.Sort(f.upstreams)
	return f
}

func (f *limitedFleet) newVM(member exchange.Member, upstreams int) *limitedVM {
	vm := &limitedVM{fixture: newFixture(upstreams, nil), reporter: exchange.New(member.VM), name: member.VM}
	vm.options.VM, vm.options.DataCentre = member.VM, member.DataCentre
	var names []version.VMID
	for _, m := range f.members {
		names = append(names, m.VM)
	}
	vm.SetMembers(f.now.Add(-joinDelay), names)
	vm.reporter.SetMembers(f.members)
	return vm
}

// send offers a request to a VM and reports whether it was granted.
func (f *limitedFleet) send(vm *limitedVM, account version.AccountID) bool {
	if vm.down {
		return false
	}
	grant, refusal := vm.Place(f.now, vm.ticket(account, f.random.Uint64(), 0, 20))
	if refusal != nil {
		f.refused[account]++
		return false
	}
	f.granted[account]++
	f.sent[grant.Upstream] = append(f.sent[grant.Upstream], f.now)
	f.answers = append(f.answers, limitAnswer{at: f.now.Add(fleetAnswer), sentAt: f.now, vm: vm, grant: grant})
	return true
}

// step moves the time on and delivers answers and reports.
func (f *limitedFleet) step() {
	f.now = f.now.Add(fleetStep)
	f.answers = slices.DeleteFunc(f.answers, func(a limitAnswer) bool {
		if a.at.After(f.now) || a.vm.down {
			return false
		}
		advice := unlimited
		if rate := f.limit[a.grant.Upstream]; rate >= 0 {
			advice = named(rate)
		}
		a.vm.RecordAdvice(f.now, a.grant.Upstream, a.sentAt, advice)
		a.vm.RecordFirstByte(f.now, a.grant.ID, a.grant.Upstream, true, 0)
		a.vm.RecordOutcome(f.now, request.Finish{ID: a.grant.ID, Upstream: a.grant.Upstream, Outcome: request.OutcomeDone})
		return true
	})
	if f.now.UnixNano()%int64(fleetInterval) < int64(fleetStep) {
		for _, vm := range f.vms {
			if vm.down || vm.cut {
				continue
			}
			for _, m := range vm.reporter.Outbox(f.now, vm.Report()) {
				if to := f.vm(m.To); !to.down && !to.cut {
					to.ReceiveReport(f.now, vm.name, m.Work, to.reporter.Receive(f.now, vm.name, m.Work))
				}
			}
			for _, m := range vm.reporter.LimitOutbox(f.now, vm.LimitReport(f.now)) {
				f.messages = append(f.messages, limitMessage{at: f.now.Add(fleetLinkDelay), from: vm.name, to: m.To, report: m.Report})
			}
		}
	}
	f.messages = slices.DeleteFunc(f.messages, func(m limitMessage) bool {
		if m.at.After(f.now) {
			return false
		}
		if to := f.vm(m.to); !to.down && !to.cut {
			if scope, used := to.reporter.ReceiveLimits(f.now, m.from, m.report); used {
				to.ReceiveLimits(f.now, scope, m.report)
			}
		}
		return true
	})
}

func (f *limitedFleet) vm(name version.VMID) *limitedVM {
	return f.vms[slices.IndexFunc(f.vms, func(vm *limitedVM) bool { return vm.name == name })]
}

// run sends perSecond requests a second, to VMs that pick selects, for a time.
func (f *limitedFleet) run(duration time.Duration, perSecond float64, pick func() *limitedVM) {
	due := 0.0
	for end := f.now.Add(duration); f.now.Before(end); f.step() {
		for due += perSecond * fleetStep.Seconds(); due >= 1; due-- {
			f.send(pick(), version.AccountID(f.random.IntN(8)))
		}
	}
}

func (f *limitedFleet) anyVM() *limitedVM { return f.vms[f.random.IntN(len(f.vms))] }

// unevenVM picks the first VM for most requests, and any for the rest.
func (f *limitedFleet) unevenVM() *limitedVM {
	if f.random.IntN(10) < 6 {
		return f.vms[0]
	}
	return f.anyVM()
}

// mostSent returns the largest number of requests that reached an upstream within limitWindow
// since a time.
func (f *limitedFleet) mostSent(id version.UpstreamID, since time.Time) int {
	times, most, first := f.sent[id], 0, 0
	for i, at := range times {
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sentSince returns how many requests reached all upstreams since a time.
func (f *limitedFleet) sentSince(since time.Time) int {
	total := 0
	for _, times := range f.sent {
		for _, at := range times {
			if !at.Before(since) {
				total++
			}
		}
	}
	return total
}

// checkLimits fails the test if an upstream got more since a time than the rule allows.
func (f *limitedFleet) checkLimits(what string, since time.Time, perSecond float64) {
	f.t.Helper()
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	for _, id := range f.upstreams {
		if most := f.mostSent(id, since); float64(most) > allowed {
			f.t.Errorf("%s: an upstream that takes %v a second got %d requests in 4 s, allowed %v", what, perSecond, most, allowed)
		}
	}
}

// Guards against an upstream that gets more from all VMs together than the rate that it names,
// and against most of that rate left unused, whatever the number of VMs and however uneven their
// loads. Callers send several times what all upstreams take. In a large fleet an even part of one
// VM is less than a request in limitWindow.
func TestVMsTogetherStayWithinNamedLimit(t *testing.T) {
	for _, c := range []struct {
		vms, upstreams int
		perSecond      float64
	}{{1, 2, 6}, {6, 9, 8}, {8, 4, 0.5}, {69, 20, 5}, {69, 6, 20}, {300, 12, 5}} {
		for name, uneven := range map[string]bool{"even": false, "uneven": true} {
			f := newLimitedFleet(t, c.vms, c.upstreams, c.perSecond)
			pick := f.anyVM
			if uneven {
				pick = f.unevenVM
			}
			taken := c.perSecond * float64(c.upstreams)
			f.run(2*time.Second, 4*taken, pick)
			since := f.now
			f.run(14*time.Second, 4*taken, pick)
			what := fmt.Sprintf("%d VMs, %d upstreams, %s loads", c.vms, c.upstreams, name)
			// The limits bind from their first answer on; what was sent before counts no more.
			f.checkLimits(what, since.Add(-time.Second), c.perSecond)
			if used := float64(f.sentSince(since)) / 14 / taken; used < 0.7 {
				t.Errorf("%s: %.2f of the limits are used", what, used)
			}
		}
	}
}

// VMs restart, are cut off from the others, freeze and come back, one after the other, while
// callers send several times what the upstreams take. Guards against VMs that use the part of
// others which they do not hear of, and against two VMs that use the same part.
func TestNamedLimitHoldsWhileVMsRestartFreezeAndAreCutOff(t *testing.T) {
	const perSecond, upstreams = 6, 6
	for _, vms := range []int{3, 6, 24} {
		f := newLimitedFleet(t, vms, upstreams, perSecond)
		f.run(2*time.Second, 4*perSecond*upstreams, f.anyVM)
		since := f.now.Add(-time.Second)
		for round := range 12 {
			vm := f.vms[round%vms]
			switch round % 3 {
			case 0:
				*vm = *f.newVM(f.members[round%vms], upstreams)
			case 1:
				vm.cut = true
			case 2:
				vm.down = true
			}
			f.run(time.Duration(1+round%4)*time.Second, 4*perSecond*upstreams, f.anyVM)
			vm.cut, vm.down = false, false
			f.run(time.Second, 4*perSecond*upstreams, f.anyVM)
		}
		f.checkLimits(fmt.Sprintf("%d VMs", vms), since, perSecond)
	}
}

// Half of the VMs do not hear the other half for a long time. Guards against both halves that use
// all of a limit.
func TestNamedLimitHoldsInAPartition(t *testing.T) {
	const perSecond, upstreams, vms = 8, 4, 8
	f := newLimitedFleet(t, vms, upstreams, perSecond)
	f.run(2*time.Second, 4*perSecond*upstreams, f.anyVM)
	for _, vm := range f.vms {
		vm.cut = true
	}
	since := f.now
	f.run(15*time.Second, 4*perSecond*upstreams, f.anyVM)
	f.checkLimits("no VM hears another", since, perSecond)
	if used := float64(f.sentSince(since)) / 15 / (perSecond * upstreams); used < 0.6 {
		t.Errorf("%.2f of the limits are used while no VM hears another", used)
	}
}

// Guards against a limit that outlives what its upstream says: a change or an end is known to all
// VMs soon after one answer, also from a limit of zero, at which an upstream gets a request now
// and then so that it can name another.
func TestNamedLimitFollowsItsUpstream(t *testing.T) {
	const vms, upstreams, demand = 6, 3, 90
	f := newLimitedFleet(t, vms, upstreams, 20)
	rates := []float64{20, 4, 0, 10, 2.5}
	for _, rate := range rates {
		for _, id := range f.upstreams {
			f.limit[id] = rate
		}
		f.run(8*time.Second, demand, f.anyVM)
		since := f.now
		f.run(9*time.Second, demand, f.anyVM)
		f.checkLimits("after a change", since.Add(-limitWindow), rate)
		if used := float64(f.sentSince(since)) / 9; used < 0.7*rate*upstreams || rate == 0 && used == 0 {
			t.Errorf("at a limit of %v a second and upstream all together got %.1f a second", rate, used)
		}
	}
	for _, id := range f.upstreams {
		f.limit[id] = -1
	}
	f.run(3*time.Second, demand, f.anyVM)
	since := f.now
	f.run(3*time.Second, demand, f.anyVM)
	if sent := f.sentSince(since); sent < 3*demand*9/10 {
		t.Errorf("%d of %d requests were sent after the limits ended", sent, 3*demand)
	}
}

// Guards against the late answer of an older request that overwrites what a newer one said.
func TestLateAnswerOfAnOlderRequestDoesNotChangeTheLimit(t *testing.T) {
	f := newFixture(1, nil)
	id := f.upstreamsByPool[f.pool][0].ID
	at := func(ms int) time.Time { return f.now.Add(time.Duration(ms) * time.Millisecond) }
	rate := func() (float64, bool) {
		limits := f.Limits(at(500))
		if len(limits) == 0 {
			return 0, false
		}
		return limits[0].PerSecond, true
	}
	f.RecordAdvice(at(100), id, at(50), named(10))
	f.RecordAdvice(at(110), id, at(20), named(3))
	if got, _ := rate(); got != 10 {
		t.Errorf("limit %v after the late answer of an older request, want 10", got)
	}
	f.RecordAdvice(at(120), id, at(40), unlimited)
	if _, limited := rate(); !limited {
		t.Error("the late answer of an older request ended the limit")
	}
	f.RecordAdvice(at(130), id, at(60), unlimited)
	f.RecordAdvice(at(140), id, at(55), named(5))
	if _, limited := rate(); limited {
		t.Error("the late answer of an older request restored the limit")
	}
	f.RecordAdvice(at(150), id, at(70), named(7))
	f.RecordAdvice(at(160), id, at(80), request.Advice{})
	if got, _ := rate(); got != 7 {
		t.Errorf("limit %v after an answer that says nothing, want 7", got)
	}
}

// Guards against a limit of one life of an upstream that holds for the next one, and against one
// that is forgotten, with what was sent, because the registration was gone for a moment.
func TestNamedLimitBelongsToOneIncarnation(t *testing.T) {
	f := newFixture(1, nil)
	before := f.upstreamsByPool[f.pool][0]
	f.RecordAdvice(f.now, before.ID, f.now, named(1))
	place := func() int {
		granted := 0
		for range 40 {
			if grant, refusal := f.Place(f.now, f.ticket(1, 1, 0, 10)); refusal == nil {
				granted++
				f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
			}
		}
		return granted
	}
	if granted := place(); granted != 4 {
		t.Errorf("%d requests at a limit of one a second, want 4", granted)
	}
	f.Configure(f.now, f.config.WithUpstreams(nil, version.OutOfService{}))
	f.Configure(f.now, f.config.WithUpstreams(map[version.UpstreamID]*version.Upstream{before.ID: before.Upstream}, version.OutOfService{}))
	if granted := place(); granted != 0 {
		t.Errorf("%d more requests after the registration was gone for a moment, want none", granted)
	}
	restarted := *before.Upstream
	restarted.ID++
	f.Configure(f.now, f.config.WithUpstreams(map[version.UpstreamID]*version.Upstream{restarted.ID: &restarted}, version.OutOfService{}))
	if granted := place(); granted != 40 {
		t.Errorf("%d requests to the next incarnation, want all 40", granted)
	}
}

// All upstreams of a pool name limits and one account sends twenty times what each of the others
// does, half of it by repeating at once. Guards against refusals that are late or without a time
// to come back, and against the flood taking what the others ask for.
func TestLimitedPoolIsSharedByAccountAndRefusesAtOnce(t *testing.T) {
	const vms, upstreams, perSecond = 6, 4, 10
	f := newLimitedFleet(t, vms, upstreams, perSecond)
	offered := make(map[version.AccountID]int)
	for end := f.now.Add(20 * time.Second); f.now.Before(end); f.step() {
		for account := version.AccountID(1); account <= 6; account++ {
			if f.random.Float64() < 4*fleetStep.Seconds() {
				offered[account]++
				f.send(f.vms[int(account)%vms], account)
			}
		}
		if f.random.Float64() < 80*fleetStep.Seconds() {
			offered[0]++
			if !f.send(f.vms[0], 0) {
				offered[0]++
				f.send(f.vms[0], 0)
			}
		}
	}
	f.checkLimits("flood", f.now.Add(-18*time.Second), perSecond)
	for account := version.AccountID(1); account <= 6; account++ {
		if f.granted[account]*10 < offered[account]*7 {
			t.Errorf("account %d got %d of %d requests beside the flood, which got %d of %d",
				account, f.granted[account], offered[account], f.granted[0], offered[0])
		}
	}
	vm := f.vms[0]
	for range 100 {
		_, refusal := vm.Place(f.now, vm.ticket(0, 1, 0, 10))
		if refusal != nil && (refusal.Execution != request.NotExecuted || refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > 2*maxRetryAfter) {
			t.Fatalf("refusal %+v, want one that says not-run and when to come back", refusal)
		}
	}
}

// Guards against VMs that know a limit only from other VMs and ignore it, and against a report
// about an upstream that this VM does not know.
func TestLimitOfAnotherVMsAnswerBinds(t *testing.T) {
	f := newFixture(1, nil)
	f.SetMembers(f.now.Add(-joinDelay), []version.VMID{"vm-0", "vm-1"})
	id := f.upstreamsByPool[f.pool][0].ID
	f.ReceiveLimits(f.now, "vm vm-1", wire.LimitReport{VMs: 1, Upstreams: []wire.UpstreamLimit{
		wire.NewUpstreamLimit(id, named(2).Limit, 0, 0), wire.NewUpstreamLimit(id+1, named(2).Limit, 0, 0),
	}})
	granted := 0
	for range 50 {
		if _, refusal := f.Place(f.now, f.ticket(1, 1, 0, 10)); refusal == nil {
			granted++
		}
	}
	if granted > 8 || granted == 0 {
		t.Errorf("%d requests sent to an upstream that takes 8 in 4 s by another VM's report", granted)
	}
	if limits := f.Limits(f.now); len(limits) != 1 || !limits[0].Hearsay {
		t.Errorf("limits %+v, want one that another VM was told", limits)
	}
}
