package measure

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// act carries out one action of the scenario.
func (r *run) act(action Action) {
	switch action.Kind {
	case ActionOut:
		r.head.Out.DataCentres = append(r.head.Out.DataCentres, action.Name)
		r.outSince[version.DataCentreID(action.Name)] = r.pump.Now()
		r.back.left(r, version.DataCentreID(action.Name))
		r.moveCallers(action.Name, true)
		r.configure()
	case ActionBack:
		r.head.Out.DataCentres = slices.DeleteFunc(r.head.Out.DataCentres, func(name string) bool { return name == action.Name })
		delete(r.outSince, version.DataCentreID(action.Name))
		r.back.returned(r)
		r.moveCallers(action.Name, false)
		r.configure()
	case ActionPreset:
		r.head.Preset = action.Name
		r.configure()
	case ActionCut:
		inside, outside := r.sides(action.Name)
		r.pump.Cut(inside, outside)
	case ActionHeal:
		inside, outside := r.sides(action.Name)
		r.pump.Heal(inside, outside)
	case ActionRestart:
		r.pump.Restart(version.VMID(action.Name))
	case ActionFlood:
		r.flood(action.Name)
	case ActionCool:
		r.cool(action.Name)
	}
}

// configure puts the head in force as a new version.
func (r *run) configure() {
	r.head.Number++
	if err := r.compile(); err != nil {
		panic(err) // The document compiled before.
	}
	r.pump.Configure(r.config)
}

// moveCallers sends callers elsewhere while the balancer takes a data centre's
// VMs out.
func (r *run) moveCallers(dataCentre string, out bool) {
	for _, place := range r.scenario.Deployment.VMs {
		if string(place.DataCentre) == dataCentre {
			r.callers.out[place.VM] = out
		}
	}
}

// sides returns the VMs in a data centre and those in the others.
func (r *run) sides(dataCentre string) (inside, outside []version.VMID) {
	for _, place := range r.scenario.Deployment.VMs {
		if string(place.DataCentre) == dataCentre {
			inside = append(inside, place.VM)
		} else {
			outside = append(outside, place.VM)
		}
	}
	return inside, outside
}

func (r *run) flood(account string) {
	for i := range r.scenario.Deployment.Loads {
		load := &r.scenario.Deployment.Loads[i]
		if load.Account == account {
			r.callers.start(i, load, r.scenario.Spread, (floodFactor-1)*load.Callers)
		}
	}
}

func (r *run) cool(dataCentre string) {
	for id, upstream := range r.config.Upstreams {
		if string(upstream.DataCentre) == dataCentre {
			r.pump.CoolSilently(id)
		}
	}
}

// backState follows a data centre that leaves and returns.
type backState struct {
	dataCentre version.DataCentreID
	former     int
	at         time.Time
	took       time.Duration
	done       bool
}

func (b *backState) left(r *run, dataCentre version.DataCentreID) {
	*b = backState{dataCentre: dataCentre}
	b.former = r.runningIn(dataCentre)
}

func (b *backState) returned(r *run) { b.at = r.pump.Now() }

// sample notes when half of the former work runs there again.
func (b *backState) sample(r *run) {
	if b.at.IsZero() || b.done || 2*r.runningIn(b.dataCentre) < b.former {
		return
	}
	b.done = true
	b.took = r.pump.Now().Sub(b.at)
}

func (b *backState) seconds() float64 {
	if !b.done {
		return -1
	}
	return b.took.Seconds()
}

func (r *run) runningIn(dataCentre version.DataCentreID) int {
	total := 0
	for id, upstream := range r.config.Upstreams {
		if upstream.DataCentre == dataCentre {
			total += r.pump.Stand(id).Running
		}
	}
	return total
}
