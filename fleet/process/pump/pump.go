// Package pump simulates a fleet of nodes in virtual time, for tests and measurements. It
// delivers their messages over links with a delay, can lose, duplicate and reorder
// messages and cut links, and simulates upstreams that execute granted requests.
//
// A run is deterministic: all random choices follow from the seed.
package pump

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// SameRegionDelay is the one-way delay within a region.
	SameRegionDelay = time.Millisecond
	// CrossRegionDelay is the one-way delay between regions.
	CrossRegionDelay = 8 * time.Millisecond
	// directoryInterval is the time between two deliveries of the platform's list of VMs
	// to each daemon.
	directoryInterval = 2 * time.Second
	// timelineEvents is the capacity of each node's timeline, in events.
	timelineEvents = 64
)

// FrameFault is the fault that is injected into one frame on a link. The zero value
// delivers the frame without a fault.
type FrameFault struct {
	// Drop drops the frame.
	Drop bool
	// Duplicates is how many additional times the frame is delivered.
	Duplicates int
	// ExtraDelay is added to the delay of the link, so that frames with different values
	// overtake each other.
	ExtraDelay time.Duration
}

// Options configure a Simulation.
type Options struct {
	// Seed seeds all random choices.
	Seed uint64
	// Config is the configuration of nodes that start; nil means none.
	Config *version.Config
	// Fault returns the fault of each frame; nil delivers all frames without a fault.
	Fault func(from, to version.VMID, random *rand.Rand) FrameFault
	// Node changes the options of a node before it starts; nil changes nothing.
	Node func(*node.Options)
	// Observer is notified of the progress of requests; nil means none.
	Observer Observer
}

// Simulation simulates a fleet. It is not safe for concurrent use.
type Simulation struct {
	options Options
	random  *rand.Rand
	now     time.Time
	queue   eventHeap
	// order is the order of the event that was scheduled last.
	order   uint64
	daemons map[version.VMID]*Daemon
	// vms lists the VMs in the order in which they were added.
	vms   []version.VMID
	links links
	// listScheduled is set once the periodic delivery of the list of VMs is scheduled.
	listScheduled bool
	upstreams     map[version.UpstreamID]*FakeUpstream
	jobs          map[jobKey]*job
}

// Daemon is a simulated daemon: a node and the traffic that it sent and received.
type Daemon struct {
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	Node        *node.Node
	Traffic     Traffic
	paused      bool
	// deferred holds the calls that handle events and ticks when the daemon resumes.
	deferred []func()
	// lastID is the ID of the last request that was submitted.
	lastID uint64
}

// New returns a simulation without daemons. The virtual time starts at the Unix epoch.
func New(options Options) *Simulation {
	return &Simulation{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		now:       time.UnixMilli(0),
		daemons:   make(map[version.VMID]*Daemon),
		links:     newLinks(),
		upstreams: make(map[version.UpstreamID]*FakeUpstream),
		jobs:      make(map[jobKey]*job),
	}
}

// Now returns the virtual time.
func (s *Simulation) Now() time.Time { return s.now }

// Daemon returns the daemon of a VM.
func (s *Simulation) Daemon(vm version.VMID) *Daemon { return s.daemons[vm] }

// VMs returns the VMs in the order in which they were added.
func (s *Simulation) VMs() []version.VMID { return s.vms }

// Random returns the seeded random source.
func (s *Simulation) Random() *rand.Rand { return s.random }

// Add starts a daemon and adds its VM to the platform's list.
func (s *Simulation) Add(vm version.VMID, dataCentre version.DataCentreID) *Daemon {
	d := &Daemon{VM: vm, DataCentre: dataCentre}
	s.daemons[vm] = d
	s.vms = append(s.vms, vm)
	s.start(d)
	s.after(time.Duration(s.random.Int64N(int64(node.TickInterval))), func() { s.tick(d) })
	if !s.listScheduled {
		s.listScheduled = true
		s.after(0, s.list)
	}
	return d
}

// list delivers the platform's list of VMs to every daemon and schedules the next
// delivery.
func (s *Simulation) list() {
	for _, vm := range s.vms {
		s.listTo(s.daemons[vm])
	}
	s.after(directoryInterval, s.list)
}

// listTo delivers the platform's list of VMs to a daemon.
func (s *Simulation) listTo(d *Daemon) {
	all := make([]membership.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		all = append(all, membership.VM{ID: vm, DataCentre: s.daemons[vm].DataCentre, Address: string(vm)})
	}
	s.Step(d.VM, node.Directory{VMs: all})
}

// Restart replaces a daemon's node by an empty node with a new incarnation. The requests of
// the daemon are lost; upstreams execute the running ones to the end without reporting it.
func (s *Simulation) Restart(vm version.VMID) {
	d := s.daemons[vm]
	s.unlinkAll(d)
	s.dropJobs(vm, d.Incarnation)
	s.start(d)
	s.listTo(d)
	s.redial(d)
}

// Pause defers everything that a daemon has to handle until Resume.
func (s *Simulation) Pause(vm version.VMID) { s.daemons[vm].paused = true }

// Resume makes a paused daemon handle the deferred events, in order.
func (s *Simulation) Resume(vm version.VMID) {
	d := s.daemons[vm]
	d.paused = false
	deferred := d.deferred
	d.deferred = nil
	for _, handle := range deferred {
		handle()
	}
}

// Step passes an event to a daemon immediately.
func (s *Simulation) Step(vm version.VMID, event node.Event) {
	d := s.daemons[vm]
	s.handle(d, func() { d.Node.Step(s.now, event) })
}

// After calls do after a virtual delay.
func (s *Simulation) After(delay time.Duration, do func()) { s.after(delay, do) }

// Run advances the virtual time by duration.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// start gives a daemon a new node with the next incarnation.
func (s *Simulation) start(d *Daemon) {
	d.Incarnation++
	d.deferred = nil
	options := node.Options{
		VM:          d.VM,
		DataCentre:  d.DataCentre,
		Incarnation: d.Incarnation,
		Seed:        s.random.Uint64(),
		Timeline:    timeline.New(d.VM, timelineEvents),
	}
	if s.options.Node != nil {
		s.options.Node(&options)
	}
	d.Node = node.New(options)
	if s.options.Config != nil {
		s.Step(d.VM, node.Configure{Config: s.options.Config})
	}
}

// Configure passes a configuration to every daemon and to daemons that start later.
func (s *Simulation) Configure(config *version.Config) {
	s.options.Config = config
	for _, vm := range s.vms {
		s.Step(vm, node.Configure{Config: config})
	}
}

// tick ticks a daemon's node unless it is paused, and schedules the next tick.
func (s *Simulation) tick(d *Daemon) {
	if !d.paused {
		s.handle(d, func() { d.Node.Tick(s.now) })
	}
	s.after(node.TickInterval, func() { s.tick(d) })
}

// handle calls do for a daemon's node, now or when the daemon resumes, and performs the
// resulting actions of the node.
func (s *Simulation) handle(d *Daemon, do func()) {
	if d.paused {
		incarnation := d.Incarnation
		d.deferred = append(d.deferred, func() {
			if d.Incarnation == incarnation {
				s.handle(d, do)
			}
		})
		return
	}
	do()
	s.performActions(d)
}

// after schedules a call of do after a virtual delay.
func (s *Simulation) after(delay time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(delay), order: s.order, do: do})
}
