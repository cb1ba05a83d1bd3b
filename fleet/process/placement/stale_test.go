package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	staleStep = time.Millisecond
	// staleSlots is the number of requests that a plain upstream executes at once, for
	// staleService on the mean.
	staleSlots   = 8
	staleService = 120 * time.Millisecond
	// staleGeneration is how long an engine generates after the first byte.
	staleGeneration = 400 * time.Millisecond
	// staleTokens is the length of a prompt's own segment, and staleShared that of its shared one.
	staleTokens, staleShared = 1500, 3000
	staleWarmUp              = 1500 * time.Millisecond
)

// staleOptions describe a run of a staleFleet.
type staleOptions struct {
	vms, upstreams int
	engines        bool
	// load is the fraction of the upstreams' capacity that callers ask for.
	load     float64
	duration time.Duration
	seed     uint64
	// interval and delay are the time between two reports and the delay of a link; 0 selects
	// those of the daemon.
	interval, delay time.Duration
	// change is called at each step with the time since the start.
	change func(*staleFleet, time.Duration)
	// loadAt returns the factor of the load at a time; nil is 1.
	loadAt func(time.Duration) float64
	// paced upstreams are 2.5 times slower for 15 % of the time, and report it if reportsPace is
	// set.
	paced, reportsPace bool
	// lie is what the first upstream reports; nil is the truth.
	lie *request.Load
}

// staleFleet is a fleet of VMs, each with its Placer and Reporter, whose reports take their ways and
// time, and upstreams that execute requests in the order in which they come.
type staleFleet struct {
	staleOptions
	random    *rand.Rand
	start     time.Time
	now       time.Time
	members   []exchange.Member
	vms       []*staleVM
	byName    map[version.VMID]*staleVM
	upstreams []*staleUpstream
	byID      map[version.UpstreamID]*staleUpstream
	due       float64
	messages  map[int64][]func()
	// spec is the registration of the first upstream.
	spec  *version.Upstream
	stats staleStats
}

type staleVM struct {
	*fixture
	reporter *exchange.Reporter
	name     version.VMID
	nextAt   time.Time
	// cut keeps its reports from others and theirs from it.
	cut bool
}

type staleUpstream struct {
	id               version.UpstreamID
	running, waiting []*staleRequest
	cache            *cache
	prefillDoneAt    time.Time
	slowUntil        time.Time
	nextSlow         time.Time
	// lie replaces the load that the upstream reports; got counts its requests after the
	// warm-up.
	lie *request.Load
	got int
}

type staleRequest struct {
	vm          *staleVM
	grant       request.Grant
	sentAt      time.Time
	firstByteAt time.Time
	doneAt      time.Time
	gotFirst    bool
}

// staleStats sums up what was seen after the warm-up.
type staleStats struct {
	samples, imbalanced int
	spread              float64
	waiting             float64
	sent, refused       int
	late                int
	waits               []time.Duration
	uncached            int
	highest             float64
}

func newStaleFleet(options staleOptions) *staleFleet {
	f := &staleFleet{
		staleOptions: options, random: rand.New(rand.NewPCG(options.seed, 1)), byName: make(map[version.VMID]*staleVM),
		byID: make(map[version.UpstreamID]*staleUpstream), messages: make(map[int64][]func()),
	}
	dataCentres := 3
	if f.interval == 0 {
		f.interval = 40 * time.Millisecond
		if f.staleOptions.vms > exchange.MaxMeshMembers {
			f.interval = 120 * time.Millisecond
		}
	}
	if f.delay == 0 {
		f.delay = 4 * time.Millisecond
	}
	for i := range options.vms {
		f.members = append(f.members, exchange.Member{
			VM: version.VMID(fmt.Sprintf("vm-%03d", i)), DataCentre: version.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)), Capacity: 1,
		})
	}
	for i := range f.members {
		f.startVM(i)
	}
	for id := range f.vms[0].config.Upstreams {
		u := &staleUpstream{id: id, cache: newCache(330_000)}
		f.upstreams = append(f.upstreams, u)
		f.byID[id] = u
	}
	slices.SortFunc(f.upstreams, func(a, b *staleUpstream) int { return cmp.Compare(a.id, b.id) })
	f.upstreams[0].lie, f.spec = options.lie, f.vms[0].config.Upstreams[f.upstreams[0].id]
	for _, u := range f.upstreams {
		u.nextSlow = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(3400*time.Millisecond)))
	}
	return f
}

// startVM starts a VM without any state, in place of one that has ended.
func (f *staleFleet) startVM(i int) {
	member := f.members[i]
	var names []version.VMID
	for _, m := range f.members {
		names = append(names, m.VM)
	}
	change := func(pool *version.Pool, list map[version.UpstreamID]*version.Upstream) {
		if f.engines {
			return
		}
		pool.Engine = nil
		for _, u := range list {
			u.Slots = staleSlots
		}
	}
	vm := &staleVM{fixture: newFixture(f.staleOptions.upstreams, change), reporter: exchange.New(member.VM), name: member.VM}
	vm.options.VM, vm.options.DataCentre = member.VM, member.DataCentre
	vm.options.Regions = map[version.DataCentreID]version.RegionID{"dc-0": "r-0", "dc-1": "r-0", "dc-2": "r-0"}
	for _, u := range vm.upstreams {
		u.region = "r-0"
	}
	if f.start.IsZero() {
		f.start, f.now = vm.now, vm.now
	}
	vm.now = f.now
	vm.SetMembers(f.now.Add(-joinDelay), names)
	vm.reporter.SetMembers(f.members)
	vm.nextAt = f.now.Add(time.Duration(f.random.Float64() * float64(f.interval)))
	if i < len(f.vms) {
		f.vms[i] = vm
	} else {
		f.vms = append(f.vms, vm)
	}
	f.byName[member.VM] = vm
}

// after calls do once a delay is over.
func (f *staleFleet) after(delay time.Duration, do func()) {
	due := f.now.Add(delay).UnixMilli()
	f.messages[due] = append(f.messages[due], do)
}

// at reports whether elapsed is the given time after the warm-up.
func at(elapsed, after time.Duration) bool { return elapsed == staleWarmUp+after }

// perSecond is the rate at which callers send requests.
func (f *staleFleet) perSecond() float64 {
	if f.engines {
		return f.load * float64(f.staleOptions.upstreams) * engineRate / staleTokens
	}
	return f.load * float64(f.staleOptions.upstreams) * staleSlots / staleService.Seconds()
}

func (f *staleFleet) run() *staleStats {
	for elapsed := time.Duration(0); elapsed < staleWarmUp+f.duration; elapsed += staleStep {
		f.now = f.start.Add(elapsed)
		if f.change != nil {
			f.change(f, elapsed)
		}
		f.exchange()
		for _, u := range f.upstreams {
			f.execute(u)
		}
		rate := f.perSecond()
		if f.loadAt != nil {
			rate *= f.loadAt(elapsed)
		}
		for f.due += rate * staleStep.Seconds() * f.random.ExpFloat64(); f.due >= 1; f.due-- {
			f.send(elapsed >= staleWarmUp)
		}
		if elapsed >= staleWarmUp && elapsed%(5*time.Millisecond) == 0 {
			f.sample()
		}
	}
	slices.Sort(f.stats.waits)
	return &f.stats
}

// exchange delivers the messages that are due and sends reports.
func (f *staleFleet) exchange() {
	due := f.now.UnixMilli()
	for _, do := range f.messages[due] {
		do()
	}
	delete(f.messages, due)
	for _, vm := range f.vms {
		if f.now.Before(vm.nextAt) {
			continue
		}
		vm.nextAt = vm.nextAt.Add(f.interval)
		if vm.cut {
			continue
		}
		for _, m := range vm.reporter.Outbox(f.now, vm.Report()) {
			to, work := f.byName[m.To], m.Work
			if to == nil || to.cut {
				continue
			}
			f.after(f.delay, func() { to.ReceiveReport(f.now, vm.name, work, to.reporter.Receive(f.now, vm.name, work)) })
		}
		for _, m := range vm.reporter.PaceOutbox(f.now, vm.PaceReport(f.now)) {
			to, report := f.byName[m.To], m.Report
			if to == nil || to.cut {
				continue
			}
			f.after(f.delay, func() {
				if to.reporter.ReceivePaces(f.now, vm.name, report) {
					to.ReceivePaces(f.now, report)
				}
			})
		}
	}
}

func (f *staleFleet) pace(u *staleUpstream) float64 {
	if !f.paced {
		return 1
	}
	if !f.now.Before(u.nextSlow) {
		u.slowUntil = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(600*time.Millisecond)))
		u.nextSlow = u.slowUntil.Add(time.Duration(f.random.ExpFloat64() * float64(3400*time.Millisecond)))
	}
	if f.now.Before(u.slowUntil) {
		return 2.5
	}
	return 1
}

func (f *staleFleet) execute(u *staleUpstream) {
	pace := f.pace(u)
	u.running = slices.DeleteFunc(u.running, func(r *staleRequest) bool {
		if !r.gotFirst && !f.now.Before(r.firstByteAt) {
			r.gotFirst = true
			load := request.Load{Running: len(u.running), Waiting: len(u.waiting), Slots: staleSlots}
			if f.reportsPace {
				load.PacePercent = int(100 * pace)
			}
			if u.lie != nil {
				load = *u.lie
			}
			r.vm.RecordLoad(f.now, u.id, load)
			r.vm.RecordFirstByte(f.now, r.grant.ID, u.id, true, 0)
		}
		if f.now.Before(r.doneAt) {
			return false
		}
		r.vm.RecordOutcome(f.now, request.Finish{ID: r.grant.ID, Upstream: u.id, Outcome: request.OutcomeDone})
		return true
	})
	for len(u.waiting) > 0 && len(u.running) < staleSlots {
		r := u.waiting[0]
		u.waiting = u.waiting[1:]
		service := time.Duration((0.5 + f.random.Float64()) * float64(staleService) * pace)
		r.firstByteAt = f.now.Add(service)
		r.doneAt = r.firstByteAt
		f.stats.waits = append(f.stats.waits, f.now.Sub(r.sentAt))
		u.running = append(u.running, r)
	}
}

// segment returns the segment of a prompt: few are frequent.
func (f *staleFleet) segment() uint64 {
	return uint64(math.Pow(float64(20*f.staleOptions.upstreams), f.random.Float64()))
}

func (f *staleFleet) send(counted bool) {
	vm := f.vms[f.random.IntN(len(f.vms))]
	account := version.AccountID(f.random.IntN(24))
	ticket := vm.ticket(account, f.segment(), staleShared, staleTokens)
	if !f.engines {
		ticket.Prompt, ticket.BodyBytes = nil, 2000
	}
	grant, refusal := vm.Place(f.now, ticket)
	if counted {
		f.stats.sent++
	}
	if refusal != nil {
		if counted {
			f.stats.refused++
		}
		return
	}
	u := f.byID[grant.Upstream]
	if counted {
		u.got++
	}
	r := &staleRequest{vm: vm, grant: grant, sentAt: f.now}
	if !f.engines {
		if !counted {
			f.stats.waits = f.stats.waits[:0]
		}
		u.waiting = append(u.waiting, r)
		return
	}
	uncached := ticket.Prompt.Tokens - u.cache.cachedTokens(ticket.Prompt.Segments)
	u.cache.insert(ticket.Prompt.Segments)
	pace := f.pace(u)
	queue := max(u.prefillDoneAt.Sub(f.now), 0)
	u.prefillDoneAt = later(u.prefillDoneAt, f.now).Add(time.Duration(float64(uncached) / engineRate * pace * float64(time.Second)))
	r.firstByteAt = u.prefillDoneAt.Add(time.Duration(pace * float64(baseTTFB)))
	r.doneAt = r.firstByteAt.Add(staleGeneration)
	u.running = append(u.running, r)
	if counted {
		f.stats.waits = append(f.stats.waits, queue)
		f.stats.uncached += uncached
		if r.firstByteAt.Sub(f.now) > testObjective {
			f.stats.late++
		}
	}
}

// sample records the loads of the upstreams: in slots of plain ones, in halves of the objective of
// the backlog of engines.
func (f *staleFleet) sample() {
	sum, squares, highest, lowest := 0.0, 0.0, 0.0, math.Inf(1)
	for _, u := range f.upstreams {
		load := float64(len(u.running)+len(u.waiting)) / staleSlots
		if f.engines {
			load = max(u.prefillDoneAt.Sub(f.now), 0).Seconds() / (testObjective / 4).Seconds()
		}
		sum += load
		squares += load * load
		highest, lowest = max(highest, load), min(lowest, load)
		f.stats.waiting += float64(len(u.waiting)) / float64(len(f.upstreams))
	}
	n := float64(len(f.upstreams))
	f.stats.samples++
	f.stats.spread += math.Sqrt(max(squares/n-sum/n*sum/n, 0))
	f.stats.highest = max(f.stats.highest, highest)
	if highest > 1 && lowest < 0.5 {
		f.stats.imbalanced++
	}
}

// Guards against a herd: 81 VMs that know each other's work as it was 0.1 to 0.4 s ago sent it to the
// same idle upstreams and left them together. Calls of plain services waited for 80 ms on the mean, of
// 120 ms that they take, and 0.12 of the answers of engines were late, where the others were idle. Reports
// that stop, and VMs that start without any state, shift no work either.
func TestStaleReportsCauseNoHerd(t *testing.T) {
	for _, scenario := range staleScenarios {
		if !slices.Contains([]string{"steady", "restart", "silence"}, scenario.name) {
			continue
		}
		for _, engines := range []bool{false, true} {
			o := staleOptions{vms: 81, upstreams: 24, engines: engines, load: 0.6, duration: time.Second, seed: 7}
			scenario.set(&o)
			figures := newStaleFleet(o).run().figures()
			t.Logf("%s, engines %v: %v", scenario.name, engines, figures)
			switch {
			case !engines && (figures["mean-wait-ms"] > 15 || figures["refused"] > 0):
				t.Errorf("%s: calls of plain services wait %.0f ms on the mean, %.3f are refused", scenario.name, figures["mean-wait-ms"], figures["refused"])
			case engines && figures["late"] > 0.03:
				t.Errorf("%s: %.3f of the answers of engines are late", scenario.name, figures["late"])
			}
		}
	}
}

// Guards against a sample that never reaches most upstreams of a pool: it walked in steps of 29, and
// requests without a prompt saw one, two or three upstreams of pools of 29, 58 and 87.
func TestSampleReachesEveryUpstream(t *testing.T) {
	for _, size := range []int{17, 29, 31, 58, 87, 899} {
		f, got := plainFixture(size), make(map[version.UpstreamID]int)
		for range 40 * size {
			// Without a prompt there are no affinity upstreams.
			ticket := f.ticket(1, 0, 0, 0)
			ticket.Prompt, ticket.BodyBytes = nil, 2000
			grant, refusal := f.Place(f.now, ticket)
			if refusal != nil {
				t.Fatalf("%d upstreams: refused: %v", size, refusal)
			}
			f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeCancelled})
			got[grant.Upstream]++
		}
		if len(got) != size {
			t.Errorf("%d of %d upstreams get requests", len(got), size)
		}
	}
}
