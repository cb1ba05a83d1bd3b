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

// FrameFault is the fault that is injected into one frame on a link. The zero value delivers the
// frame without a fault.
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
	// deferred holds what the daemon has to handle when it resumes.
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
func (p *Simulation) Now() time.Time { return p.now }

// Daemon returns the daemon of a VM.
func (p *Simulation) Daemon(vm version.VMID) *Daemon { return p.daemons[vm] }

// VMs returns the VMs in the order in which they were added.
func (p *Simulation) VMs() []version.VMID { return p.vms }

// Random returns the seeded random source.
func (p *Simulation) Random() *rand.Rand { return p.random }

// Add starts a daemon and adds its VM to the platform's list.
func (p *Simulation) Add(vm version.VMID, dataCentre version.DataCentreID) *Daemon {
	d := &Daemon{VM: vm, DataCentre: dataCentre}
	p.daemons[vm] = d
	p.vms = append(p.vms, vm)
	p.start(d)
	p.after(time.Duration(p.random.Int64N(int64(node.TickInterval))), func() { p.tick(d) })
	if !p.listScheduled {
		p.listScheduled = true
		p.after(0, p.list)
	}
	return d
}

// list delivers the platform's list of VMs to every daemon and schedules the next
// delivery.
func (p *Simulation) list() {
	for _, vm := range p.vms {
		p.listTo(p.daemons[vm])
	}
	p.after(directoryInterval, p.list)
}

// listTo delivers the platform's list of VMs to a daemon.
func (p *Simulation) listTo(d *Daemon) {
	all := make([]membership.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		all = append(all, membership.VM{ID: vm, DataCentre: p.daemons[vm].DataCentre, Address: string(vm)})
	}
	p.Step(d.VM, node.Directory{VMs: all})
}

// Restart replaces a daemon's node by an empty node with a new incarnation. The requests of
// the daemon are lost; upstreams execute the running ones to the end without reporting it.
func (p *Simulation) Restart(vm version.VMID) {
	d := p.daemons[vm]
	p.unlinkAll(d)
	p.dropJobs(vm, d.Incarnation)
	p.start(d)
	p.listTo(d)
	p.redial(d)
}

// Pause defers everything that a daemon has to handle until Resume.
func (p *Simulation) Pause(vm version.VMID) { p.daemons[vm].paused = true }

// Resume makes a paused daemon handle what was deferred, in order.
func (p *Simulation) Resume(vm version.VMID) {
	d := p.daemons[vm]
	d.paused = false
	deferred := d.deferred
	d.deferred = nil
	for _, handle := range deferred {
		handle()
	}
}

// Step passes an event to a daemon immediately.
func (p *Simulation) Step(vm version.VMID, event node.Event) {
	d := p.daemons[vm]
	p.handle(d, func() { d.Node.Step(p.now, event) })
}

// After calls do after a virtual delay.
func (p *Simulation) After(delay time.Duration, do func()) { p.after(delay, do) }

// Run advances the virtual time by duration.
func (p *Simulation) Run(duration time.Duration) {
	end := p.now.Add(duration)
	for len(p.queue) > 0 && !p.queue[0].at.After(end) {
		next := heap.Pop(&p.queue).(event)
		p.now = next.at
		next.do()
	}
	p.now = end
}

// start gives a daemon a new node with the next incarnation.
func (p *Simulation) start(d *Daemon) {
	d.Incarnation++
	d.deferred = nil
	options := node.Options{
		VM:          d.VM,
		DataCentre:  d.DataCentre,
		Incarnation: d.Incarnation,
		Seed:        p.random.Uint64(),
		Timeline:    timeline.New(d.VM, timelineEvents),
	}
	if p.options.Node != nil {
		p.options.Node(&options)
	}
	d.Node = node.New(options)
	if p.options.Config != nil {
		p.Step(d.VM, node.Configure{Config: p.options.Config})
	}
}

// Configure passes a configuration to every daemon and to daemons that start later.
func (p *Simulation) Configure(config *version.Config) {
	p.options.Config = config
	for _, vm := range p.vms {
		p.Step(vm, node.Configure{Config: config})
	}
}

// tick ticks a daemon's node unless it is paused, and schedules the next tick.
func (p *Simulation) tick(d *Daemon) {
	if !d.paused {
		p.handle(d, func() { d.Node.Tick(p.now) })
	}
	p.after(node.TickInterval, func() { p.tick(d) })
}

// handle calls do for a daemon's node, now or when the daemon resumes, and performs the
// resulting actions of the node.
func (p *Simulation) handle(d *Daemon, do func()) {
	if d.paused {
		incarnation := d.Incarnation
		d.deferred = append(d.deferred, func() {
			if d.Incarnation == incarnation {
				p.handle(d, do)
			}
		})
		return
	}
	do()
	p.performActions(d)
}

// after schedules a call of do after a virtual delay.
func (p *Simulation) after(delay time.Duration, do func()) {
	p.order++
	heap.Push(&p.queue, event{at: p.now.Add(delay), order: p.order, do: do})
}
