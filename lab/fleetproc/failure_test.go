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

// southEngine is the index of the engine in the south.
const southEngine = 1

// twoDataCentres returns a fleet with a model engine in each of two data
// centres, and the engines, north first.
func twoDataCentres(t *testing.T) (*Fleet, []*engine.Engine) {
	document := oneUpstream("", 4)
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

// load keeps callers busy until its end is called.
type load struct {
	tally
	over    atomic.Bool
	callers sync.WaitGroup
}

// startLoad starts callers that pick a daemon for each request.
func startLoad(t *testing.T, callers int, pick func() *Process) *load {
	l := &load{}
	for range callers {
		l.callers.Go(func() {
			for !l.over.Load() {
				l.call(t, pick())
			}
		})
	}
	return l
}

// await waits until n more answers are whole.
func (l *load) await(n int64) {
	before := l.whole.Load()
	for l.whole.Load() < before+n {
		time.Sleep(pollPause)
	}
}

// end lets the last requests end and checks that no answer broke.
func (l *load) end(t *testing.T) {
	t.Helper()
	l.over.Store(true)
	l.callers.Wait()
	t.Logf("%d whole, %d refused as not run", l.whole.Load(), l.refused.Load())
	if l.broken.Load() != 0 || l.unknown.Load() != 0 || l.whole.Load() == 0 {
		t.Errorf("%d broken, %d unknown and %d whole answers, want none broken or unknown",
			l.broken.Load(), l.unknown.Load(), l.whole.Load())
	}
}

func only(p *Process) func() *Process { return func() *Process { return p } }

func TestADataCentreGoesAndReturnsUnderLoad(t *testing.T) {
	const callers, more = 8, 30
	fleet, engines := twoDataCentres(t)
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	daemons.add(fleet.Start(t, "vm-1", "north", nil))
	daemons.add(fleet.Start(t, "vm-2", "north", nil))
	south := fleet.Start(t, "vm-3", "south", nil)
	daemons.add(south)
	l := startLoad(t, callers, daemons.pick)
	l.await(more)

	fleet.Change(t, func(s *change.State) error {
		s.Head.Out.DataCentres = []string{"south"}
		return nil
	})
	south.AwaitReady(t, false)
	daemons.remove(south)
	for engines[southEngine].Running() > 0 {
		time.Sleep(pollPause)
	}
	served := engines[southEngine].Served()
	l.await(more)
	if got := engines[southEngine].Served(); got != served {
		t.Errorf("the south got %d requests while it was out", got-served)
	}

	fleet.Change(t, func(s *change.State) error {
		s.Head.Out.DataCentres = nil
		return nil
	})
	south.AwaitReady(t, true)
	daemons.add(south)
	for engines[southEngine].Served() == served {
		time.Sleep(pollPause)
	}
	l.end(t)
	for i, e := range engines {
		if e.Overloads() != 0 {
			t.Errorf("engine %d was overloaded %d times", i, e.Overloads())
		}
	}
}

func TestRequestsAreServedWhileThePlatformIsAway(t *testing.T) {
	const callers, more = 4, 30
	fleet, _ := twoDataCentres(t)
	north := fleet.Start(t, "vm-1", "north", nil)
	south := fleet.Start(t, "vm-2", "south", nil)
	fleet.Platform.SetFaults(metastore.Down)
	for _, p := range []*Process{north, south} {
		l := startLoad(t, callers, only(p))
		l.await(more)
		l.end(t)
	}
}

func TestABookingWaitsForThePlatformAndRunsOnce(t *testing.T) {
	fleet, s := bookings(t, 0)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	id := newIdempotencyKey(t)
	fleet.Platform.SetFaults(metastore.Down)
	refused := book(t, daemon, id)
	execution := request.Execution(refused.header.Get(serve.HeaderExecution))
	if refused.status != http.StatusServiceUnavailable || execution != request.Unknown || s.Runs(id) != 0 {
		t.Errorf("without the platform: %+v after %d runs, want a refusal and no run", refused, s.Runs(id))
	}
	fleet.Platform.SetFaults(metastore.Faults{})
	for answer := book(t, daemon, id); answer.status != http.StatusOK; answer = book(t, daemon, id) {
		if answer.err != nil || answer.status != http.StatusServiceUnavailable {
			t.Fatalf("with the platform back: %+v", answer)
		}
		time.Sleep(pollPause)
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
}

func TestACutBetweenDataCentresBreaksNoAnswer(t *testing.T) {
	const callers, more = 6, 30
	fleet, _ := twoDataCentres(t)
	var links []*proxy.Proxy
	fleet.PeerAddress = func(p *Process) string {
		link, err := proxy.New(p.Peers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		links = append(links, link)
		return link.Address()
	}
	north := fleet.Start(t, "vm-1", "north", nil)
	south := fleet.Start(t, "vm-2", "south", nil)
	loads := []*load{startLoad(t, callers, only(north)), startLoad(t, callers, only(south))}
	for _, mode := range []proxy.Mode{proxy.Pass, proxy.Cut, proxy.Pass} {
		for _, link := range links {
			link.Set(mode, 0)
		}
		for _, l := range loads {
			l.await(more)
		}
	}
	for _, l := range loads {
		l.end(t)
	}
}

func TestAPausedDaemonHoldsUpNoOther(t *testing.T) {
	const callers, more = 6, 30
	for _, paused := range []version.VMID{"vm-1", "vm-2"} {
		fleet, _ := twoEngines(t)
		daemons := map[version.VMID]*Process{}
		for _, vm := range []version.VMID{"vm-1", "vm-2"} {
			daemons[vm] = fleet.Start(t, vm, "north", nil)
		}
		kept := daemons["vm-1"]
		if paused == "vm-1" {
			kept = daemons["vm-2"]
		}
		l := startLoad(t, callers, only(kept))
		l.await(more)
		daemons[paused].Signal(t, syscall.SIGSTOP)
		l.await(more)
		daemons[paused].Signal(t, syscall.SIGCONT)
		resumed := startLoad(t, callers, only(daemons[paused]))
		resumed.await(more)
		resumed.end(t)
		l.end(t)
	}
}
