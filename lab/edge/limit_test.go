package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
)

// The rule on limits that upstreams name: in any limitWindow an upstream gets at most
// limitTolerance times what its limit allows, and limitSlack requests.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitNotice is the time after which a limit that an answer has named binds.
	limitNotice = 500 * time.Millisecond
)

// mostArrivals returns the largest number of requests that arrived at an upstream within any
// window between two times.
func mostArrivals(u *generalupstream.Upstream, from, until time.Time, window time.Duration) int {
	var times []time.Time
	for _, arrival := range u.Arrivals() {
		if !arrival.At.Before(from) && arrival.At.Before(until) {
			times = append(times, arrival.At)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against the fault of 4 December 2026: upstreams that named the request rate that they
// take from the whole fleet got several times as much, because no VM read it. The VMs get uneven
// loads, and all upstreams of the pool are limited.
func TestUpstreamsGetNoMoreThanTheRateTheyName(t *testing.T) {
	const perSecond, duration = 6, 9 * time.Second
	f := startCrashingFleet(t, 3, 2, generalupstream.Deadly{}, generalupstream.Faults{})
	for _, u := range f.upstreams {
		u.SetLimit(strconv.Itoa(perSecond))
	}
	var mu sync.Mutex
	var replies []promptReply
	var running sync.WaitGroup
	start := time.Now()
	for vm, interval := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond} {
		running.Go(func() {
			for n := 0; time.Since(start) < duration; n++ {
				running.Go(func() {
					reply := f.send(vm, "/stream/x", fmt.Sprintf("call-%d-%d", vm, n), commonSegment)
					mu.Lock()
					defer mu.Unlock()
					replies = append(replies, reply)
				})
				time.Sleep(interval)
			}
		})
	}
	running.Wait()
	const allowed = limitTolerance*perSecond*4 + limitSlack
	for _, u := range f.upstreams {
		if most := mostArrivals(u.Upstream, start.Add(limitNotice), start.Add(duration), limitWindow); most > allowed {
			t.Errorf("%s got %d requests in 4 s, its limit allows %v", u.Instance, most, allowed)
		}
		if used := mostArrivals(u.Upstream, start.Add(duration-limitWindow), start.Add(duration), limitWindow); used < perSecond*4*6/10 {
			t.Errorf("%s got %d requests in the last 4 s, its limit is %d", u.Instance, used, perSecond*4)
		}
	}
	for _, reply := range replies {
		after, err := strconv.ParseFloat(reply.retryAfter, 64)
		switch {
		case reply.status == http.StatusOK:
		case reply.duration > time.Second:
			t.Errorf("a refusal took %v", reply.duration)
		case reply.execution != "not-run" || err != nil || after < 0.1 || after > limitWindow.Seconds():
			t.Errorf("status %d, reason %s, execution %s, Retry-After %q; want a refusal that says not-run and when to come back",
				reply.status, reply.reason, reply.execution, reply.retryAfter)
		}
	}
	for _, u := range f.upstreams {
		u.SetLimit("")
	}
	served := 0
	for deadline := time.Now().Add(waitTimeout); served < 20 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f.send(served%3, "/stream/x", fmt.Sprintf("after-%d", time.Now().UnixNano()), commonSegment).status == http.StatusOK {
			served++
		} else {
			served = 0
		}
	}
	if served < 20 {
		t.Error("requests are still refused after the limits ended")
	}
}

// Guards against operators who cannot see which limits are in force, what is sent, and which era of
// the store each VM follows.
func TestOperatorsSeeLimitsAndEras(t *testing.T) {
	f := startCrashingFleet(t, 2, 1, generalupstream.Deadly{}, generalupstream.Faults{})
	f.upstreams[0].SetLimit("3")
	older := f.store.Copy()
	f.send(0, "/stream/x", "first", commonSegment)
	var limits []struct {
		Upstream  string
		PerSecond float64 `json:"per_second"`
		Sent      int
		Quota     int
	}
	for deadline := time.Now().Add(waitTimeout); len(limits) == 0 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		// The other VM has only heard of the limit.
		if err := json.Unmarshal([]byte(f.operate(1, "upstream", "limits")), &limits); err != nil {
			t.Fatal(err)
		}
	}
	if len(limits) != 1 || limits[0].Upstream != "i-0" || limits[0].PerSecond != 3 {
		t.Errorf("limits %+v, want that of i-0", limits)
	}
	f.store.Restore(older)
	var eras []struct {
		Era     uint64
		Version int
	}
	for deadline := time.Now().Add(waitTimeout); (len(eras) == 0 || eras[0].Era != 2) && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err := json.Unmarshal([]byte(f.operate(0, "store", "eras")), &eras); err != nil {
			t.Fatal(err)
		}
	}
	if len(eras) != 1 || eras[0].Era != 2 || eras[0].Version != 1 {
		t.Errorf("eras %+v, want 2 with version 1 in force", eras)
	}
}
