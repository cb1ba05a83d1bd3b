package rollout

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the fleets of the tests: VMs, and upstreams of each version.
var sizes = []struct{ vms, upstreams int }{{6, 6}, {81, 40}, {300, 100}}

// Guards against a good version that is not done in its time, also on a bad day on which upstreams
// crash and machines are slow whatever their version, and against requests that are lost by the way.
func TestGoodVersionIsDoneInItsTime(t *testing.T) {
	for _, size := range sizes {
		for seed := range uint64(4) {
			if size.vms == 300 && seed > 0 || size.vms == 81 && seed > 1 {
				continue
			}
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				w := newWorld(t, size.vms, size.upstreams, seed)
				w.badDay = seed%2 == 1
				w.give()
				w.runToEnd()
				if w.state() != StateDone || w.finalAt > testDuration {
					t.Fatalf("%+v after %v, want done; steps %+v", w.order.Status, w.finalAt, w.steps)
				}
				if w.lost > 0 {
					t.Errorf("%d requests are lost", w.lost)
				}
			})
		}
	}
}

// Guards against a bad version of each kind that is not rolled back, or gets more requests than its
// share, or any 5 s after its 50th bad response.
func TestBadVersionIsRolledBack(t *testing.T) {
	faults := map[string]fault{
		"fails at once":         {failing: 0.3},
		"fails always":          {failing: 1},
		"fails a little":        {failing: 0.12},
		"fails later":           {failing: 0.5, from: 4 * time.Second},
		"fails in the shift":    {failing: 0.5, from: 6500 * time.Millisecond},
		"fails on one route":    {failing: 0.5, route: "b"},
		"fails on a poor route": {failing: 0.6, route: "c"},
		"fails under load":      {failing: 0.6, underLoad: 2},
		"is slow":               {slow: 5, slowFraction: 1},
		"is slow on one route":  {slow: 5, slowFraction: 1, route: "a"},
		"is slow at times":      {slow: 8, slowFraction: 0.5},
		"is slow later":         {slow: 5, slowFraction: 1, from: 3 * time.Second},
	}
	for name, f := range faults {
		for _, size := range sizes {
			if size.vms == 300 && name != "is slow on one route" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d VMs", name, size.vms), func(t *testing.T) {
				w := newWorld(t, size.vms, size.upstreams, 7)
				w.fault = f
				w.give()
				w.runToEnd()
				if w.state() != StateRolledBack {
					t.Errorf("%+v after %v, want rolled back; %d of %d requests, %d bad", w.order.Status, w.finalAt, w.sentNew, w.requests, w.bad)
				}
				if size.vms > 6 || name != "fails a little" && name != "fails on a poor route" {
					// A canary of 4 requests a second shows too little of these.
					w.checkBound()
				}
			})
		}
	}
}

// Guards against reports that lose or delay evidence, or who is drained, on their way through the hubs
// of a large fleet, also when a hub dies or is cut off.
func TestRolloutOverHubs(t *testing.T) {
	for _, c := range []struct {
		fault fault
		lose  func(*world)
		want  State
	}{
		{want: StateDone},
		{fault: fault{failing: 0.4, from: 2 * time.Second}, want: StateRolledBack},
		{want: StateDone, lose: func(w *world) { w.hub().cut = true }},
		{fault: fault{failing: 0.4, from: 2 * time.Second}, want: StateRolledBack, lose: func(w *world) { w.kill(w.hub()) }},
	} {
		w := newWorld(t, 30, 20, 21)
		w.useHubs()
		w.fault = c.fault
		w.give()
		w.run(2 * time.Second)
		if c.lose != nil {
			c.lose(w)
		}
		w.runToEnd()
		if w.state() != c.want || w.finalAt > testDuration {
			t.Errorf("%+v after %v, want %s; steps %+v", w.order.Status, w.finalAt, c.want, w.steps)
		}
		if c.want == StateRolledBack {
			w.checkBound()
		}
	}
}
