package measure

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// apply carries out one action of the scenario.
func (r *run) apply(action Action) {
	switch action.Kind {
	case ActionEvacuate:
		r.head.Out.DataCentres = append(r.head.Out.DataCentres, action.Name)
		r.outSince[version.DataCentreID(action.Name)] = r.simulation.Now()
		r.recovery.evacuated(r, version.DataCentreID(action.Name))
		r.redirectCallers(action.Name, true)
		r.applyHead()
	case ActionRestore:
		r.head.Out.DataCentres = slices.DeleteFunc(r.head.Out.DataCentres, func(name string) bool { return name == action.Name })
		delete(r.outSince, version.DataCentreID(action.Name))
		r.recovery.restored(r)
		r.redirectCallers(action.Name, false)
		r.applyHead()
	case ActionPreset:
		r.head.Preset = action.Name
		r.applyHead()
	case ActionPartition:
		inside, outside := r.splitVMs(action.Name)
		r.simulation.Cut(inside, outside)
	case ActionHeal:
		inside, outside := r.splitVMs(action.Name)
		r.simulation.Heal(inside, outside)
	case ActionRestart:
		r.simulation.Restart(version.VMID(action.Name))
	case ActionFlood:
		r.flood(action.Name)
	case ActionMakeCold:
		r.makeCold(action.Name)
	}
}

// applyHead applies the head to all daemons as a new configuration version.
func (r *run) applyHead() {
	r.head.Number++
	if err := r.compile(); err != nil {
		panic(err) // Run has compiled the same document.
	}
	r.simulation.Configure(r.config)
}

// redirectCallers sets whether the load balancer takes a data centre's VMs out of
// service; their callers then use other VMs.
func (r *run) redirectCallers(dataCentre string, out bool) {
	for _, location := range r.scenario.Deployment.VMs {
		if string(location.DataCentre) == dataCentre {
			r.workload.outVMs[location.VM] = out
		}
	}
}

// splitVMs returns the VMs in a data centre and the VMs in all others.
func (r *run) splitVMs(dataCentre string) (inside, outside []version.VMID) {
	for _, location := range r.scenario.Deployment.VMs {
		if string(location.DataCentre) == dataCentre {
			inside = append(inside, location.VM)
		} else {
			outside = append(outside, location.VM)
		}
	}
	return inside, outside
}

// flood starts further callers of an account: floodFactor times as many in all.
func (r *run) flood(account string) {
	for i := range r.scenario.Deployment.Loads {
		load := &r.scenario.Deployment.Loads[i]
		if load.Account == account {
			r.workload.start(i, load, r.scenario.Spread, (floodFactor-1)*load.Callers)
		}
	}
}

// makeCold makes the upstreams of a data centre cold without any sign of it.
func (r *run) makeCold(dataCentre string) {
	for id, upstream := range r.config.Upstreams {
		if string(upstream.DataCentre) == dataCentre {
			r.simulation.MakeColdUndetected(id)
		}
	}
}

// recovery measures how long a data centre that was evacuated and restored takes
// to run half of its former requests again.
type recovery struct {
	dataCentre version.DataCentreID
	// runningBefore is the number of running requests before the evacuation.
	runningBefore int
	// restoredAt is zero until the data centre is restored.
	restoredAt time.Time
	// duration is the time since restoredAt; valid when done is set.
	duration time.Duration
	done     bool
}

// evacuated starts the measurement for a data centre before it is evacuated.
func (rec *recovery) evacuated(r *run, dataCentre version.DataCentreID) {
	*rec = recovery{dataCentre: dataCentre}
	rec.runningBefore = r.runningIn(dataCentre)
}

// restored records that the data centre is back in service.
func (rec *recovery) restored(r *run) { rec.restoredAt = r.simulation.Now() }

// sample sets duration once half of the former requests run there again.
func (rec *recovery) sample(r *run) {
	if rec.restoredAt.IsZero() || rec.done || 2*r.runningIn(rec.dataCentre) < rec.runningBefore {
		return
	}
	rec.done = true
	rec.duration = r.simulation.Now().Sub(rec.restoredAt)
}

// seconds returns the duration of the recovery in seconds, or -1 if the data
// centre has not recovered.
func (rec *recovery) seconds() float64 {
	if !rec.done {
		return -1
	}
	return rec.duration.Seconds()
}

// runningIn returns the number of requests running at the upstreams of a data
// centre.
func (r *run) runningIn(dataCentre version.DataCentreID) int {
	total := 0
	for id, upstream := range r.config.Upstreams {
		if upstream.DataCentre == dataCentre {
			total += r.simulation.FakeUpstream(id).Running
		}
	}
	return total
}
