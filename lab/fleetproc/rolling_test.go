package fleetproc

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// balancer sends requests to the daemons that it takes for ready.
type balancer struct {
	mu      sync.Mutex
	daemons map[version.VMID]*Process
	next    int
}

func (l *balancer) add(p *Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons[p.VM] = p
}

func (l *balancer) remove(p *Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.daemons, p.VM)
}

func (l *balancer) find(vm version.VMID) *Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.daemons[vm]
}

// pick returns the daemons in turn.
func (l *balancer) pick() *Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	skip := l.next % len(l.daemons)
	for _, p := range l.daemons {
		if skip == 0 {
			return p
		}
		skip--
	}
	return nil
}

// tally counts what callers got.
type tally struct {
	whole   atomic.Int64
	refused atomic.Int64
	broken  atomic.Int64
	unknown atomic.Int64
}

// call sends one request and counts how it ended. A request that got nothing
// at all back counts as broken.
func (c *tally) call(t *testing.T, p *Process) {
	body := `{"model":"` + model + `","stream":true,"max_tokens":20}`
	out, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers+serve.PathChat, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	out.Header.Set("Authorization", "Bearer "+key)
	// A connection of its own, so that only the daemon's doing can break it.
	out.Close = true
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		c.broken.Add(1)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	execution := request.Execution(response.Header.Get(serve.HeaderExecution))
	switch {
	case execution == request.NotRun:
		c.refused.Add(1)
	case execution == request.Unknown:
		c.unknown.Add(1)
	case err == nil && strings.HasSuffix(string(text), "data: [DONE]\n\n"):
		c.whole.Add(1)
	default:
		c.broken.Add(1)
	}
}

// twoEngines returns a fleet with two model engines, and the engines.
func twoEngines(t *testing.T) (*Fleet, []*engine.Engine) {
	document := oneUpstream("", 4)
	document.Upstreams = nil
	var engines []*engine.Engine
	for _, name := range []string{"north-1", "north-2"} {
		e := engine.New(engine.Options{ColdLimit: 4})
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: name, Pool: "polish", DataCentre: "north", Address: server.Listener.Addr().String(),
			Team: "advice", ColdLimit: 4, WarmLimit: 8,
		})
		engines = append(engines, e)
	}
	return New(t, document), engines
}

// TestARollingRestartCutsNothing replaces each of three daemons under load. A
// balancer stops sending to one that it has seen not ready.
func TestARollingRestartCutsNothing(t *testing.T) {
	const callers, graceMS = 12, 500
	fleet, engines := twoEngines(t)
	withGrace := func(s *settings.Settings) { s.Callers.DrainGraceMS = graceMS }
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	names := []version.VMID{"vm-1", "vm-2", "vm-3"}
	for _, vm := range names {
		daemons.add(fleet.Start(t, vm, "north", withGrace))
	}
	var counts tally
	var over atomic.Bool
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for !over.Load() {
				counts.call(t, daemons.pick())
			}
		})
	}
	for _, vm := range names {
		old := daemons.find(vm)
		before := counts.whole.Load()
		old.Signal(t, syscall.SIGTERM)
		old.AwaitReady(t, false)
		daemons.remove(old)
		if code := old.Wait(); code != 0 {
			t.Errorf("%s: exit code is %d, want 0", vm, code)
		}
		daemons.add(fleet.Start(t, vm, "north", withGrace))
		for counts.whole.Load() == before {
			time.Sleep(pollPause)
		}
	}
	over.Store(true)
	load.Wait()
	t.Logf("%d whole, %d refused as not run", counts.whole.Load(), counts.refused.Load())
	if counts.broken.Load() != 0 || counts.unknown.Load() != 0 || counts.whole.Load() == 0 {
		t.Errorf("%d broken, %d unknown and %d whole answers, want none broken or unknown",
			counts.broken.Load(), counts.unknown.Load(), counts.whole.Load())
	}
	for i, e := range engines {
		if e.Overloads() != 0 || e.MaxRuns() > 1 {
			t.Errorf("engine %d: %d overloads and up to %d runs of one attempt", i, e.Overloads(), e.MaxRuns())
		}
	}
}

// TestAKilledDaemonLosesNoRequestOfAnother kills a daemon, and with it perhaps
// the dispatcher, while another one holds requests.
func TestAKilledDaemonLosesNoRequestOfAnother(t *testing.T) {
	const requests = 60
	for _, killed := range []version.VMID{"vm-1", "vm-2"} {
		fleet, _ := twoEngines(t)
		daemons := map[version.VMID]*Process{}
		for _, vm := range []version.VMID{"vm-1", "vm-2"} {
			daemons[vm] = fleet.Start(t, vm, "north", nil)
		}
		keeper := daemons["vm-1"]
		if killed == "vm-1" {
			keeper = daemons["vm-2"]
		}
		var counts tally
		var load sync.WaitGroup
		for range requests {
			load.Go(func() { counts.call(t, keeper) })
		}
		daemons[killed].Signal(t, syscall.SIGKILL)
		load.Wait()
		if whole := counts.whole.Load(); whole != requests {
			t.Errorf("%s killed: %d of %d answers are whole, %d refused, %d broken, %d unknown", killed, whole, requests,
				counts.refused.Load(), counts.broken.Load(), counts.unknown.Load())
		}
	}
}
