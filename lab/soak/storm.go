package soak

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// scenario disturbs a fleet as a seed determines. It alternates storm phases, in
// which disturbances overlap, and calm phases, in which it makes planned changes. It
// is safe for concurrent use.
type scenario struct {
	fleet  *fleet
	random *rand.Rand
	log    *slog.Logger

	// storming is set during storm phases.
	storming atomic.Bool
	// ended is set when the run is over, before its proxies are closed.
	ended atomic.Bool

	mu           sync.Mutex
	disturbances int
	// restores counts the store's returns from older copies.
	restores int
	// odd counts the odd faults.
	odd     int
	calm    []span
	drained map[int][]span
	cold    map[int][]span
	leaving map[int][]span
	// restarting are the upstreams that are down because of a restart or crash, draining those
	// that are registered as draining.
	restarting, draining map[int]bool
	// disturbed are the spans by VM in which its process or connections were disturbed; a
	// span without an end lasts on.
	disturbed map[int][]*span
	// heldUp are the spans by upstream in which its connections were disturbed.
	heldUp map[int][]*span
	// limits are the phases by upstream in which it names a limit, and limitsRandom draws them;
	// nil if no upstream names limits.
	limits       map[int][]*limitPhase
	limitsRandom *rand.Rand
	// deadly are the phases in which requests crash upstreams.
	deadly []deadlyPhase
}

func newScenario(f *fleet, options Options) *scenario {
	s := &scenario{
		fleet:   f,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		log:     options.Log,
		drained: make(map[int][]span),
		cold:    make(map[int][]span),
		leaving: make(map[int][]span),

		restarting: make(map[int]bool),
		draining:   make(map[int]bool),
		disturbed:  make(map[int][]*span),
		heldUp:     make(map[int][]*span),
		limits:     make(map[int][]*limitPhase),
	}
	if !options.NoLimits {
		s.limitsRandom = rand.New(rand.NewPCG(options.Seed, limitsStream))
	}
	for i, u := range f.upstreams {
		u.OnCrash(func() { s.crash(i) })
	}
	return s
}

// observed returns the number of disturbances and the spans of evidence so far.
func (s *scenario) observed() (disturbances int, calm []span, drained, cold, leaving map[int][]span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbances, slices.Clone(s.calm), cloneSpans(s.drained), cloneSpans(s.cold), cloneSpans(s.leaving)
}

func cloneSpans(spans map[int][]span) map[int][]span {
	clone := make(map[int][]span, len(spans))
	for i, list := range spans {
		clone[i] = slices.Clone(list)
	}
	return clone
}

// disturbance is one kind of disturbance. start begins it and returns the function
// that ends it. pick returns a random index below n, the same at each call with n.
type disturbance struct {
	name  string
	start func(s *scenario, pick func(n int) int) (undo func())
}

const (
	// maxDisturbanceGap is the longest time between the starts of two disturbances of
	// a storm, and maxDisturbanceLength the longest duration of one.
	maxDisturbanceGap    = 700 * time.Millisecond
	maxDisturbanceLength = 3 * time.Second
	// minUpstreamDowntime is how long a restarting upstream is down at least.
	minUpstreamDowntime = time.Second
	// relistenPause is the time between two attempts to listen on a port again, and
	// relistenAttempts their greatest number.
	relistenPause    = 20 * time.Millisecond
	relistenAttempts = 500
	// pauseRefusals is the number of requests that an upstream at capacity refuses,
	// and pauseLength the pause that it asks for.
	pauseRefusals = 12
	pauseLength   = 1200 * time.Millisecond
)

// disturbVM records that a VM is disturbed until the returned function is called.
func (s *scenario) disturbVM(vm int) (end func()) { return s.disturb(s.disturbed, vm) }

// disturb records in one of the scenario's maps that a VM or an upstream's connections are
// disturbed until the returned function is called.
func (s *scenario) disturb(spans map[int][]*span, i int) (end func()) {
	disturbed := &span{from: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	spans[i] = append(spans[i], disturbed)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		disturbed.to = time.Now()
	}
}

// run alternates calm and storm phases until ctx ends, calm first. In every other storm,
// upstreams name limits.
func (s *scenario) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.runCalm(ctx)
		if s.limitsRandom != nil && n%2 == 0 {
			s.runLimitedStorm(ctx)
		} else {
			s.runStorm(ctx)
		}
	}
}

// runStorm starts disturbances at random intervals, so that they overlap, and waits
// until all of them have ended.
func (s *scenario) runStorm(ctx context.Context) {
	s.storming.Store(true)
	defer s.storming.Store(false)
	var pending sync.WaitGroup
	end := time.Now().Add(stormLength)
	for ctx.Err() == nil && time.Now().Before(end) {
		d := disturbances[s.random.IntN(len(disturbances))]
		// All numbers are drawn here and not in the goroutines below, so that they do
		// not depend on the duration of other disturbances.
		draw, length := s.random.Int(), time.Duration(s.random.Int64N(int64(maxDisturbanceLength)))
		s.mu.Lock()
		s.disturbances++
		s.mu.Unlock()
		s.log.Info("disturb", "what", d.name, "for", length)
		pending.Go(func() {
			undo := d.start(s, func(n int) int { return draw % n })
			_ = wait.Sleep(ctx, length)
			undo()
		})
		_ = wait.Sleep(ctx, time.Duration(s.random.Int64N(int64(maxDisturbanceGap))))
	}
	pending.Wait()
}

// runCalm lets the fleet settle, and then drains an upstream, changes the
// configuration and has two other upstreams refuse requests and give drain advice.
func (s *scenario) runCalm(ctx context.Context) {
	startedAt := time.Now()
	if wait.Sleep(ctx, settleTime) != nil {
		return
	}
	i := s.random.IntN(len(s.fleet.upstreams))
	drainedAt := time.Now()
	s.setDraining(i, true)
	defer s.setDraining(i, false)
	s.fleet.register(i, platformtest.StateDraining, 0)
	s.fleet.publishNextVersion()
	// Of two other upstreams, one is at capacity and asks for pauses, and one gives
	// drain advice.
	atCapacity, leaving := s.fleet.upstreams[(i+1)%len(s.fleet.upstreams)], (i+2)%len(s.fleet.upstreams)
	atCapacity.SetFaults(generalupstream.Faults{Refuse: pauseRefusals, RefusePause: pauseLength})
	s.fleet.upstreams[leaving].SetFaults(generalupstream.Faults{DrainAdvice: true})
	defer func() {
		atCapacity.SetFaults(generalupstream.Faults{})
		s.fleet.upstreams[leaving].SetFaults(generalupstream.Faults{})
		if s.crashedSince(leaving, drainedAt.Add(-coldTime)) {
			// It may still be cold.
			s.registerCold(leaving)
			return
		}
		s.fleet.renewIncarnation(leaving)
	}()
	if wait.Sleep(ctx, calmLength-settleTime) != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	// An upstream that has crashed has another incarnation, which did not give the advice.
	if !s.crashedSince(leaving, drainedAt) {
		s.leaving[leaving] = append(s.leaving[leaving], span{from: drainedAt, to: now})
	}
	s.calm = append(s.calm, span{from: startedAt.Add(settleTime), to: now.Add(-time.Second)})
	s.drained[i] = append(s.drained[i], span{from: drainedAt.Add(drainBound), to: now})
	s.mu.Unlock()
	s.setDraining(i, false)
	s.registerCold(i)
}

// setDraining records whether an upstream is registered as draining.
func (s *scenario) setDraining(i int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[i] = draining
}

// registerCold registers a new, cold incarnation of an upstream.
func (s *scenario) registerCold(i int) {
	now := time.Now()
	s.mu.Lock()
	state := platformtest.StateReady
	if s.draining[i] {
		state = platformtest.StateDraining
	}
	s.mu.Unlock()
	s.fleet.register(i, state, coldTime)
	s.mu.Lock()
	s.cold[i] = append(s.cold[i], span{from: now, to: now.Add(coldTime)})
	s.mu.Unlock()
}

// isCold reports whether an upstream is still cold.
func (s *scenario) isCold(i int) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.cold[i], func(cold span) bool { return cold.contains(now) })
}

var disturbances = []disturbance{
	{"pause", func(s *scenario, pick func(int) int) func() {
		vm := pick(len(s.fleet.daemons))
		d, end := s.fleet.daemons[vm], s.disturbVM(vm)
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT); end() }
	}},
	{"kill", func(s *scenario, pick func(int) int) func() {
		return s.restart(pick, syscall.SIGKILL)
	}},
	{"terminate", func(s *scenario, pick func(int) int) func() {
		return s.restart(pick, syscall.SIGTERM)
	}},
	{"hang up", func(s *scenario, pick func(int) int) func() {
		s.fleet.daemons[pick(len(s.fleet.daemons))].signal(syscall.SIGHUP)
		return func() {}
	}},
	{"change configuration", func(s *scenario, _ func(int) int) func() {
		s.fleet.publishNextVersion()
		return func() {}
	}},
	{"store fails", func(s *scenario, pick func(int) int) func() {
		s.fleet.store.SetFaults(storeFaults[pick(len(storeFaults))])
		return func() { s.fleet.store.SetFaults(metastore.Faults{}) }
	}},
	{"store drops its history", func(s *scenario, _ func(int) int) func() {
		s.fleet.store.DropHistory()
		return func() {}
	}},
	{"store connection fails", func(s *scenario, pick func(int) int) func() {
		vm := pick(len(s.fleet.daemons))
		undo, end := disturbProxy(s.fleet.daemons[vm].storeProxy, pick), s.disturbVM(vm)
		return func() { undo(); end() }
	}},
	{"callers' connections fail", func(s *scenario, pick func(int) int) func() {
		vm := pick(len(s.fleet.daemons))
		undo, end := disturbProxy(s.fleet.daemons[vm].callersProxy, pick), s.disturbVM(vm)
		return func() { undo(); end() }
	}},
	{"upstream connection fails", func(s *scenario, pick func(int) int) func() {
		i := pick(len(s.fleet.upstreams))
		undo, end := disturbProxy(s.fleet.upstreams[i].proxy, pick), s.disturb(s.heldUp, i)
		return func() { undo(); end() }
	}},
	{"upstream fails", func(s *scenario, pick func(int) int) func() {
		u := s.fleet.upstreams[pick(len(s.fleet.upstreams))]
		u.SetFaults(upstreamFaults[pick(len(upstreamFaults))])
		return func() { u.SetFaults(generalupstream.Faults{}) }
	}},
	{"upstream restarts", func(s *scenario, pick func(int) int) func() {
		i := pick(len(s.fleet.upstreams))
		p := s.fleet.upstreams[i].proxy
		if !s.beginRestart(i) {
			return func() {}
		}
		p.StopListening()
		return func() {
			// Long enough for every daemon to notice that the upstream is down.
			time.Sleep(minUpstreamDowntime)
			s.registerCold(i)
			s.listenAgain(p)
			s.endRestart(i)
		}
	}},
}

// beginRestart marks an upstream as restarting and reports whether it was not
// restarting already.
func (s *scenario) beginRestart(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarting[i] {
		return false
	}
	s.restarting[i] = true
	return true
}

// endRestart marks an upstream as no longer restarting.
func (s *scenario) endRestart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarting[i] = false
}

// listenAgain lets a proxy accept connections again. It retries, because another
// process may use the port for a connection of its own for some time.
func (s *scenario) listenAgain(p *proxy.Proxy) {
	var err error
	for range relistenAttempts {
		if s.ended.Load() {
			return
		}
		if err = p.ResumeListening(); err == nil {
			return
		}
		time.Sleep(relistenPause)
	}
	if s.ended.Load() {
		return
	}
	s.log.Error("proxy of an upstream cannot listen on its port again", "error", err)
}

// restart ends a VM's process by a signal. The returned function starts the next one.
func (s *scenario) restart(pick func(int) int, signal syscall.Signal) func() {
	vm := pick(len(s.fleet.daemons))
	d, end := s.fleet.daemons[vm], s.disturbVM(vm)
	incarnation := d.currentIncarnation()
	if !d.signal(signal) {
		// Another disturbance has ended the process and starts the next one.
		return end
	}
	// A process that is paused handles the signal only once it is resumed.
	d.signal(syscall.SIGCONT)
	return func() {
		defer end()
		if err := s.fleet.restart(d, incarnation); err != nil {
			s.log.Error("restart", "vm", d.name, "error", err)
		}
	}
}

// storeFaults and upstreamFaults are the faults among which disturbances choose.
var (
	storeFaults = []metastore.Faults{
		metastore.Down, {Silent: true}, {WithholdEvents: true}, {LoseWriteAnswers: true}, {Delay: 400 * time.Millisecond},
	}
	upstreamFaults = []generalupstream.Faults{
		{Refuse: 20},
		{Fail: 20},
		{NoAnswer: 20},
		{WrongID: 20},
		{TruncateAfter: 2},
		{NoLength: 20},
		{Delay: 300 * time.Millisecond},
		{Pause: 100 * time.Millisecond},
	}
)

// proxyFaults are the faults among which disturbances of a proxy choose. A reset,
// HoldAll and HoldResponses are equally likely, and each twice as likely as a delay.
var proxyFaults = []func(p *proxy.Proxy){
	(*proxy.Proxy).ResetConnections,
	(*proxy.Proxy).ResetConnections,
	func(p *proxy.Proxy) { p.Set(proxy.HoldAll, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.HoldAll, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.HoldResponses, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.HoldResponses, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.Pass, 150*time.Millisecond) },
}

// disturbProxy applies a fault to a proxy and returns the function that ends it.
func disturbProxy(p *proxy.Proxy, pick func(int) int) func() {
	proxyFaults[pick(len(proxyFaults))](p)
	return func() { p.Set(proxy.Pass, 0) }
}
