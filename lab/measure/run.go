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

// run is the state of a scenario that is being executed.
type run struct {
	scenario Scenario
	head     version.Head
	// config is the configuration compiled from the deployment's document and
	// head.
	config     *version.Config
	simulation *pump.Simulation
	router     router
	workload   *workload
	recorder   *recorder
	// accountPools is the pool of each account, by the index of recorder.accounts.
	accountPools []string
	// usableSlots is the number of slots in service that upstreams have earned, by
	// pool.
	usableSlots map[version.PoolID]int
	// warmSlots is the number of slots in service if all upstreams were warm, by pool.
	warmSlots map[version.PoolID]int
	// outSince is when each data centre that is out of service was evacuated.
	outSince     map[version.DataCentreID]time.Time
	measuring    bool
	measureStart time.Time
	// longestWait is the longest wait for a grant while measuring.
	longestWait time.Duration
	// trafficAtStart is the traffic of each daemon at measureStart.
	trafficAtStart map[version.VMID]pump.Traffic
	// recovery tracks the return of an evacuated data centre.
	recovery recovery
}

// fleetRouter submits requests to the daemons of the simulated fleet.
type fleetRouter struct{ run *run }

func (f fleetRouter) submit(vm version.VMID, ticket request.Ticket, cost request.Cost) {
	f.run.recorder.recordSubmitted(f.run.simulation.Now(), ticket)
	f.run.simulation.Submit(vm, ticket, cost)
}

// Run runs a scenario and returns its measurements. It returns an error if the
// deployment's document does not compile.
func Run(scenario Scenario) (Result, error) {
	r := &run{
		scenario: scenario,
		head:     version.Head{Number: 1, Preset: dayPreset},
		outSince: make(map[version.DataCentreID]time.Time),
	}
	if err := r.compile(); err != nil {
		return Result{}, err
	}
	r.recorder = newRecorder(r)
	r.simulation = pump.New(pump.Options{
		Seed:     scenario.Seed,
		Config:   r.config,
		Observer: r.recorder,
		Fault:    r.frameFault,
	})
	r.workload = newWorkload(r.simulation, scenario.Deployment.VMs, scenario.Seed)
	if scenario.Policy == PolicyFleet {
		r.router = fleetRouter{run: r}
		for _, location := range scenario.Deployment.VMs {
			r.simulation.Add(location.VM, location.DataCentre)
		}
	} else {
		r.router = newBaseline(r)
	}
	r.workload.router = r.router
	r.startCallers()
	r.simulation.Run(scenario.WarmUp)
	r.runMeasured()
	if scenario.AtEnd != nil {
		scenario.AtEnd()
	}
	return r.result(), nil
}

// compile sets config from the document and head.
func (r *run) compile() error {
	config, err := version.Compile(&r.scenario.Deployment.Document, r.head)
	if err != nil {
		return err
	}
	r.config = config
	return nil
}

// startCallers starts the callers of all loads. An account belongs to the pool of
// its first load.
func (r *run) startCallers() {
	r.accountPools = make([]string, len(r.recorder.accounts))
	for i := range r.scenario.Deployment.Loads {
		load := &r.scenario.Deployment.Loads[i]
		account := r.recorder.index[version.NewAccountID(load.Account)]
		if r.accountPools[account] == "" {
			r.accountPools[account] = load.Pool
		}
		r.workload.start(i, load, r.scenario.Spread, load.Callers)
	}
}

// runMeasured runs the measured part of the scenario with its actions.
func (r *run) runMeasured() {
	r.measuring = true
	r.measureStart = r.simulation.Now()
	r.recorder.lastChange = r.measureStart
	r.trafficAtStart = r.traffic()
	for _, action := range r.scenario.Actions {
		r.simulation.After(action.At, func() { r.apply(action) })
	}
	for r.simulation.Now().Sub(r.measureStart) < r.scenario.Length {
		r.countSlots()
		r.simulation.Run(sampleInterval)
		r.recorder.sample(r.simulation.Now())
		r.recovery.sample(r)
	}
}

// frameFault loses the scenario's fraction of frames, at random.
func (r *run) frameFault(_, _ version.VMID, random *rand.Rand) pump.FrameFault {
	return pump.FrameFault{Drop: r.scenario.Loss > 0 && random.Float64() < r.scenario.Loss}
}

// countSlots counts the slots that upstreams in service have earned, and those
// that they have when warm. The baselines have no slow start, so all their slots
// are usable.
func (r *run) countSlots() {
	r.usableSlots = make(map[version.PoolID]int)
	r.warmSlots = make(map[version.PoolID]int)
	earned := r.earnedLimits()
	for id, upstream := range r.config.Upstreams {
		if r.config.UpstreamOut(upstream) {
			continue
		}
		r.warmSlots[upstream.Pool] += upstream.WarmLimit
		if r.scenario.Policy != PolicyFleet {
			r.usableSlots[upstream.Pool] += upstream.WarmLimit
			continue
		}
		r.usableSlots[upstream.Pool] += earned[id]
	}
}

// earnedLimits returns the slots that each upstream has earned, as its dispatcher
// counts them.
func (r *run) earnedLimits() map[version.UpstreamID]int {
	limits := make(map[version.UpstreamID]int)
	for _, vm := range r.simulation.VMs() {
		for _, pool := range r.simulation.Daemon(vm).Node.Stats(r.simulation.Now()).Pools {
			for _, upstream := range pool.Upstreams {
				limits[upstream.Upstream] = max(limits[upstream.Upstream], upstream.Limit)
			}
		}
	}
	return limits
}

// evacuatedFor returns how long an upstream's data centre has been out of service;
// 0 if it is in service.
func (r *run) evacuatedFor(now time.Time, id version.UpstreamID) time.Duration {
	upstream, found := r.config.Upstreams[id]
	if !found {
		return 0
	}
	since, evacuated := r.outSince[upstream.DataCentre]
	if !evacuated {
		return 0
	}
	return now.Sub(since)
}

// traffic returns the bytes that each daemon has sent and received so far.
func (r *run) traffic() map[version.VMID]pump.Traffic {
	all := make(map[version.VMID]pump.Traffic)
	for _, vm := range r.simulation.VMs() {
		all[vm] = r.simulation.Daemon(vm).Traffic
	}
	return all
}

// result returns the measurements of the run.
func (r *run) result() Result {
	result := Result{
		Scenario:        r.scenario.Name,
		Deployment:      r.scenario.Deployment.Name,
		Policy:          r.scenario.Policy,
		Spread:          r.scenario.Spread,
		Seed:            r.scenario.Seed,
		Daemons:         len(r.scenario.Deployment.VMs),
		Gap:             r.recorder.gap,
		Bound:           Bound(r.scenario.Deployment),
		TotalGap:        r.recorder.totalGap,
		Completed:       r.recorder.counts.completed,
		Refused:         r.recorder.counts.refused,
		Broken:          r.recorder.counts.broken,
		NewWorkWhileOut: r.recorder.counts.newWorkWhileOut,
		ShortWait95:     float64(r.recorder.shortWaits.ValueAtQuantile(95)) / 1000,
		LongestWait:     r.longestWait.Seconds(),
		ReturnSeconds:   r.recovery.seconds(),
		Series:          r.recorder.samples,
	}
	result.Utilisation, result.WarmUse = r.recorder.utilisation()
	for id := range r.config.Upstreams {
		result.BeforeSign += r.simulation.FakeUpstream(id).OverColdUndetectable
		result.OverCold += r.simulation.FakeUpstream(id).OverCold
	}
	for _, spec := range r.scenario.Deployment.Document.Accounts {
		result.Accounts = append(result.Accounts, spec.Name)
	}
	r.sumTraffic(&result)
	return result
}

// sumTraffic fills in the traffic since measureStart.
func (r *run) sumTraffic(result *Result) {
	seconds := r.scenario.Length.Seconds()
	var standing, requests []float64
	requestBytesSent := uint64(0)
	traffic := r.traffic()
	for _, vm := range r.simulation.VMs() {
		before, after := r.trafficAtStart[vm], traffic[vm]
		standing = append(standing, float64(after.StandingSent+after.StandingReceived-before.StandingSent-before.StandingReceived)/seconds)
		requests = append(requests, float64(after.RequestSent+after.RequestReceived-before.RequestSent-before.RequestReceived)/seconds)
		result.CrossRegionBytes += float64(after.CrossRegionSent-before.CrossRegionSent) / seconds
		requestBytesSent += after.RequestSent - before.RequestSent
	}
	if len(standing) == 0 {
		return
	}
	result.Traffic = Traffic{
		StandingMean: mean(standing), StandingMax: slices.Max(standing),
		RequestMean: mean(requests), RequestMax: slices.Max(requests),
	}
	if r.recorder.counts.completed > 0 {
		result.BytesPerRequest = float64(requestBytesSent) / float64(r.recorder.counts.completed)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
