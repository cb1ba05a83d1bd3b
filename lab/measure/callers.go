package measure

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Costs of short and long requests, in cost units, are drawn uniformly
	// between the minimum and the maximum.
	minShortCost, maxShortCost = 20, 60
	minLongCost, maxLongCost   = 300, 1500
	// maxWait is how long a request may wait for a grant.
	maxWait = time.Minute
	// floodFactor is the factor by which ActionFlood multiplies an account's
	// callers.
	floodFactor = 10
	// startWindow is the time over which the callers' first requests are
	// distributed at random.
	startWindow = 2 * time.Second
	// retryPause is a caller's pause after its request was lost, and its minimum
	// pause after a refusal.
	retryPause = time.Second
)

// router accepts requests. It is the fleet or a baseline.
type router interface {
	submit(vm version.VMID, ticket request.Ticket, cost request.Cost)
}

// caller sends requests of one load, one at a time.
type caller struct {
	load   *Load
	vm     version.VMID
	random *rand.Rand
}

// workload runs the callers of a deployment.
type workload struct {
	simulation *pump.Simulation
	router     router
	// inFlight holds the caller of each request in progress.
	inFlight map[requestTag]*caller
	// outVMs holds the VMs that the load balancer has taken out of service.
	outVMs map[version.VMID]bool
	vms    []VMLocation
	seed   uint64
	// sequence numbers both callers, to seed their random sources, and requests,
	// to tag them.
	sequence uint64
}

// requestTag identifies a simulated request. It is carried in the ticket's
// Prefix, because the fleet assigns the ticket's ID itself.
type requestTag uint64

func newWorkload(simulation *pump.Simulation, vms []VMLocation, seed uint64) *workload {
	return &workload{
		simulation: simulation,
		inFlight:   make(map[requestTag]*caller),
		outVMs:     make(map[version.VMID]bool),
		vms:        vms,
		seed:       seed,
	}
}

// start starts count callers of a load. Each sends its first request at a random
// time within startWindow.
func (w *workload) start(loadIndex int, load *Load, spread Spread, count int) {
	for i := range count {
		w.sequence++
		c := &caller{
			load:   load,
			vm:     w.vmFor(loadIndex, i, count, spread),
			random: rand.New(rand.NewPCG(w.seed, w.sequence)),
		}
		w.simulation.After(time.Duration(c.random.Int64N(int64(startWindow))), func() { w.send(c) })
	}
}

// vmFor returns the VM of one of the count callers of a load.
func (w *workload) vmFor(loadIndex, callerIndex, count int, spread Spread) version.VMID {
	n := len(w.vms)
	if spread == SpreadEven {
		return w.vms[(loadIndex+callerIndex)%n].VM
	}
	if count < largeCallers {
		return w.vms[loadIndex%n].VM
	}
	// Four in five callers of a large account use the first VM.
	if callerIndex%5 != 0 {
		return w.vms[0].VM
	}
	return w.vms[(loadIndex+callerIndex)%n].VM
}

// send submits a caller's next request to its VM, or to another VM while its own
// is out of service.
func (w *workload) send(c *caller) {
	vm := c.vm
	for i := 0; w.outVMs[vm] && i < len(w.vms); i++ {
		vm = w.vms[(int(w.sequence)+i)%len(w.vms)].VM
	}
	w.sequence++
	tag := requestTag(w.sequence)
	w.inFlight[tag] = c
	lane, cost := c.nextRequest()
	w.router.submit(vm, request.Ticket{
		Account:  version.NewAccountID(c.load.Account),
		Pool:     version.NewPoolID(c.load.Pool),
		Lane:     lane,
		Estimate: estimateOf(lane),
		Wait:     maxWait,
		Prefix:   uint64(tag),
	}, cost)
}

// nextRequest draws the lane and the true cost of the next request.
func (c *caller) nextRequest() (request.Lane, request.Cost) {
	if c.random.Float64() < c.load.LongFraction {
		return request.LaneLong, request.Cost(minLongCost + c.random.IntN(maxLongCost-minLongCost))
	}
	return request.LaneShort, request.Cost(minShortCost + c.random.IntN(maxShortCost-minShortCost))
}

// estimateOf returns the cost estimate that a ticket carries: a rough value for
// its lane, because callers do not know the true cost.
func estimateOf(lane request.Lane) request.Cost {
	if lane == request.LaneShort {
		return 128
	}
	return 512
}

// continueLater schedules the next request of the caller of a completed request.
// A pause of 0 stands for the think time of its load.
func (w *workload) continueLater(ticket request.Ticket, pause time.Duration) {
	tag := requestTag(ticket.Prefix)
	c, found := w.inFlight[tag]
	if !found {
		return
	}
	delete(w.inFlight, tag)
	if pause == 0 {
		pause = c.load.ThinkTime
	}
	w.simulation.After(pause+time.Millisecond, func() { w.send(c) })
}
