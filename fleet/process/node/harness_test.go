package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	coldLimit = 1
	warmLimit = 4
	// quickCost is the cost of a request that takes a few hundred milliseconds.
	quickCost = request.Cost(20)
)

var (
	poolID = version.NewPoolID("polish")
	caller = version.NewAccountID("counters")
)

// site describes a data centre of a test fleet.
type site struct {
	name      version.DataCentreID
	region    string
	vms       int
	upstreams int
}

// fleet is a simulated fleet that records the outcome of each request.
type fleet struct {
	*pump.Simulation
	t       *testing.T
	options pump.Options
	document
	granted, ended, refused map[jobID]int
	refusals                []request.Refusal
	// grantsPerUpstream counts the grants per upstream, and lastGrant is when
	// the last one was given.
	grantsPerUpstream map[version.UpstreamID]int
	lastGrant         map[version.UpstreamID]time.Time
	submitted         int
}

type jobID struct {
	vm version.VMID
	id request.ID
}

// document describes the configuration of a test fleet; each compilation is a
// new version.
type document struct {
	sites  []site
	number version.Number
	out    version.OutOfServiceNames
	// accounts is the number of accounts; 0 counts as 1.
	accounts int
}

// compile returns the next configuration version.
func (d *document) compile(t *testing.T) *version.Config {
	t.Helper()
	spec := &version.Document{
		Pools:   []version.PoolSpec{{Name: "polish", Kind: version.PoolModel, Models: []string{"m"}}},
		Presets: []version.PresetSpec{{Name: "day"}},
	}
	for i := range max(d.accounts, 1) {
		spec.Accounts = append(spec.Accounts, version.AccountSpec{Name: accountName(i), MaxWaiting: 100_000})
	}
	for _, s := range d.sites {
		spec.DataCentres = append(spec.DataCentres, version.DataCentreSpec{Name: string(s.name), Region: s.region})
		for i := range s.upstreams {
			spec.Upstreams = append(spec.Upstreams, version.UpstreamSpec{
				Name: fmt.Sprintf("%s-up-%d", s.name, i), Pool: "polish", DataCentre: string(s.name),
				Address: fmt.Sprintf("%s:%d", s.name, i), ColdLimit: coldLimit, WarmLimit: warmLimit,
			})
		}
	}
	d.number++
	config, err := version.Compile(spec, version.Head{Number: d.number, Preset: "day", Out: d.out})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// newFleet starts the daemons of the given data centres.
func newFleet(t *testing.T, options pump.Options, sites ...site) *fleet {
	t.Helper()
	f := &fleet{
		t: t, document: document{sites: sites},
		granted: make(map[jobID]int), ended: make(map[jobID]int), refused: make(map[jobID]int),
		grantsPerUpstream: make(map[version.UpstreamID]int), lastGrant: make(map[version.UpstreamID]time.Time),
	}
	options.Observer = f
	options.Config = f.compile(t)
	f.options = options
	f.Simulation = pump.New(options)
	for _, s := range sites {
		for i := range s.vms {
			f.Add(version.VMID(fmt.Sprintf("%s-vm-%d", s.name, i)), s.name)
		}
	}
	return f
}

func (f *fleet) Granted(now time.Time, job pump.Job, upstream version.UpstreamID) {
	f.granted[jobID{job.VM, job.Ticket.ID}]++
	f.grantsPerUpstream[upstream]++
	f.lastGrant[upstream] = now
}

func (f *fleet) Charged(time.Time, pump.Job, request.Cost) {}

func (f *fleet) Ended(_ time.Time, job pump.Job) { f.ended[jobID{job.VM, job.Ticket.ID}]++ }

func (f *fleet) Refused(_ time.Time, job pump.Job, refusal request.Refusal) {
	f.refused[jobID{job.VM, job.Ticket.ID}]++
	f.refusals = append(f.refusals, refusal)
}

// Lost ignores the requests of a restarted daemon, which end with the daemon.
func (f *fleet) Lost(time.Time, pump.Job, bool) {}

// load submits a request at each VM every interval for the given duration.
func (f *fleet) load(vms []version.VMID, interval, duration time.Duration, cost request.Cost) {
	for at := time.Duration(0); at < duration; at += interval {
		f.After(at, func() {
			for _, vm := range vms {
				f.submitted++
				f.Submit(vm, request.Ticket{Account: caller, Pool: poolID, Estimate: cost, Wait: time.Minute}, cost)
			}
		})
	}
}

// reconfigure applies a new configuration with the given names out of service
// to all daemons.
func (f *fleet) reconfigure(out version.OutOfServiceNames) {
	f.out = out
	f.Configure(f.compile(f.t))
}

func (f *fleet) upstreamID(name string) version.UpstreamID { return version.NewUpstreamID(name) }

// upstreamsOf returns the upstreams of a data centre.
func (f *fleet) upstreamsOf(dataCentre version.DataCentreID) []version.UpstreamID {
	var ids []version.UpstreamID
	for _, s := range f.sites {
		for i := range s.upstreams {
			if s.name == dataCentre {
				ids = append(ids, f.upstreamID(fmt.Sprintf("%s-up-%d", s.name, i)))
			}
		}
	}
	return ids
}

// checkLimits fails the test if an upstream ever ran more requests than its
// warm or cold limit.
func (f *fleet) checkLimits() {
	f.t.Helper()
	for _, s := range f.sites {
		for _, id := range f.upstreamsOf(s.name) {
			if got := f.FakeUpstream(id).MaxRunning; got > warmLimit {
				f.t.Errorf("upstream %d of %s ran %d requests at once, limit %d", id, s.name, got, warmLimit)
			}
		}
	}
	f.checkColdLimits()
}

// checkColdLimits fails the test if an upstream ever ran more requests than its
// cold limit while it was cold.
func (f *fleet) checkColdLimits() {
	f.t.Helper()
	for _, s := range f.sites {
		for _, id := range f.upstreamsOf(s.name) {
			if got := f.FakeUpstream(id).OverCold; got > 0 {
				f.t.Errorf("upstream %d of %s: %d requests above the cold limit while cold", id, s.name, got)
			}
		}
	}
}

// checkOutcomes fails the test unless each request was granted at most once and
// either ended or was refused. Up to lost requests may have no outcome because
// their daemon was restarted.
func (f *fleet) checkOutcomes(lost int) {
	f.t.Helper()
	for id, n := range f.granted {
		if n > 1 {
			f.t.Errorf("request %v granted %d times", id, n)
		}
	}
	for id := range f.ended {
		if f.refused[id] > 0 {
			f.t.Errorf("request %v both ended and was refused", id)
		}
	}
	if got := len(f.ended) + len(f.refused); got < f.submitted-lost {
		f.t.Errorf("%d of %d requests ended or were refused", got, f.submitted)
	}
}

// checkIdle fails the test if any request or slot is still held after all work
// has ended.
func (f *fleet) checkIdle() {
	f.t.Helper()
	for _, vm := range f.VMs() {
		stats := f.Daemon(vm).Node.Stats(f.Now())
		if stats.Entry.Waiting+stats.Entry.Running > 0 {
			f.t.Errorf("%s still holds requests: %+v", vm, stats.Entry)
		}
		for _, pool := range stats.Pools {
			if pool.Waiting+pool.Offered > 0 {
				f.t.Errorf("%s: %d tickets waiting and %d offered, want none", vm, pool.Waiting, pool.Offered)
			}
			for _, upstream := range pool.Upstreams {
				if upstream.Used > 0 {
					f.t.Errorf("%s: upstream %d still has %d slots used", vm, upstream.Upstream, upstream.Used)
				}
			}
		}
	}
}

// owner returns the VM that dispatches the pool in a data centre.
func (f *fleet) owner(dataCentre version.DataCentreID) version.VMID {
	f.t.Helper()
	for _, vm := range f.VMs() {
		d := f.Daemon(vm)
		if d.DataCentre == dataCentre && len(d.Node.Stats(f.Now()).Pools) > 0 {
			return vm
		}
	}
	f.t.Fatalf("no VM dispatches the pool in %s", dataCentre)
	return ""
}

// vmsExcept returns the VMs of a data centre without the excluded ones.
func (f *fleet) vmsExcept(dataCentre version.DataCentreID, excluded ...version.VMID) []version.VMID {
	var vms []version.VMID
next:
	for _, vm := range f.VMs() {
		for _, b := range excluded {
			if vm == b {
				continue next
			}
		}
		if f.Daemon(vm).DataCentre == dataCentre {
			vms = append(vms, vm)
		}
	}
	return vms
}

// stats returns the statistics of a VM's node.
func (f *fleet) stats(vm version.VMID) node.Stats { return f.Daemon(vm).Node.Stats(f.Now()) }

// helloOf returns the hello message of a daemon.
func helloOf(vm version.VMID, dataCentre version.DataCentreID, incarnation uint64) wire.Hello {
	return wire.Hello{VM: vm, DataCentre: dataCentre, Incarnation: incarnation}
}
