package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// arrivedSince returns how many requests an upstream got after its first ones.
func (w *world) arrivedSince(upstream, first int) int {
	return len(w.upstreams[upstream].Arrivals()) - first
}

// Guards against requests to an upstream whose answers say that it leaves, whatever the
// store says of it: in answers of each kind, refusals and streams among them.
func TestAnUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, faults := range map[string]generalupstream.Faults{
		"/safe/x":   {Leaving: true},
		"/stream/x": {Leaving: true, Pause: time.Millisecond},
		"/unsafe/x": {Leaving: true, Refuse: 1},
		"/open/x":   {Leaving: true, Fail: 1},
	} {
		w := start(t, 2, nil)
		w.upstreams[0].SetFaults(faults)
		for i := 0; len(w.upstreams[0].Arrivals()) == 0; i++ {
			w.do(call{path: name, id: "first" + strconv.Itoa(i)})
		}
		w.register(w.upstreams[0], "calls", platformtest.Ready)
		before := len(w.upstreams[0].Arrivals())
		for i := range 20 {
			if got := w.do(call{path: "/safe/x", id: "later" + strconv.Itoa(i)}); got.status != http.StatusOK {
				t.Errorf("%s: status %d", name, got.status)
			}
		}
		if more := w.arrivedSince(0, before); more != 0 {
			t.Errorf("%s: %d requests came after the upstream had said that it leaves", name, more)
		}
		w.stop()
	}
}

// Guards against taking word for an upstream that is not its own, or that says something
// else.
func TestOddWordsOfLeavingChangeNothing(t *testing.T) {
	w := start(t, 1, nil)
	w.upstreams[0].SetFaults(generalupstream.Faults{Leaving: true, Cross: 1})
	w.do(call{path: "/unsafe/x", id: "crossed"})
	w.upstreams[0].SetFaults(generalupstream.Faults{})
	if got := w.do(call{path: "/safe/x", id: "after"}); got.status != http.StatusOK {
		t.Errorf("status %d after word in another request's answer", got.status)
	}
}

// Guards against requests during a pause that an upstream has asked for, and against
// holding callers who can be told when it ends.
func TestAnUpstreamThatAsksForAPauseGetsNoneUntilItsEnd(t *testing.T) {
	w := start(t, 1, nil)
	const pause = 1500 * time.Millisecond
	w.setFaults(generalupstream.Faults{Refuse: 1, RefusePause: pause})
	asked := time.Now()
	got := w.do(call{path: "/safe/x", id: "turned-away"})
	if got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", got.status)
	}
	for i := range 10 {
		got := w.do(call{path: "/safe/x", id: "during" + strconv.Itoa(i)})
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || after <= 0.1 || after > pause.Seconds()+0.25 {
			t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
	if took := time.Since(asked); took > time.Second {
		t.Errorf("refusals took %v together", took)
	}
	if came := len(w.upstreams[0].Arrivals()); came != 1 {
		t.Errorf("%d requests came before the pause was over", came)
	}
	w.eventually("used again", func() bool { return w.status("/safe/x") == http.StatusOK })
	if early := w.upstreams[0].Arrivals()[1].At.Sub(asked); early < pause {
		t.Errorf("used again after %v of %v", early, pause)
	}
}
