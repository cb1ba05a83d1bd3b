package pump_test

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// recorder counts the events of requests.
type recorder struct {
	granted, ended, refused, lost int
	charged                       request.Cost
	// lastEnd is when the last request ended.
	lastEnd time.Time
}

func (r *recorder) Granted(time.Time, pump.Job, version.UpstreamID) { r.granted++ }

func (r *recorder) Charged(_ time.Time, _ pump.Job, cost request.Cost) { r.charged += cost }

func (r *recorder) Ended(now time.Time, _ pump.Job) { r.ended, r.lastEnd = r.ended+1, now }

func (r *recorder) Refused(time.Time, pump.Job, request.Refusal) { r.refused++ }

func (r *recorder) Lost(time.Time, pump.Job, bool) { r.lost++ }

func compile(t *testing.T) *version.Config {
	t.Helper()
	config, err := version.Compile(&version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "a", Region: "east"}, {Name: "b", Region: "west"}},
		Accounts:    []version.AccountSpec{{Name: "x"}},
		Pools:       []version.PoolSpec{{Name: "p", Kind: version.PoolModel, Models: []string{"m"}}},
		Upstreams: []version.UpstreamSpec{
			{Name: "u1", Pool: "p", DataCentre: "a", Address: "x:1"},
			{Name: "u2", Pool: "p", DataCentre: "b", Address: "x:2"},
		},
		Presets: []version.PresetSpec{{Name: "day"}},
	}, version.Head{Number: 1, Preset: "day"})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// run simulates 30 requests on three daemons and returns the events and the traffic.
func run(t *testing.T, seed uint64) (recorder, pump.Traffic) {
	t.Helper()
	var events recorder
	sim := pump.New(pump.Options{Seed: seed, Config: compile(t), Observer: &events})
	for _, vm := range []version.VMID{"a1", "a2"} {
		sim.Add(vm, "a")
	}
	sim.Add("b1", "b")
	var traffic pump.Traffic
	for i := range 30 {
		sim.Submit(sim.VMs()[i%3], request.Ticket{
			Account: version.NewAccountID("x"),
			Pool:    version.NewPoolID("p"),
			Wait:    time.Minute,
		}, request.Cost(10+i))
	}
	sim.Run(time.Minute)
	for _, vm := range sim.VMs() {
		sent := sim.Daemon(vm).Traffic
		traffic.RequestSent += sent.RequestSent
		traffic.RequestReceived += sent.RequestReceived
		traffic.Messages += sent.Messages
	}
	return events, traffic
}

func TestEveryRequestEndsOnceAndRunsAreDeterministic(t *testing.T) {
	first, firstTraffic := run(t, 7)
	if first.granted != 30 || first.ended != 30 || first.refused != 0 {
		t.Fatalf("%d of 30 requests granted, %d ended, %d refused; want 30, 30, 0", first.granted, first.ended, first.refused)
	}
	if first.charged != 30*10+29*30/2 {
		t.Fatalf("charged %v in total, want the sum of the costs", first.charged)
	}
	if firstTraffic.RequestSent == 0 || firstTraffic.RequestSent != firstTraffic.RequestReceived {
		t.Fatalf("traffic %+v, want as many request bytes received as sent and more than 0", firstTraffic)
	}
	second, secondTraffic := run(t, 7)
	if first != second || firstTraffic != secondTraffic {
		t.Fatalf("two runs with one seed differ: %+v and %+v, traffic %+v and %+v", first, second, firstTraffic, secondTraffic)
	}
}

// TestRequestsOfARestartedDaemonEndOnce restarts a daemon while its requests wait and run.
// The upstreams continue to execute the running ones.
func TestRequestsOfARestartedDaemonEndOnce(t *testing.T) {
	var events recorder
	sim := pump.New(pump.Options{Seed: 1, Config: compile(t), Observer: &events})
	sim.Add("a1", "a")
	sim.Add("b1", "b")
	for range 20 {
		sim.Submit("a1", request.Ticket{
			Account: version.NewAccountID("x"),
			Pool:    version.NewPoolID("p"),
			Wait:    time.Minute,
		}, 100)
	}
	sim.Run(5 * time.Second)
	sim.Restart("a1")
	sim.Run(time.Minute)
	if events.lost == 0 || events.lost+events.ended+events.refused != 20 {
		t.Fatalf("%d of 20 requests lost, %d ended, %d refused; want some lost and a sum of 20", events.lost, events.ended, events.refused)
	}
	if running := sim.FakeUpstream(version.NewUpstreamID("u1")).Running; running != 0 {
		t.Fatalf("%d requests still run at the end, want 0", running)
	}
}
