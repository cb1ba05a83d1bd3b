package measure

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// coldLimit and warmLimit are the slots of a cold and of a warm upstream.
	coldLimit = 1
	warmLimit = 8
	// largeWeight is the weight of large accounts; small accounts have 1.
	largeWeight = 2
	// smallCallers and largeCallers are enough to keep a small and a large
	// account backlogged.
	smallCallers = 12
	largeCallers = 48
	// peakPreset halves the weight of the large accounts; dayPreset leaves it.
	peakPreset = "peak"
	dayPreset  = "day"
)

// dataCentreSize describes a data centre of a deployment: its name, its region
// and the number of its VMs and upstreams.
type dataCentreSize struct {
	dataCentre     string
	region         string
	vms            int
	modelServers   int
	serviceServers int
}

// Queensland returns a deployment with six VMs in three data centres, nine
// upstreams of a model pool, three upstreams of a service pool, and sixteen
// accounts.
func Queensland() Deployment {
	return build("queensland", "polishing-advice", "crew-desk", []dataCentreSize{
		{dataCentre: "brisbane", region: "south", vms: 2, modelServers: 3, serviceServers: 1},
		{dataCentre: "rockhampton", region: "north", vms: 2, modelServers: 3, serviceServers: 1},
		{dataCentre: "townsville", region: "north", vms: 2, modelServers: 3, serviceServers: 1},
	})
}

// Sialkot returns a deployment with seven VMs in three data centres, twelve
// upstreams of a model pool, three upstreams of a service pool, and sixteen
// accounts.
func Sialkot() Deployment {
	return build("sialkot", "glue-craft", "orders-and-prices", []dataCentreSize{
		{dataCentre: "punjab-north", region: "punjab", vms: 3, modelServers: 5, serviceServers: 1},
		{dataCentre: "punjab-central", region: "punjab", vms: 2, modelServers: 4, serviceServers: 1},
		{dataCentre: "sindh-south", region: "sindh", vms: 2, modelServers: 3, serviceServers: 1},
	})
}

// build returns a deployment with a model pool, a service pool and sixteen
// accounts, of which the first three are large.
func build(name, modelPool, servicePool string, dataCentres []dataCentreSize) Deployment {
	d := Deployment{Name: name}
	d.Document.Pools = []version.PoolSpec{
		{Name: modelPool, Kind: version.PoolModel, Models: []string{modelPool}},
		{Name: servicePool, Kind: version.PoolService, PathPrefix: "/" + servicePool + "/"},
	}
	for _, s := range dataCentres {
		d.addDataCentre(s, modelPool, servicePool)
	}
	weights := make(map[string]float64)
	for i := range 16 {
		d.addAccount(i, modelPool)
		if i < 3 {
			weights[accountName(i)] = 1
		}
	}
	// Two of the accounts also send a few requests to the service pool.
	for i := range 2 {
		d.Loads = append(d.Loads, Load{Account: accountName(i + 8), Callers: 2, Pool: servicePool, ThinkTime: serviceThinkTime})
	}
	d.Document.Presets = []version.PresetSpec{{Name: dayPreset}, {Name: peakPreset, Weights: weights}}
	return d
}

// addDataCentre adds a data centre with its VMs and upstreams.
func (d *Deployment) addDataCentre(s dataCentreSize, modelPool, servicePool string) {
	d.Document.DataCentres = append(d.Document.DataCentres, version.DataCentreSpec{Name: s.dataCentre, Region: s.region})
	for i := range s.vms {
		vm := version.VMID(fmt.Sprintf("%s-%d", s.dataCentre, i+1))
		d.VMs = append(d.VMs, VMLocation{VM: vm, DataCentre: version.DataCentreID(s.dataCentre)})
	}
	for i := range s.modelServers {
		d.addUpstream(fmt.Sprintf("%s-model-%d", s.dataCentre, i+1), modelPool, s.dataCentre)
	}
	for i := range s.serviceServers {
		d.addUpstream(fmt.Sprintf("%s-desk-%d", s.dataCentre, i+1), servicePool, s.dataCentre)
	}
}

// addUpstream adds an upstream. Its address is never used, because the upstreams
// are simulated.
func (d *Deployment) addUpstream(name, pool, dataCentre string) {
	d.Document.Upstreams = append(d.Document.Upstreams, version.UpstreamSpec{
		Name: name, Pool: pool, DataCentre: dataCentre, Address: "127.0.0.1:1",
		ColdLimit: coldLimit, WarmLimit: warmLimit,
	})
}

// addAccount adds an account; the first three are large.
func (d *Deployment) addAccount(i int, modelPool string) {
	spec := version.AccountSpec{Name: accountName(i), Weight: 1}
	load := Load{Account: spec.Name, Callers: smallCallers, LongFraction: 0.1, Pool: modelPool}
	if i < 3 {
		spec.Weight = largeWeight
		load.Callers, load.LongFraction = largeCallers, 0.5
	}
	d.Document.Accounts = append(d.Document.Accounts, spec)
	d.Loads = append(d.Loads, load)
}

// accountName returns the name of the i-th account.
func accountName(i int) string { return fmt.Sprintf("account-%03d", i) }

// GrownDeployment returns a deployment in the proportions of the projected fleet:
// up to twelve pools, up to twelve data centres in three regions, and for each
// daemon thirty-two upstreams and three accounts, a tenth of which are backlogged.
func GrownDeployment(daemons int) Deployment {
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
		d.VMs = append(d.VMs, VMLocation{VM: vm, DataCentre: version.DataCentreID(dataCentre)})
	}
	d.addLoad(daemons, dataCentres, pools)
	d.Document.Presets = []version.PresetSpec{{Name: dayPreset}}
	return d
}
