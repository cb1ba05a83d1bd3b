package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// sampleInterval is the time between two samples.
const sampleInterval = time.Second

// run is a scenario on its way.
type run struct {
	scenario Scenario
	head     version.Head
	config   *version.Config
	pump     *pump.Pump
	router   router
	callers  *callers
	meter    *meter
	poolOf   []string
	usable   map[version.PoolID]int
	// warm is the number of slots in service if all were warm.
	warm      map[version.PoolID]int
	outSince  map[version.DataCentreID]time.Time
	measuring bool
	started   time.Time
	longest   time.Duration
	before    map[version.VMID]pump.Traffic
	// back follows the return of a data centre.
	back backState
}

// fleet is the router that is measured.
type fleet struct{ run *run }

func (f fleet) submit(vm version.VMID, ticket request.Ticket, cost request.Cost) {
	f.run.meter.submitted(f.run.pump.Now(), ticket)
	f.run.pump.Submit(vm, ticket, cost)
}

// Run runs a scenario. It returns an error if the deployment's document does
// not compile.
func Run(scenario Scenario) (Result, error) {
	r := &run{
		scenario: scenario,
		head:     version.Head{Number: 1, Preset: dayPreset},
		outSince: make(map[version.DataCentreID]time.Time),
	}
	if err := r.compile(); err != nil {
		return Result{}, err
	}
	r.meter = newMeter(r)
	r.pump = pump.New(pump.Options{
		Seed:     scenario.Seed,
		Config:   r.config,
		Observer: r.meter,
		Fault:    r.fault,
	})
	r.callers = newCallers(r.pump, scenario.Deployment.VMs, scenario.Seed)
	if scenario.Policy == PolicyFleet {
		r.router = fleet{run: r}
		for _, place := range scenario.Deployment.VMs {
			r.pump.Add(place.VM, place.DataCentre)
		}
	} else {
		r.router = newBaseline(r)
	}
	r.callers.router = r.router
	r.load()
	r.pump.Run(scenario.Warm)
	r.measure()
	if scenario.AtEnd != nil {
		scenario.AtEnd()
	}
	return r.result(), nil
}

func (r *run) compile() error {
	config, err := version.Compile(&r.scenario.Deployment.Document, r.head)
	if err != nil {
		return err
	}
	r.config = config
	return nil
}

// load starts the callers.
func (r *run) load() {
	r.poolOf = make([]string, len(r.meter.accounts))
	for i := range r.scenario.Deployment.Loads {
		load := &r.scenario.Deployment.Loads[i]
		at := r.meter.index[version.NewAccountID(load.Account)]
		if r.poolOf[at] == "" {
			r.poolOf[at] = load.Pool
		}
		r.callers.start(i, load, r.scenario.Spread, load.Callers)
	}
}

// measure runs the measured time.
func (r *run) measure() {
	r.measuring = true
	r.started = r.pump.Now()
	r.meter.last = r.started
	r.before = r.traffic()
	for _, action := range r.scenario.Actions {
		r.pump.After(action.At, func() { r.act(action) })
	}
	for r.pump.Now().Sub(r.started) < r.scenario.Length {
		r.countUsable()
		r.pump.Run(sampleInterval)
		r.meter.sample(r.pump.Now())
		r.back.sample(r)
	}
}

// fault loses the scenario's fraction of frames.
func (r *run) fault(_, _ version.VMID, random *rand.Rand) pump.Fate {
	return pump.Fate{Lose: r.scenario.Loss > 0 && random.Float64() < r.scenario.Loss}
}

// countUsable counts the slots that upstreams in service have earned, and all
// that they would have warm.
func (r *run) countUsable() {
	r.usable = make(map[version.PoolID]int)
	r.warm = make(map[version.PoolID]int)
	earned := r.earned()
	for id, upstream := range r.config.Upstreams {
		if r.config.UpstreamOut(upstream) {
			continue
		}
		r.warm[upstream.Pool] += upstream.WarmLimit
		if r.scenario.Policy != PolicyFleet {
			r.usable[upstream.Pool] += upstream.WarmLimit
			continue
		}
		r.usable[upstream.Pool] += earned[id]
	}
}

// earned returns the limit of each upstream as its dispatcher has it.
func (r *run) earned() map[version.UpstreamID]int {
	earned := make(map[version.UpstreamID]int)
	for _, vm := range r.pump.VMs() {
		for _, pool := range r.pump.Daemon(vm).Node.Stats(r.pump.Now()).Pools {
			for _, upstream := range pool.Upstreams {
				earned[upstream.Upstream] = max(earned[upstream.Upstream], upstream.Limit)
			}
		}
	}
	return earned
}

// outFor returns how long an upstream's data centre has been out.
func (r *run) outFor(now time.Time, id version.UpstreamID) time.Duration {
	upstream, known := r.config.Upstreams[id]
	if !known {
		return 0
	}
	since, out := r.outSince[upstream.DataCentre]
	if !out {
		return 0
	}
	return now.Sub(since)
}

// traffic returns what each daemon sent and received so far.
func (r *run) traffic() map[version.VMID]pump.Traffic {
	all := make(map[version.VMID]pump.Traffic)
	for _, vm := range r.pump.VMs() {
		all[vm] = r.pump.Daemon(vm).Traffic
	}
	return all
}

// result sums the run up.
func (r *run) result() Result {
	out := Result{
		Scenario:        r.scenario.Name,
		Deployment:      r.scenario.Deployment.Name,
		Policy:          r.scenario.Policy,
		Spread:          r.scenario.Spread,
		Seed:            r.scenario.Seed,
		Daemons:         len(r.scenario.Deployment.VMs),
		Gap:             r.meter.gap,
		Bound:           Bound(r.scenario.Deployment),
		TotalGap:        r.meter.totalGap,
		Completed:       r.meter.counts.completed,
		Refused:         r.meter.counts.refused,
		Broken:          r.meter.counts.broken,
		NewWorkWhileOut: r.meter.counts.newWorkWhileOut,
		ShortWait95:     float64(r.meter.waits.ValueAtQuantile(95)) / 1000,
		LongestWait:     r.longest.Seconds(),
		ReturnSeconds:   r.back.seconds(),
		Series:          r.meter.samples,
	}
	out.Utilisation, out.WarmUse = r.meter.utilisation()
	for id := range r.config.Upstreams {
		out.BeforeSign += r.pump.Stand(id).BeforeSign
		out.OverCold += r.pump.Stand(id).OverCold
	}
	for _, spec := range r.scenario.Deployment.Document.Accounts {
		out.Accounts = append(out.Accounts, spec.Name)
	}
	r.sumTraffic(&out)
	return out
}

func (r *run) sumTraffic(out *Result) {
	seconds := r.scenario.Length.Seconds()
	var standing, perRequest []float64
	sent := uint64(0)
	traffic := r.traffic()
	for _, vm := range r.pump.VMs() {
		before, after := r.before[vm], traffic[vm]
		standing = append(standing, float64(after.StandingSent+after.StandingReceived-before.StandingSent-before.StandingReceived)/seconds)
		perRequest = append(perRequest, float64(after.RequestSent+after.RequestReceived-before.RequestSent-before.RequestReceived)/seconds)
		out.CrossRegionBytes += float64(after.CrossRegionSent-before.CrossRegionSent) / seconds
		sent += after.RequestSent - before.RequestSent
	}
	if len(standing) == 0 {
		return
	}
	out.Traffic = Traffic{
		StandingMean: mean(standing), StandingMax: slices.Max(standing),
		RequestMean: mean(perRequest), RequestMax: slices.Max(perRequest),
	}
	if r.meter.counts.completed > 0 {
		out.BytesPerRequest = float64(sent) / float64(r.meter.counts.completed)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
