package measure

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	coldLimit = 1
	warmLimit = 8
	// largeWeight is the weight of large accounts; the others have 1.
	largeWeight = 2
	// smallCallers and largeCallers keep an account backlogged.
	smallCallers = 12
	largeCallers = 48
	// peakPreset halves the large accounts' weight.
	peakPreset = "peak"
	dayPreset  = "day"
)

// site is a data centre of a deployment.
type site struct {
	dataCentre string
	region     string
	vms        int
	models     int
	desks      int
}

// Queensland returns the deployment of the polishing desk: nine model servers,
// three desk servers, six VMs, sixteen accounts.
func Queensland() Deployment {
	return build("queensland", "polishing-advice", "crew-desk", []site{
		{dataCentre: "brisbane", region: "south", vms: 2, models: 3, desks: 1},
		{dataCentre: "rockhampton", region: "north", vms: 2, models: 3, desks: 1},
		{dataCentre: "townsville", region: "north", vms: 2, models: 3, desks: 1},
	})
}

// Sialkot returns the deployment of the glue workshops: twelve model servers,
// three desk servers, seven VMs, sixteen accounts.
func Sialkot() Deployment {
	return build("sialkot", "glue-craft", "orders-and-prices", []site{
		{dataCentre: "punjab-north", region: "punjab", vms: 3, models: 5, desks: 1},
		{dataCentre: "punjab-central", region: "punjab", vms: 2, models: 4, desks: 1},
		{dataCentre: "sindh-south", region: "sindh", vms: 2, models: 3, desks: 1},
	})
}

func build(name, model, desk string, sites []site) Deployment {
	d := Deployment{Name: name}
	d.Document.Pools = []version.PoolSpec{
		{Name: model, Kind: version.PoolModel, Models: []string{model}},
		{Name: desk, Kind: version.PoolService, PathPrefix: "/" + desk + "/"},
	}
	for _, s := range sites {
		d.addSite(s, model, desk)
	}
	weights := make(map[string]float64)
	for i := range 16 {
		d.addAccount(i, model)
		if i < 3 {
			weights[accountName(i)] = 1
		}
	}
	// Two accounts also ask the desk now and then.
	for i := range 2 {
		d.Loads = append(d.Loads, Load{Account: accountName(i + 8), Callers: 2, Pool: desk, Pause: deskPause})
	}
	d.Document.Presets = []version.PresetSpec{{Name: dayPreset}, {Name: peakPreset, Weights: weights}}
	return d
}

func (d *Deployment) addSite(s site, model, desk string) {
	d.Document.DataCentres = append(d.Document.DataCentres, version.DataCentreSpec{Name: s.dataCentre, Region: s.region})
	for i := range s.vms {
		vm := version.VMID(fmt.Sprintf("%s-%d", s.dataCentre, i+1))
		d.VMs = append(d.VMs, Place{VM: vm, DataCentre: version.DataCentreID(s.dataCentre)})
	}
	for i := range s.models {
		d.addUpstream(fmt.Sprintf("%s-model-%d", s.dataCentre, i+1), model, s.dataCentre)
	}
	for i := range s.desks {
		d.addUpstream(fmt.Sprintf("%s-desk-%d", s.dataCentre, i+1), desk, s.dataCentre)
	}
}

func (d *Deployment) addUpstream(name, pool, dataCentre string) {
	d.Document.Upstreams = append(d.Document.Upstreams, version.UpstreamSpec{
		Name: name, Pool: pool, DataCentre: dataCentre, Address: "127.0.0.1:1",
		ColdLimit: coldLimit, WarmLimit: warmLimit,
	})
}

// addAccount adds an account; the first three are large.
func (d *Deployment) addAccount(i int, model string) {
	spec := version.AccountSpec{Name: accountName(i), Weight: 1}
	load := Load{Account: spec.Name, Callers: smallCallers, LongShare: 0.1, Pool: model}
	if i < 3 {
		spec.Weight = largeWeight
		load.Callers, load.LongShare = largeCallers, 0.5
	}
	d.Document.Accounts = append(d.Document.Accounts, spec)
	d.Loads = append(d.Loads, load)
}

func accountName(i int) string { return fmt.Sprintf("account-%03d", i) }

// Grown returns a deployment of the coming shape with a number of daemons:
// twelve pools in up to twelve data centres of three regions, thirty-two
// upstreams and three accounts a daemon, a tenth of them backlogged.
func Grown(daemons int) Deployment {
	d := Deployment{Name: fmt.Sprintf("grown-%d", daemons)}
	dataCentres := min(max(daemons/4, 3), 12)
	pools := min(max(daemons/2, 2), 12)
	for i := range dataCentres {
		d.Document.DataCentres = append(d.Document.DataCentres, version.DataCentreSpec{
			Name: fmt.Sprintf("dc-%02d", i), Region: fmt.Sprintf("region-%d", i%3),
		})
	}
	for i := range pools {
		name := fmt.Sprintf("model-%02d", i)
		d.Document.Pools = append(d.Document.Pools, version.PoolSpec{
			Name: name, Kind: version.PoolModel, Models: []string{name},
		})
	}
	for i := range daemons {
		dataCentre := d.Document.DataCentres[i%dataCentres].Name
		vm := version.VMID(fmt.Sprintf("vm-%03d", i))
		d.VMs = append(d.VMs, Place{VM: vm, DataCentre: version.DataCentreID(dataCentre)})
	}
	d.grow(daemons, dataCentres, pools)
	d.Document.Presets = []version.PresetSpec{{Name: dayPreset}}
	return d
}
