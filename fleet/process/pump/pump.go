// Package pump steps many nodes together in virtual time, for tests and
// measures: it carries their messages over delayed links, can lose, duplicate,
// reorder and cut them, and plays upstreams that take grants and end them.
//
// Everything follows from the seed, so a run gives the same result each time.
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
	// directoryInterval is how often each daemon reads the platform's list.
	directoryInterval = 2 * time.Second
	// timelineEvents is the ring of each node.
	timelineEvents = 64
)

// Fate is what happens to one frame on a link. Zero delivers it.
type Fate struct {
	Lose bool
	// Copies is how many times more the frame arrives.
	Copies int
	// Extra is added to the link's delay; frames with different values
	// overtake each other.
	Extra time.Duration
}

// Options set up a Pump.
type Options struct {
	Seed   uint64
	Config *version.Config
	// Fault decides the fate of each frame; nil delivers all.
	Fault func(from, to version.VMID, random *rand.Rand) Fate
	// Node changes a node's options before it starts; nil leaves them.
	Node func(*node.Options)
	// Observer is told what happens; nil is nobody.
	Observer Observer
}

// Pump owns the nodes. It is not safe for concurrent use.
type Pump struct {
	options Options
	random  *rand.Rand
	now     time.Time
	queue   eventHeap
	order   uint64
	daemons map[version.VMID]*Daemon
	vms     []version.VMID
	links   links
	// listing is set while a new list of VMs is on its way.
	listing bool
	stands  map[version.UpstreamID]*Stand
	jobs    map[jobKey]*job
}

// Daemon is one node and what it sent.
type Daemon struct {
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	Node        *node.Node
	Traffic     Traffic
	paused      bool
	held        []func()
	nextID      uint64
}

// New returns a pump without daemons at a fixed time.
func New(options Options) *Pump {
	return &Pump{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		now:     time.UnixMilli(0),
		daemons: make(map[version.VMID]*Daemon),
		links:   newLinks(),
		stands:  make(map[version.UpstreamID]*Stand),
		jobs:    make(map[jobKey]*job),
	}
}

// Now returns the virtual time.
func (p *Pump) Now() time.Time { return p.now }

// Daemon returns the daemon of a VM.
func (p *Pump) Daemon(vm version.VMID) *Daemon { return p.daemons[vm] }

// VMs returns the VMs in the order in which they were added.
func (p *Pump) VMs() []version.VMID { return p.vms }

// Random returns the seeded source.
func (p *Pump) Random() *rand.Rand { return p.random }

// Add starts a daemon, which the platform's list has from then on.
func (p *Pump) Add(vm version.VMID, dataCentre version.DataCentreID) *Daemon {
	d := &Daemon{VM: vm, DataCentre: dataCentre}
	p.daemons[vm] = d
	p.vms = append(p.vms, vm)
	p.start(d)
	p.after(time.Duration(p.random.Int64N(int64(node.TickInterval))), func() { p.tick(d) })
	if !p.listing {
		p.listing = true
		p.after(0, p.list)
	}
	return d
}

// list tells every daemon which VMs the platform has, again and again.
func (p *Pump) list() {
	for _, vm := range p.vms {
		p.listTo(p.daemons[vm])
	}
	p.after(directoryInterval, p.list)
}

func (p *Pump) listTo(d *Daemon) {
	all := make([]membership.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		all = append(all, membership.VM{ID: vm, DataCentre: p.daemons[vm].DataCentre, Address: string(vm)})
	}
	p.Step(d.VM, node.Directory{VMs: all})
}

// Restart replaces a daemon's node by an empty one of a new incarnation. Its
// requests are gone and their upstreams end them unseen.
func (p *Pump) Restart(vm version.VMID) {
	d := p.daemons[vm]
	p.unlinkAll(d)
	p.dropJobs(vm, d.Incarnation)
	p.start(d)
	p.listTo(d)
	p.redial(d)
}

// Pause holds back everything that a daemon would handle until Resume.
func (p *Pump) Pause(vm version.VMID) { p.daemons[vm].paused = true }

// Resume lets a paused daemon handle what was held back, in order.
func (p *Pump) Resume(vm version.VMID) {
	d := p.daemons[vm]
	d.paused = false
	held := d.held
	d.held = nil
	for _, handle := range held {
		handle()
	}
}

// Step hands an event to a daemon at once.
func (p *Pump) Step(vm version.VMID, event node.Event) {
	d := p.daemons[vm]
	p.handle(d, func() { d.Node.Step(p.now, event) })
}

// After calls do after a virtual delay.
func (p *Pump) After(delay time.Duration, do func()) { p.after(delay, do) }

// Run advances the virtual time by duration.
func (p *Pump) Run(duration time.Duration) {
	end := p.now.Add(duration)
	for len(p.queue) > 0 && !p.queue[0].at.After(end) {
		next := heap.Pop(&p.queue).(event)
		p.now = next.at
		next.do()
	}
	p.now = end
}

func (p *Pump) start(d *Daemon) {
	d.Incarnation++
	d.held = nil
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

// Configure hands a configuration to every daemon, and to those that start
// later.
func (p *Pump) Configure(config *version.Config) {
	p.options.Config = config
	for _, vm := range p.vms {
		p.Step(vm, node.Configure{Config: config})
	}
}

func (p *Pump) tick(d *Daemon) {
	if !d.paused {
		p.handle(d, func() { d.Node.Tick(p.now) })
	}
	p.after(node.TickInterval, func() { p.tick(d) })
}

// handle runs do on a daemon's node, now or when it resumes, and carries out
// the actions that follow.
func (p *Pump) handle(d *Daemon, do func()) {
	if d.paused {
		incarnation := d.Incarnation
		d.held = append(d.held, func() {
			if d.Incarnation == incarnation {
				p.handle(d, do)
			}
		})
		return
	}
	do()
	p.carryOut(d)
}

func (p *Pump) after(delay time.Duration, do func()) {
	p.order++
	heap.Push(&p.queue, event{at: p.now.Add(delay), order: p.order, do: do})
}
