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

// balancer distributes requests over the daemons that are added, as a load balancer
// does over those that it has seen ready. It is safe for concurrent use.
type balancer struct {
	mu      sync.Mutex
	daemons map[version.VMID]*Process
	next    int
}

func (b *balancer) add(p *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons[p.VM] = p
}

func (b *balancer) remove(p *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.daemons, p.VM)
}

func (b *balancer) find(vm version.VMID) *Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.daemons[vm]
}

// pick returns one of the daemons. The random order of map iteration spreads the
// requests over them.
func (b *balancer) pick() *Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	skip := b.next % len(b.daemons)
	for _, p := range b.daemons {
		if skip == 0 {
			return p
		}
		skip--
	}
	return nil
}

// answerCounts counts the answers to requests by their kind: complete ones, refusals as
// not executed, broken ones, and refusals with an unknown outcome.
type answerCounts struct {
	complete atomic.Int64
	refused  atomic.Int64
	broken   atomic.Int64
	unknown  atomic.Int64
}

// send sends one request and counts its answer. A request without any answer counts as
// broken.
func (c *answerCounts) send(t *testing.T, p *Process) {
	body := `{"model":"` + model + `","stream":true,"max_tokens":20}`
	httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.CallersAddress+serve.PathChat, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	// Each request has a connection of its own, so that only the daemon can break it.
	httpRequest.Close = true
	response, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		c.broken.Add(1)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	execution := request.Execution(response.Header.Get(serve.HeaderExecution))
	switch {
	case execution == request.NotExecuted:
		c.refused.Add(1)
	case execution == request.ExecutionUnknown:
		c.unknown.Add(1)
	case err == nil && strings.HasSuffix(string(text), "data: [DONE]\n\n"):
		c.complete.Add(1)
	default:
		c.broken.Add(1)
	}
}

// newFleetWithTwoEngines returns a fleet with two model engines in one data centre, and
// the engines.
func newFleetWithTwoEngines(t *testing.T) (*Fleet, []*engine.Engine) {
	document := documentWithUpstream("", 4)
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

// TestRollingRestartBreaksNoAnswer restarts each of three daemons under load. The
// balancer stops sending requests to a daemon once it has seen it not ready. No answer
// may break, no outcome be unknown and no attempt be executed twice.
func TestRollingRestartBreaksNoAnswer(t *testing.T) {
	const callers, graceMS = 12, 500
	fleet, engines := newFleetWithTwoEngines(t)
	withGrace := func(s *settings.Settings) { s.Callers.DrainGraceMS = graceMS }
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	names := []version.VMID{"vm-1", "vm-2", "vm-3"}
	for _, vm := range names {
		daemons.add(fleet.Start(t, vm, "north", withGrace))
	}
	var counts answerCounts
	var stopped atomic.Bool
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for !stopped.Load() {
				counts.send(t, daemons.pick())
			}
		})
	}
	for _, vm := range names {
		old := daemons.find(vm)
		completeBefore := counts.complete.Load()
		old.Signal(t, syscall.SIGTERM)
		old.AwaitReady(t, false)
		daemons.remove(old)
		if code := old.Wait(); code != 0 {
			t.Errorf("%s: exit code is %d, want 0", vm, code)
		}
		daemons.add(fleet.Start(t, vm, "north", withGrace))
		for counts.complete.Load() == completeBefore {
			time.Sleep(pollInterval)
		}
	}
	stopped.Store(true)
	load.Wait()
	t.Logf("%d complete answers, %d refused as not executed", counts.complete.Load(), counts.refused.Load())
	if counts.broken.Load() != 0 || counts.unknown.Load() != 0 || counts.complete.Load() == 0 {
		t.Errorf("%d broken, %d unknown and %d complete answers, want none broken or unknown",
			counts.broken.Load(), counts.unknown.Load(), counts.complete.Load())
	}
	for i, e := range engines {
		if e.Overloads() != 0 || e.MaxRuns() > 1 {
			t.Errorf("engine %d: %d overloads and up to %d executions of one attempt, want 0 and at most 1", i, e.Overloads(), e.MaxRuns())
		}
	}
}

// TestKilledDaemonLosesNoRequestOfAnother kills one of two daemons while the other one
// has requests in progress. It does so for each of the two, so that the dispatcher of
// the pool is among the killed ones. All requests of the survivor must be served.
func TestKilledDaemonLosesNoRequestOfAnother(t *testing.T) {
	const requests = 60
	for _, killed := range []version.VMID{"vm-1", "vm-2"} {
		fleet, _ := newFleetWithTwoEngines(t)
		daemons := map[version.VMID]*Process{}
		for _, vm := range []version.VMID{"vm-1", "vm-2"} {
			daemons[vm] = fleet.Start(t, vm, "north", nil)
		}
		survivor := daemons["vm-1"]
		if killed == "vm-1" {
			survivor = daemons["vm-2"]
		}
		var counts answerCounts
		var load sync.WaitGroup
		for range requests {
			load.Go(func() { counts.send(t, survivor) })
		}
		daemons[killed].Signal(t, syscall.SIGKILL)
		load.Wait()
		if complete := counts.complete.Load(); complete != requests {
			t.Errorf("%s killed: %d of %d answers are complete, %d refused, %d broken, %d unknown", killed, complete, requests,
				counts.refused.Load(), counts.broken.Load(), counts.unknown.Load())
		}
	}
}
