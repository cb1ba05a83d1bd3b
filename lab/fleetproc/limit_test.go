package fleetproc

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// limitedEngine is an engine that names a rate limit in its answers and records when requests
// arrived.
type limitedEngine struct {
	http.Handler
	perSecond int

	mu      sync.Mutex
	arrived []time.Time
}

func (e *limitedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, serve.PathChat) {
		e.mu.Lock()
		e.arrived = append(e.arrived, time.Now())
		e.mu.Unlock()
		w.Header().Set(upstream.HeaderRateLimit, strconv.Itoa(e.perSecond))
	}
	e.Handler.ServeHTTP(w, r)
}

// mostWithin returns the largest number of requests that arrived within a window since a time.
func (e *limitedEngine) mostWithin(window time.Duration, since time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, from := range e.arrived {
		count := 0
		for _, at := range e.arrived[i:] {
			if !from.Before(since) && at.Sub(from) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against the OpenAI form of the fault of 4 December 2026: engines that named a rate limit
// got whatever their slots allowed. Callers of two data centres ask for several times the limits;
// one data centre has no engine, so that all its requests are placed by the other one.
func TestEnginesGetNoMoreThanTheRateTheyName(t *testing.T) {
	const perSecond, callers, duration = 4, 16, 14 * time.Second
	document := documentWithUpstream("", 4)
	document.Upstreams = nil
	document.DataCentres = append(document.DataCentres, version.DataCentreSpec{Name: "south", Region: "two"})
	var engines []*limitedEngine
	for _, name := range []string{"north-1", "north-2"} {
		e := &limitedEngine{Handler: engine.New(engine.Options{ColdLimit: 4}), perSecond: perSecond}
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: name, Pool: "polish", DataCentre: "north", Address: server.Listener.Addr().String(),
			Team: "advice", ColdLimit: 4, WarmLimit: 8,
		})
		engines = append(engines, e)
	}
	fleet := New(t, document)
	processes := []*Process{fleet.Start(t, "vm-1", "north", nil), fleet.Start(t, "vm-2", "north", nil), fleet.Start(t, "vm-3", "south", nil)}
	var counts answerCounts
	var load sync.WaitGroup
	start := time.Now()
	for i := range callers {
		load.Go(func() {
			for time.Since(start) < duration {
				counts.send(t, processes[i%len(processes)])
			}
		})
	}
	load.Wait()
	const window = 4 * time.Second
	const allowed = 1.5*perSecond*4 + 5
	for i, e := range engines {
		// The first answers name the limit.
		if most := e.mostWithin(window, start.Add(time.Second)); most > allowed {
			t.Errorf("engine %d got %d requests in 4 s, its limit allows %v", i, most, allowed)
		}
		if used := e.mostWithin(window, start.Add(duration-window)); used < perSecond*4/2 {
			t.Errorf("engine %d got %d requests in the last 4 s, its limit is %d", i, used, perSecond*4)
		}
	}
	if counts.broken.Load() != 0 || counts.unknown.Load() != 0 {
		t.Errorf("%d broken and %d unknown answers, want none", counts.broken.Load(), counts.unknown.Load())
	}
}
