package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	// movedService is the service whose versions are rolled out. No other disturbance meets its
	// upstreams, of which each version has movedUpstreams.
	movedService   = "moved"
	movedUpstreams = 3
	// rolloutSeconds is the time limit of an order, and rolloutTimeout how long its outcome is
	// awaited, which storms delay.
	rolloutSeconds = 8
	rolloutTimeout = 40 * time.Second
	// movedPause is the time between two requests of the service, and movedCallers their number at
	// once.
	movedPause   = 30 * time.Millisecond
	movedCallers = 4
	// rolledBackDrain is how long the upstreams of a version stay after it was rolled back.
	rolledBackDrain = 2 * time.Second
	// badRunsToJudge is the number of bad responses after which a version must not be done. One that is
	// bad under load may meet too little of it.
	badRunsToJudge = 50
	// rolloutStream is the stream of the seed's random numbers for rollouts.
	rolloutStream = 1<<32 + 4
)

// badVersions are the ways in which versions are bad, in turn with good ones.
var badVersions = []generalupstream.Bad{
	{Share: 0.5},
	{Share: 0.8, Slow: 8},
	{Share: 0.6, From: time.Now().Add(2 * time.Second)},
	{Share: 0.9, Path: "/moved/b"},
	{Share: 0.8, MinRunning: 2},
}

// movedUpstream is an upstream of the moved service.
type movedUpstream struct {
	*generalupstream.Upstream
	proxy *proxy.Proxy
}

// moves moves a service from version to version, and checks what a bad version gets and what is left
// at the old one.
type moves struct {
	fleet  *fleet
	log    *slog.Logger
	random *rand.Rand

	mu         sync.Mutex
	requests   int
	rollouts   int
	rolledBack int
	violations []Violation
	// started are all upstreams, of which those of the version in force serve.
	started []*movedUpstream
	serving []*movedUpstream
}

func newMoves(f *fleet, options Options) *moves {
	return &moves{fleet: f, log: options.Log, random: rand.New(rand.NewPCG(options.Seed, rolloutStream))}
}

// addMovedService adds the service and its routes to a configuration.
func addMovedService(config platformtest.Fields) {
	routes := config["routes"].([]any)
	for _, name := range []string{"a", "b"} {
		routes = append(routes, platformtest.Route("moved-"+name, host, "/moved/"+name+"/", platformtest.KindUnsafe, movedService,
			platformtest.Fields{"timeout_ms": routeTimeout.Milliseconds(), "public": true}))
	}
	config["routes"] = routes
	config["services"] = append(config["services"].([]any), platformtest.Service(movedService, nil))
}

// run moves the service until ctx ends.
func (m *moves) run(ctx context.Context) {
	var callers sync.WaitGroup
	defer callers.Wait()
	m.serving = m.start("g0", generalupstream.Bad{})
	for caller := range movedCallers {
		callers.Go(func() { m.call(ctx, caller) })
	}
	for n := 1; ctx.Err() == nil; n++ {
		if wait.Sleep(ctx, 2*time.Second+time.Duration(m.random.Int64N(int64(3*time.Second)))) != nil {
			return
		}
		var bad generalupstream.Bad
		if n%2 == 0 {
			bad = badVersions[m.random.IntN(len(badVersions))]
			bad.Share *= 0.8 + 0.2*m.random.Float64()
		}
		m.move(ctx, "g"+strconv.Itoa(n), bad)
	}
}

// move carries out one order.
func (m *moves) move(ctx context.Context, software string, bad generalupstream.Bad) {
	if !bad.From.IsZero() {
		bad.From = time.Now().Add(2 * time.Second)
	}
	m.log.Info("order a rollout", "to", software, "bad", bad)
	m.fleet.mu.Lock()
	m.fleet.put(platform.KindRollout, movedService, platformtest.Rollout(movedService, software, rolloutSeconds))
	m.fleet.mu.Unlock()
	m.mu.Lock()
	before := m.requests
	m.mu.Unlock()
	upstreams := m.start(software, bad)
	state, reason := m.await(ctx, software)
	if state == "" {
		return
	}
	m.log.Info("rollout ended", "to", software, "state", state, "reason", reason)
	gone := upstreams
	if state == "done" {
		gone, m.serving = m.serving, upstreams
		m.checkDone(software, bad, upstreams, gone)
	} else {
		_ = wait.Sleep(ctx, rolledBackDrain)
	}
	m.mu.Lock()
	m.rollouts++
	if state != "done" {
		m.rolledBack++
	}
	requests := m.requests - before
	m.mu.Unlock()
	if bad.Share > 0 {
		m.checkExposure(software, bad, upstreams, requests)
	}
	m.end(gone)
}

// await waits for the outcome of an order. It returns no state if ctx ends first.
func (m *moves) await(ctx context.Context, software string) (state, reason string) {
	for deadline := time.Now().Add(rolloutTimeout); ; {
		var status platformtest.Status
		if text := m.fleet.store.Status(platform.KindRollout, movedService); text != nil {
			if err := json.Unmarshal(text, &status); err != nil {
				m.violate("rollout status", "status is %s: %v", text, err)
			}
		}
		if status.To == software && status.State != "running" {
			return status.State, status.Reason
		}
		if wait.Sleep(ctx, 2*time.Millisecond) != nil {
			return "", ""
		}
		if time.Now().After(deadline) {
			m.violate("rollouts end", "status of %s is %+v after %v", software, status, rolloutTimeout)
			return "rolled_back", ""
		}
	}
}

// checkDone checks that a version that is done has not shown that it is bad, and that nothing is in
// flight at the old one.
func (m *moves) checkDone(software string, bad generalupstream.Bad, upstreams, old []*movedUpstream) {
	inFlight := 0
	for _, u := range old {
		inFlight += u.Running()
	}
	if inFlight > 0 {
		m.violate("nothing is left at done", "%d requests are in flight at old upstreams when %s is done", inFlight, software)
	}
	badRuns := 0
	for _, u := range upstreams {
		badRuns += u.BadRuns()
	}
	if badRuns >= badRunsToJudge {
		m.violate("bad versions", "%s is done although it gave %d bad responses: %+v", software, badRuns, bad)
	}
}

// checkExposure checks how many requests a bad version got. Twice its bound is allowed, since the
// VMs that are cut off from the store do not count but are not told apart here.
func (m *moves) checkExposure(software string, bad generalupstream.Bad, upstreams []*movedUpstream, requests int) {
	got := 0
	for _, u := range upstreams {
		got += len(u.Arrivals())
	}
	if bound := 0.1*float64(requests) + 50; float64(got) > 2*bound {
		m.violate("exposure", "%s got %d of %d requests, the bound is %.0f; it is bad: %+v", software, got, requests, bound, bad)
	}
}

func (m *moves) violate(promise, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, Violation{promise, fmt.Sprintf(format, args...)})
}

// start starts the upstreams of a version.
func (m *moves) start(software string, bad generalupstream.Bad) (list []*movedUpstream) {
	for i := range movedUpstreams {
		u := &movedUpstream{Upstream: generalupstream.New("m-" + software + "-" + strconv.Itoa(i))}
		u.SetFaults(generalupstream.Faults{Delay: 30 * time.Millisecond})
		u.SetBad(bad)
		var err error
		if u.proxy, err = m.fleet.proxy(u.Address()); err != nil {
			m.violate("soak", "start an upstream: %v", err)
			return list
		}
		m.fleet.mu.Lock()
		m.fleet.put(platform.KindUpstream, u.Instance, platformtest.Registration(movedService, u.proxy.Address(), platformtest.StateReady,
			platformtest.Fields{"born": time.Now().UnixMilli(), "version": software, "slots": 32}))
		m.fleet.mu.Unlock()
		list = append(list, u)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started = append(m.started, list...)
	return list
}

// end stops upstreams at once.
func (m *moves) end(list []*movedUpstream) {
	for _, u := range list {
		u.proxy.Close()
		m.fleet.mu.Lock()
		delete(m.fleet.written, writtenObject{platform.KindUpstream, u.Instance})
		m.fleet.mu.Unlock()
		m.fleet.store.Remove(platform.KindUpstream, u.Instance)
	}
}

// close ends everything.
func (m *moves) close() {
	for _, u := range m.started {
		u.proxy.Close()
		u.Close()
	}
}

// call sends requests of the service to random VMs until ctx ends.
func (m *moves) call(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for n := 0; wait.Sleep(ctx, movedPause) == nil; n++ {
		vm := m.fleet.daemons[(caller+n)%len(m.fleet.daemons)]
		path := "/moved/" + string(rune('a'+n/len(m.fleet.daemons)%2)) + "/x"
		out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.callersProxy.Address()+path, strings.NewReader("x"))
		if err != nil {
			m.violate("soak", "build a request: %v", err)
			return
		}
		out.Host = host
		out.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("m%d-%d", caller, n))
		answer, err := client.Do(out)
		m.mu.Lock()
		m.requests++
		m.mu.Unlock()
		if err == nil {
			// A body that breaks off is no matter here.
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
	}
}

// report adds what was seen to a report; m may be nil.
func (m *moves) report(report *Report) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	report.Rollouts, report.RolledBack = m.rollouts, m.rolledBack
	report.Violations = append(report.Violations, m.violations...)
}
