package measure

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Costs in units, uniform between the two.
	shortLeast, shortMost = 20, 60
	longLeast, longMost   = 300, 1500
	// wait is how long a request may wait.
	wait = time.Minute
	// floodFactor multiplies the callers of a flooding account.
	floodFactor = 10
	// startSpread spreads the callers' first requests.
	startSpread = 2 * time.Second
	// restartPause is a caller's pause after its request broke.
	restartPause = time.Second
)

// router takes requests: the fleet, or a baseline.
type router interface {
	submit(vm version.VMID, ticket request.Ticket, cost request.Cost)
}

// caller sends one request at a time.
type caller struct {
	load   *Load
	vm     version.VMID
	random *rand.Rand
}

// callers drives the deployment's load.
type callers struct {
	pump   *pump.Pump
	router router
	// home finds the caller of a request.
	waiting map[callKey]*caller
	out     map[version.VMID]bool
	vms     []Place
	seed    uint64
	next    uint64
}

// callKey names a request by the tag in its ticket's Prefix.
type callKey uint64

func newCallers(p *pump.Pump, vms []Place, seed uint64) *callers {
	return &callers{
		pump:    p,
		waiting: make(map[callKey]*caller),
		out:     make(map[version.VMID]bool),
		vms:     vms,
		seed:    seed,
	}
}

// start starts the callers of a load.
func (c *callers) start(index int, load *Load, spread Spread, count int) {
	for i := range count {
		c.next++
		one := &caller{
			load:   load,
			vm:     c.place(index, i, count, spread),
			random: rand.New(rand.NewPCG(c.seed, c.next)),
		}
		c.pump.After(time.Duration(one.random.Int64N(int64(startSpread))), func() { c.send(one) })
	}
}

// place returns the VM of an account's i-th caller.
func (c *callers) place(index, i, count int, spread Spread) version.VMID {
	n := len(c.vms)
	if spread == SpreadEven {
		return c.vms[(index+i)%n].VM
	}
	if count < largeCallers {
		return c.vms[index%n].VM
	}
	// Four in five callers of a large account are at the first VM.
	if i%5 != 0 {
		return c.vms[0].VM
	}
	return c.vms[(index+i)%n].VM
}

// send submits a caller's next request, at another VM while its own is out.
func (c *callers) send(one *caller) {
	vm := one.vm
	for i := 0; c.out[vm] && i < len(c.vms); i++ {
		vm = c.vms[(int(c.next)+i)%len(c.vms)].VM
	}
	c.next++
	key := callKey(c.next)
	c.waiting[key] = one
	lane, cost := one.draw()
	c.router.submit(vm, request.Ticket{
		Account:  version.NewAccountID(one.load.Account),
		Pool:     version.NewPoolID(one.load.Pool),
		Lane:     lane,
		Estimate: estimateOf(lane),
		Wait:     wait,
		Prefix:   uint64(key),
	}, cost)
}

func (one *caller) draw() (request.Lane, request.Cost) {
	if one.random.Float64() < one.load.LongShare {
		return request.LaneLong, request.Cost(longLeast + one.random.IntN(longMost-longLeast))
	}
	return request.LaneShort, request.Cost(shortLeast + one.random.IntN(shortMost-shortLeast))
}

// estimateOf is the rough hint that comes with a request.
func estimateOf(lane request.Lane) request.Cost {
	if lane == request.LaneShort {
		return 128
	}
	return 512
}

// again lets the caller of a request that ended go on after a pause.
func (c *callers) again(ticket request.Ticket, pause time.Duration) {
	key := callKey(ticket.Prefix)
	one, present := c.waiting[key]
	if !present {
		return
	}
	delete(c.waiting, key)
	if pause == 0 {
		pause = one.load.Pause
	}
	c.pump.After(pause+time.Millisecond, func() { c.send(one) })
}
