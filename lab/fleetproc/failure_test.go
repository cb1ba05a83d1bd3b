package fleetproc

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
)

// southEngine is the index of the engine in the data centre "south".
const southEngine = 1

// newFleetWithTwoDataCentres returns a fleet with a model engine in each of two data
// centres, "north" and "south", and the engines in this order.
func newFleetWithTwoDataCentres(t *testing.T) (*Fleet, []*engine.Engine) {
	document := documentWithUpstream("", 4)
	document.DataCentres = append(document.DataCentres, version.DataCentreSpec{Name: "south", Region: "two"})
	document.Upstreams = nil
	var engines []*engine.Engine
	for _, dataCentre := range []string{"north", "south"} {
		e := engine.New(engine.Options{ColdLimit: 4})
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: dataCentre + "-1", Pool: "polish", DataCentre: dataCentre, Address: server.Listener.Addr().String(),
			Team: "advice", ColdLimit: 4, WarmLimit: 8,
		})
		engines = append(engines, e)
	}
	return New(t, document), engines
}

// load is a number of callers that send requests until stop is called.
type load struct {
	answerCounts
	stopped atomic.Bool
	callers sync.WaitGroup
}

// startLoad starts callers that call pick for the daemon of each request.
func startLoad(t *testing.T, callers int, pick func() *Process) *load {
	l := &load{}
	for range callers {
		l.callers.Go(func() {
			for !l.stopped.Load() {
				l.send(t, pick())
			}
		})
	}
	return l
}

// awaitComplete waits for n further complete answers.
func (l *load) awaitComplete(n int64) {
	before := l.complete.Load()
	for l.complete.Load() < before+n {
		time.Sleep(pollInterval)
	}
}

// stop lets the last requests complete and checks that no answer was broken and no
// outcome unknown.
func (l *load) stop(t *testing.T) {
	t.Helper()
	l.stopped.Store(true)
	l.callers.Wait()
	t.Logf("%d complete answers, %d refused as not executed", l.complete.Load(), l.refused.Load())
	if l.broken.Load() != 0 || l.unknown.Load() != 0 || l.complete.Load() == 0 {
		t.Errorf("%d broken, %d unknown and %d complete answers, want none broken or unknown",
			l.broken.Load(), l.unknown.Load(), l.complete.Load())
	}
}

// always returns a pick function for startLoad that returns one daemon.
func always(p *Process) func() *Process { return func() *Process { return p } }

// A data centre is taken out of service and put back under load. While it is out, its
// engine must get no requests; no answer may break and no engine be overloaded.
func TestDataCentreIsEvacuatedAndReturnsUnderLoad(t *testing.T) {
	const callers, answers = 8, 30
	fleet, engines := newFleetWithTwoDataCentres(t)
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	daemons.add(fleet.Start(t, "vm-1", "north", nil))
	daemons.add(fleet.Start(t, "vm-2", "north", nil))
	south := fleet.Start(t, "vm-3", "south", nil)
	daemons.add(south)
	l := startLoad(t, callers, daemons.pick)
	l.awaitComplete(answers)

	fleet.ChangeConfiguration(t, func(s *change.State) error {
		s.Head.Out.DataCentres = []string{"south"}
		return nil
	})
	south.AwaitReady(t, false)
	daemons.remove(south)
	for engines[southEngine].Running() > 0 {
		time.Sleep(pollInterval)
	}
	served := engines[southEngine].Served()
	l.awaitComplete(answers)
	if got := engines[southEngine].Served(); got != served {
		t.Errorf("the engine of the evacuated data centre got %d requests, want none", got-served)
	}

	fleet.ChangeConfiguration(t, func(s *change.State) error {
		s.Head.Out.DataCentres = nil
		return nil
	})
	south.AwaitReady(t, true)
	daemons.add(south)
	for engines[southEngine].Served() == served {
		time.Sleep(pollInterval)
	}
	l.stop(t)
	for i, e := range engines {
		if e.Overloads() != 0 {
			t.Errorf("engine %d was overloaded %d times", i, e.Overloads())
		}
	}
}

// An outage of the platform's store must not affect requests.
func TestRequestsAreServedDuringPlatformOutage(t *testing.T) {
	const callers, answers = 4, 30
	fleet, _ := newFleetWithTwoDataCentres(t)
	north := fleet.Start(t, "vm-1", "north", nil)
	south := fleet.Start(t, "vm-2", "south", nil)
	fleet.Platform.SetFaults(metastore.Down)
	for _, p := range []*Process{north, south} {
		l := startLoad(t, callers, always(p))
		l.awaitComplete(answers)
		l.stop(t)
	}
}

// A call with an idempotency key needs the ledger. During an outage of the platform's
// store it must be refused and not executed; retries after the outage must execute it
// once.
func TestNonRepeatableCallIsExecutedOnceAfterPlatformOutage(t *testing.T) {
	fleet, s := newBookingFleet(t, 0)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	id := newIdempotencyKey(t)
	fleet.Platform.SetFaults(metastore.Down)
	refused := sendBooking(t, daemon, id)
	execution := request.Execution(refused.header.Get(serve.HeaderExecution))
	if refused.status != http.StatusServiceUnavailable || execution != request.ExecutionUnknown || s.Runs(id) != 0 {
		t.Errorf("during the outage: %+v after %d executions, want a refusal with unknown execution and none executed", refused, s.Runs(id))
	}
	fleet.Platform.SetFaults(metastore.Faults{})
	for answer := sendBooking(t, daemon, id); answer.status != http.StatusOK; answer = sendBooking(t, daemon, id) {
		if answer.err != nil || answer.status != http.StatusServiceUnavailable {
			t.Fatalf("after the outage: %+v, want status 200 or 503", answer)
		}
		time.Sleep(pollInterval)
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("call was executed %d times, want 1", runs)
	}
}

// A partition between data centres must break no answer in either of them, neither
// when it begins nor when it ends.
func TestPartitionBetweenDataCentresBreaksNoAnswer(t *testing.T) {
	const callers, answers = 6, 30
	fleet, _ := newFleetWithTwoDataCentres(t)
	var links []*proxy.Proxy
	fleet.PeerAddress = func(p *Process) string {
		link, err := proxy.New(p.PeersAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		links = append(links, link)
		return link.Address()
	}
	north := fleet.Start(t, "vm-1", "north", nil)
	south := fleet.Start(t, "vm-2", "south", nil)
	loads := []*load{startLoad(t, callers, always(north)), startLoad(t, callers, always(south))}
	for _, mode := range []proxy.Mode{proxy.Pass, proxy.Disconnect, proxy.Pass} {
		for _, link := range links {
			link.Set(mode, 0)
		}
		for _, l := range loads {
			l.awaitComplete(answers)
		}
	}
	for _, l := range loads {
		l.stop(t)
	}
}

// A paused daemon (SIGSTOP), perhaps the dispatcher of the pool, must not block the
// requests of another daemon, and must serve again once it is resumed.
func TestPausedDaemonDoesNotBlockOthers(t *testing.T) {
	const callers, answers = 6, 30
	for _, paused := range []version.VMID{"vm-1", "vm-2"} {
		fleet, _ := newFleetWithTwoEngines(t)
		daemons := map[version.VMID]*Process{}
		for _, vm := range []version.VMID{"vm-1", "vm-2"} {
			daemons[vm] = fleet.Start(t, vm, "north", nil)
		}
		running := daemons["vm-1"]
		if paused == "vm-1" {
			running = daemons["vm-2"]
		}
		l := startLoad(t, callers, always(running))
		l.awaitComplete(answers)
		daemons[paused].Signal(t, syscall.SIGSTOP)
		l.awaitComplete(answers)
		daemons[paused].Signal(t, syscall.SIGCONT)
		resumed := startLoad(t, callers, always(daemons[paused]))
		resumed.awaitComplete(answers)
		resumed.stop(t)
		l.stop(t)
	}
}
