package edge

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	// rolloutSeconds is the time limit of the orders, and rolloutWait how long their outcome is
	// awaited: a shift that has begun is completed, even when late.
	rolloutSeconds = 8
	rolloutWait    = 20 * time.Second
	// rolloutPace is the time between two requests of the callers.
	rolloutPace = 8 * time.Millisecond
	// rolloutVMs and rolloutUpstreams are the VMs, and the upstreams of each version.
	rolloutVMs       = 3
	rolloutUpstreams = 4
	// laterTime is when a version becomes bad that does so in the canary.
	laterTime = 2 * time.Second
	// tellTime is how long a verdict may take to reach every VM: two reports and two looks at them.
	tellTime = 600 * time.Millisecond
)

// rolloutFaults are those of sound upstreams.
var rolloutFaults = generalupstream.Faults{Delay: 40 * time.Millisecond, Pause: 10 * time.Millisecond}

// rolloutSlots are taken by the fleets that run at once: more of them leave too little of the machine to
// each, with the race detector on.
var rolloutSlots = make(chan struct{}, 2)

// rolloutFleet is a fleet whose callers send requests without a pause.
type rolloutFleet struct {
	*crashingFleet
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	requests int
	// lost are the outcomes of requests that got no complete answer with status 200.
	lost []string
}

// startRollout starts a fleet with upstreams of v1.
func startRollout(t *testing.T) *rolloutFleet {
	t.Helper()
	rolloutSlots <- struct{}{}
	t.Cleanup(func() { <-rolloutSlots })
	f := &rolloutFleet{stop: make(chan struct{})}
	f.crashingFleet = startFleet(t, rolloutVMs, rolloutUpstreams, generalupstream.Deadly{}, rolloutFaults, platformtest.RolloutBounds())
	t.Cleanup(f.end)
	return f
}

// call lets callers send requests of all routes to all VMs until the fleet ends.
func (f *rolloutFleet) call() {
	paths := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume-stream/x"}
	f.running.Go(func() {
		// The pace does not depend on how busy the machine is.
		for n, start := 0, time.Now(); ; n++ {
			select {
			case <-f.stop:
				return
			case <-time.After(time.Until(start.Add(time.Duration(n) * rolloutPace))):
			}
			f.running.Go(func() {
				reply := f.send(n%rolloutVMs, paths[n/rolloutVMs%len(paths)], fmt.Sprintf("call-%d", n))
				f.mu.Lock()
				defer f.mu.Unlock()
				f.requests++
				if reply.status != 200 || !reply.complete {
					f.lost = append(f.lost, fmt.Sprintf("call-%d: %+v", n, reply))
				}
			})
		}
	})
}

// end ends the requests.
func (f *rolloutFleet) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.running.Wait()
}

// order writes the order to move the service to a version, and starts its upstreams unless there are
// some. Those of a bad version are bad as told.
func (f *rolloutFleet) order(software string, bad generalupstream.Bad) {
	f.store.Put(platform.KindRollout, "calls", platformtest.Rollout("calls", software, rolloutSeconds))
	for _, u := range f.upstreams {
		if u.software == software {
			return
		}
	}
	for range rolloutUpstreams {
		u := f.newUpstream(software)
		u.SetFaults(rolloutFaults)
		u.SetBad(bad)
		u.register()
	}
}

// status returns the status in the store.
func (f *rolloutFleet) status() platformtest.Status {
	var status platformtest.Status
	if text := f.store.Status(platform.KindRollout, "calls"); text != nil {
		if err := json.Unmarshal(text, &status); err != nil {
			f.t.Errorf("status is %s: %v", text, err)
		}
	}
	return status
}

// await waits until the status on a version is in a state, or in a phase.
func (f *rolloutFleet) await(software, state string) platformtest.Status {
	f.t.Helper()
	for deadline := time.Now().Add(rolloutWait); ; time.Sleep(time.Millisecond) {
		status := f.status()
		switch {
		case status.To == software && (status.State == state || status.Phase == state):
			return status
		case status.To == software && (status.State == "done" || status.State == "rolled_back") || time.Now().After(deadline):
			f.t.Fatalf("status of %s is %+v, want %s; a VM says %s", software, status, state, f.operate(0, "rollout", "status"))
		}
	}
}

// arrivals returns the times at which requests arrived at the upstreams of a version.
func (f *rolloutFleet) arrivals(software string) (times []time.Time) {
	for _, u := range f.upstreams {
		if u.software == software {
			for _, arrival := range u.Arrivals() {
				times = append(times, arrival.At)
			}
		}
	}
	return times
}

// checkMoved checks that at done nothing is in flight at the old version, ends its upstreams at once
// and checks that it gets nothing any more.
func (f *rolloutFleet) checkMoved(old string) {
	f.t.Helper()
	doneAt, inFlight := time.Now(), 0
	for _, u := range f.upstreams {
		if u.software == old {
			inFlight += u.Running()
			u.proxy.Close()
		}
	}
	if inFlight > 0 {
		f.t.Errorf("%d requests are in flight at %s when it is done", inFlight, old)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, at := range f.arrivals(old) {
		if at.After(doneAt) {
			f.t.Errorf("a request arrived at %s %v after it was done", old, at.Sub(doneAt))
		}
	}
}

// checkNothingLost ends the requests and checks that all were answered.
func (f *rolloutFleet) checkNothingLost() {
	f.t.Helper()
	f.end()
	if len(f.lost) > 0 {
		f.t.Errorf("%d of %d requests are lost, the first: %s", len(f.lost), f.requests, f.lost[0])
	}
}

// Guards against a rollout that loses requests, that is never done, or whose old upstreams still get
// or run requests when they stop.
func TestGoodVersionIsDoneAndNothingIsLost(t *testing.T) {
	t.Parallel()
	f := startRollout(t)
	f.call()
	time.Sleep(time.Second)
	orderedAt := time.Now()
	f.order("v2", generalupstream.Bad{})
	f.await("v2", "canary")
	f.await("v2", "done")
	if took := time.Since(orderedAt); took > rolloutSeconds*time.Second {
		t.Errorf("done after %v, the limit is %d s", took, rolloutSeconds)
	}
	f.checkMoved("v1")
	f.checkNothingLost()
	var list []operator.RolloutStatus
	if err := json.Unmarshal([]byte(f.operate(1, "rollout", "status")), &list); err != nil || len(list) != 1 || len(list[0].Rollouts) != 1 ||
		list[0].Rollouts[0].State != "done" || list[0].Rollouts[0].Sent == 0 {
		t.Errorf("a VM says %+v, error %v", list, err)
	}
}

// Guards against a bad version that is done, that gets more than its share of the requests, or that
// gets requests after it was rolled back.
func TestBadVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		bad   generalupstream.Bad
		later time.Duration
		// inShift makes it bad only in the shift, when every request goes there.
		inShift bool
	}{
		"fails":              {bad: generalupstream.Bad{Share: 0.5}},
		"is slow":            {bad: generalupstream.Bad{Share: 0.7, Slow: 8}},
		"fails later":        {bad: generalupstream.Bad{Share: 0.5}, later: laterTime},
		"is slow in shift":   {bad: generalupstream.Bad{Share: 0.7, Slow: 8}, inShift: true},
		"fails in the shift": {bad: generalupstream.Bad{Share: 0.5}, inShift: true},
		"fails under load":   {bad: generalupstream.Bad{Share: 0.7, MinRunning: 2}},
		"fails on one route": {bad: generalupstream.Bad{Share: 0.8, Path: "/unsafe/"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRollout(t)
			f.call()
			time.Sleep(500 * time.Millisecond)
			c.bad.From = time.Now().Add(c.later)
			if c.inShift {
				f.order("v2", generalupstream.Bad{})
				f.await("v2", "shifting")
				for _, u := range f.upstreams[rolloutUpstreams:] {
					u.SetBad(c.bad)
				}
			} else {
				f.order("v2", c.bad)
			}
			status := f.await("v2", "rolled_back")
			rolledBackAt := time.Now()
			if status.Reason == "" {
				t.Error("no reason is given")
			}
			time.Sleep(1500 * time.Millisecond)
			f.end()
			arrivals := f.arrivals("v2")
			if bound := 0.1*float64(f.requests) + 50; float64(len(arrivals)) > bound && !c.inShift {
				t.Errorf("the bad version got %d of %d requests, the bound is %.0f", len(arrivals), f.requests, bound)
			}
			for _, at := range arrivals {
				if at.After(rolledBackAt.Add(tellTime)) {
					t.Errorf("a request arrived %v after the version was rolled back", at.Sub(rolledBackAt))
				}
			}
		})
	}
}

// Guards against a step of a former order: one that is replaced by another version, or removed.
func TestReplacedAndRemovedOrdersEnd(t *testing.T) {
	t.Parallel()
	f := startRollout(t)
	f.call()
	f.order("v2", generalupstream.Bad{})
	f.await("v2", "canary")
	time.Sleep(time.Second)
	for _, u := range f.upstreams {
		if u.software == "v2" {
			// Without an order every version serves.
			f.store.Remove(platform.KindUpstream, u.Instance)
		}
	}
	f.store.Remove(platform.KindRollout, "calls")
	time.Sleep(2500 * time.Millisecond)
	removedAt := time.Now()
	time.Sleep(time.Second)
	f.order("v2", generalupstream.Bad{})
	for _, u := range f.upstreams {
		if u.software == "v2" {
			u.register()
		}
	}
	f.await("v2", "canary")
	f.order("v3", generalupstream.Bad{})
	f.await("v3", "done")
	for _, at := range f.arrivals("v2") {
		if at.After(removedAt) && at.Before(removedAt.Add(time.Second)) {
			t.Errorf("a request arrived at v2 %v after its order was removed", at.Sub(removedAt))
		}
	}
	f.checkMoved("v1")
	if got := f.status(); got.To != "v3" || got.State != "done" {
		t.Errorf("status is %+v", got)
	}
	f.checkNothingLost()
}

// Guards against a rollout that stays where it is because answers to writes of its status are lost,
// or because the VM that would make the next step has stopped.
func TestRolloutSurvivesLostAnswersAndAStoppedVM(t *testing.T) {
	t.Parallel()
	f := startRollout(t)
	f.store.SetFaults(metastore.Faults{StatusWritesLate: 300 * time.Millisecond})
	f.order("v2", generalupstream.Bad{})
	f.await("v2", "canary")
	f.call()
	f.await("v2", "shifting")
	f.store.SetFaults(metastore.Faults{LoseWriteAnswers: true})
	// The callers of the stopped VM get nothing any more.
	f.end()
	f.stops[0]()
	f.await("v2", "done")
	f.checkMoved("v1")
	for n := range 20 {
		if reply := f.send(1+n%2, "/safe/x", fmt.Sprintf("after-%d", n)); reply.status != 200 {
			t.Errorf("request after the end: %+v", reply)
		}
	}
}

// Guards against calls to the store that a deployment without rollouts did not make before, and
// against an order that it follows.
func TestRolloutsAreOffWithoutAShare(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 2, generalupstream.Deadly{}, rolloutFaults, nil)
	f.upstreams[1].replace("v2")
	f.store.Put(platform.KindRollout, "calls", platformtest.Rollout("calls", "v2", 1))
	waitUntil(t, "both versions serve", func() bool {
		var calls sync.WaitGroup
		for n := range 20 {
			calls.Go(func() { f.send(0, "/safe/x", fmt.Sprintf("both-%d-%d", n, time.Now().UnixNano())) })
		}
		calls.Wait()
		return len(f.upstreams[0].Arrivals()) > 0 && len(f.upstreams[1].Arrivals()) > 0
	})
	if text := f.operate(0, "rollout", "status"); !strings.Contains(text, `"inactive": true`) && !strings.Contains(text, `"inactive":true`) {
		t.Errorf("a VM says %s", text)
	}
	if status := f.store.Status(platform.KindRollout, "calls"); status != nil {
		t.Errorf("status is %s, want none", status)
	}
}
