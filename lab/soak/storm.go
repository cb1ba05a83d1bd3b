package soak

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// storm disturbs a world by a seed: storms in which disturbances overlap, and calms
// in which work is planned. It is safe for concurrent use.
type storm struct {
	world  *world
	random *rand.Rand
	log    *slog.Logger

	mu           sync.Mutex
	disturbances int
	calm         []span
	drained      map[int][]span
	cold         map[int][]span
	leaving      map[int][]span
	// restarting are the upstreams that are away.
	restarting map[int]bool
}

func newStorm(w *world, options Options) *storm {
	return &storm{
		world:   w,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		log:     options.Log,
		drained: make(map[int][]span),
		cold:    make(map[int][]span),
		leaving: make(map[int][]span),

		restarting: make(map[int]bool),
	}
}

// seen returns what was done so far.
func (s *storm) seen() (disturbances int, calm []span, drained, cold, leaving map[int][]span) {
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

// disturbance does something and undoes it after a while.
type disturbance struct {
	name string
	do   func(s *storm, pick func(n int) int) (undo func())
}

const (
	// gapMax is the longest time between two disturbances of a storm, and holdMax
	// how long one lasts at most.
	gapMax  = 700 * time.Millisecond
	holdMax = 3 * time.Second
	// restartTime is how long an upstream is away at least.
	restartTime = time.Second
	// portPause is the time between two tries to listen on a port again.
	portPause = 20 * time.Millisecond
	portTries = 500
	// pauses is how many requests an upstream that is full turns away, and pauseTime
	// the pause that it asks for.
	pauses    = 12
	pauseTime = 1200 * time.Millisecond
)

// run disturbs until ctx ends. A storm starts after a calm.
func (s *storm) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.plan(ctx)
		s.rage(ctx)
	}
}

// rage overlaps disturbances, and waits until all of them are undone.
func (s *storm) rage(ctx context.Context) {
	var pending sync.WaitGroup
	end := time.Now().Add(stormTime)
	for ctx.Err() == nil && time.Now().Before(end) {
		d := disturbances[s.random.IntN(len(disturbances))]
		// Drawn here, the figures do not depend on how long others take.
		first, hold := s.random.Int(), time.Duration(s.random.Int64N(int64(holdMax)))
		s.mu.Lock()
		s.disturbances++
		s.mu.Unlock()
		s.log.Info("disturb", "what", d.name, "for", hold)
		pending.Go(func() {
			undo := d.do(s, func(n int) int { return first % n })
			_ = wait.Sleep(ctx, hold)
			undo()
		})
		_ = wait.Sleep(ctx, time.Duration(s.random.Int64N(int64(gapMax))))
	}
	pending.Wait()
}

// plan lets things settle, and then drains an upstream and changes the
// configuration.
func (s *storm) plan(ctx context.Context) {
	began := time.Now()
	if wait.Sleep(ctx, settleTime) != nil {
		return
	}
	i := s.random.IntN(len(s.world.upstreams))
	s.world.register(i, platformtest.Draining, 0)
	drained := time.Now()
	s.world.configure()
	// Two others say of themselves that they are full, and that they leave.
	full, leaves := s.world.upstreams[(i+1)%len(s.world.upstreams)], (i+2)%len(s.world.upstreams)
	full.SetFaults(generalupstream.Faults{Refuse: pauses, RefusePause: pauseTime})
	s.world.upstreams[leaves].SetFaults(generalupstream.Faults{Leaving: true})
	defer func() {
		full.SetFaults(generalupstream.Faults{})
		s.world.upstreams[leaves].SetFaults(generalupstream.Faults{})
		s.world.renew(leaves)
	}()
	if wait.Sleep(ctx, calmTime-settleTime) != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.leaving[leaves] = append(s.leaving[leaves], span{from: drained, to: now})
	s.calm = append(s.calm, span{from: began.Add(settleTime), to: now.Add(-time.Second)})
	s.drained[i] = append(s.drained[i], span{from: drained.Add(drainBound), to: now})
	s.mu.Unlock()
	s.comeBack(i)
}

// comeBack registers an upstream that is cold.
func (s *storm) comeBack(i int) {
	now := time.Now()
	s.world.register(i, platformtest.Ready, coldTime)
	s.mu.Lock()
	s.cold[i] = append(s.cold[i], span{from: now, to: now.Add(coldTime)})
	s.mu.Unlock()
}

var disturbances = []disturbance{
	{"pause", func(s *storm, pick func(int) int) func() {
		d := s.world.daemons[pick(len(s.world.daemons))]
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	}},
	{"kill", func(s *storm, pick func(int) int) func() {
		return s.restart(pick, syscall.SIGKILL)
	}},
	{"terminate", func(s *storm, pick func(int) int) func() {
		return s.restart(pick, syscall.SIGTERM)
	}},
	{"hang up", func(s *storm, pick func(int) int) func() {
		s.world.daemons[pick(len(s.world.daemons))].signal(syscall.SIGHUP)
		return func() {}
	}},
	{"change configuration", func(s *storm, _ func(int) int) func() {
		s.world.configure()
		return func() {}
	}},
	{"store fails", func(s *storm, pick func(int) int) func() {
		s.world.store.SetFaults(storeFaults[pick(len(storeFaults))])
		return func() { s.world.store.SetFaults(metastore.Faults{}) }
	}},
	{"store forgets", func(s *storm, _ func(int) int) func() {
		s.world.store.Forget()
		return func() {}
	}},
	{"store is cut off", func(s *storm, pick func(int) int) func() {
		return disturb(s.world.daemons[pick(len(s.world.daemons))].store, pick)
	}},
	{"callers are cut off", func(s *storm, pick func(int) int) func() {
		return disturb(s.world.daemons[pick(len(s.world.daemons))].callers, pick)
	}},
	{"upstream is cut off", func(s *storm, pick func(int) int) func() {
		return disturb(s.world.upstreams[pick(len(s.world.upstreams))].proxy, pick)
	}},
	{"upstream fails", func(s *storm, pick func(int) int) func() {
		u := s.world.upstreams[pick(len(s.world.upstreams))]
		u.SetFaults(upstreamFaults[pick(len(upstreamFaults))])
		return func() { u.SetFaults(generalupstream.Faults{}) }
	}},
	{"upstream restarts", func(s *storm, pick func(int) int) func() {
		i := pick(len(s.world.upstreams))
		p := s.world.upstreams[i].proxy
		if !s.begin(i) {
			return func() {}
		}
		p.Leave()
		return func() {
			// Long enough for every daemon to have met it.
			time.Sleep(restartTime)
			s.comeBack(i)
			s.listenAgain(p)
			s.finish(i)
		}
	}},
}

// begin reports whether an upstream was not restarting already.
func (s *storm) begin(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarting[i] {
		return false
	}
	s.restarting[i] = true
	return true
}

func (s *storm) finish(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarting[i] = false
}

// listenAgain lets a proxy take connections again. Another process may have its port
// for a connection of its own meanwhile.
func (s *storm) listenAgain(p *proxy.Proxy) {
	var err error
	for range portTries {
		if err = p.ComeBack(); err == nil {
			return
		}
		time.Sleep(portPause)
	}
	s.log.Error("upstream does not come back", "error", err)
}

// restart ends a VM's process by a signal; the next one starts when it is undone.
func (s *storm) restart(pick func(int) int, signal syscall.Signal) func() {
	d := s.world.daemons[pick(len(s.world.daemons))]
	life := d.lives()
	if !d.signal(signal) {
		// Another disturbance has ended it and starts the next one.
		return func() {}
	}
	// A process that is paused ends once it goes on.
	d.signal(syscall.SIGCONT)
	return func() {
		if err := s.world.restart(d, life); err != nil {
			s.log.Error("restart", "vm", d.name, "error", err)
		}
	}
}

// storeFaults and upstreamFaults are the ways in which those fail.
var (
	storeFaults = []metastore.Faults{
		metastore.Down, {Silent: true}, {Deaf: true}, {LoseWrites: true}, {Delay: 400 * time.Millisecond},
	}
	upstreamFaults = []generalupstream.Faults{
		{Refuse: 20},
		{Fail: 20},
		{Vanish: 20},
		{Cross: 20},
		{CutAfter: 2},
		{Unframed: 20},
		{Delay: 300 * time.Millisecond},
		{Pause: 100 * time.Millisecond},
	}
)

// linkFaults are what happens to the connections of a proxy. Resets and cuts are as
// likely as each other, and twice as likely as a delay.
var linkFaults = []func(p *proxy.Proxy){
	(*proxy.Proxy).Reset,
	(*proxy.Proxy).Reset,
	func(p *proxy.Proxy) { p.Set(proxy.Silent, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.Silent, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.Deaf, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.Deaf, 0) },
	func(p *proxy.Proxy) { p.Set(proxy.Pass, 150*time.Millisecond) },
}

// disturb harms what passes a proxy.
func disturb(p *proxy.Proxy, pick func(int) int) func() {
	linkFaults[pick(len(linkFaults))](p)
	return func() { p.Set(proxy.Pass, 0) }
}
