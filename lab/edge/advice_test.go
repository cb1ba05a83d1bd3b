package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// arrivedSince returns how many requests arrived at an upstream, given by its index,
// after its first ones.
func (env *environment) arrivedSince(upstream, first int) int {
	return len(env.upstreams[upstream].Arrivals()) - first
}

// Guards against requests to an upstream that has given drain advice, even if the store
// still lists it as ready. The advice may come in any kind of answer, refusals and streams
// included.
func TestUpstreamGetsNoRequestsAfterDrainAdvice(t *testing.T) {
	for path, faults := range map[string]generalupstream.Faults{
		"/safe/x":   {DrainAdvice: true},
		"/stream/x": {DrainAdvice: true, Pause: time.Millisecond},
		"/unsafe/x": {DrainAdvice: true, Refuse: 1},
		"/open/x":   {DrainAdvice: true, Fail: 1},
	} {
		env := start(t, 2, nil)
		env.upstreams[0].SetFaults(faults)
		for i := 0; len(env.upstreams[0].Arrivals()) == 0; i++ {
			env.do(call{path: path, id: "first" + strconv.Itoa(i)})
		}
		env.register(env.upstreams[0], "calls", platformtest.StateReady)
		before := len(env.upstreams[0].Arrivals())
		for i := range 20 {
			if got := env.do(call{path: "/safe/x", id: "later" + strconv.Itoa(i)}); got.status != http.StatusOK {
				t.Errorf("%s: status %d of a request after the drain advice, want 200", path, got.status)
			}
		}
		if arrived := env.arrivedSince(0, before); arrived != 0 {
			t.Errorf("%s: %d requests arrived after the drain advice, want none", path, arrived)
		}
		env.stop()
	}
}

// Guards against drain advice from an answer that belongs to another request, and so
// perhaps to another process.
func TestDrainAdviceInAnotherRequestsAnswerIsIgnored(t *testing.T) {
	env := start(t, 1, nil)
	env.upstreams[0].SetFaults(generalupstream.Faults{DrainAdvice: true, WrongID: 1})
	env.do(call{path: "/unsafe/x", id: "crossed"})
	env.upstreams[0].SetFaults(generalupstream.Faults{})
	if got := env.do(call{path: "/safe/x", id: "after"}); got.status != http.StatusOK {
		t.Errorf("status %d after drain advice in an answer with a wrong identifier, want 200", got.status)
	}
}

// Guards against requests to an upstream during a pause that it has asked for, and against
// holding callers that can get the end of the pause in Retry-After instead.
func TestUpstreamGetsNoRequestsDuringItsPause(t *testing.T) {
	env := start(t, 1, nil)
	const pause = 1500 * time.Millisecond
	env.setFaults(generalupstream.Faults{Refuse: 1, RefusePause: pause})
	refusedAt := time.Now()
	got := env.do(call{path: "/safe/x", id: "turned-away"})
	if got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d of the request that the upstream refused, want 503", got.status)
	}
	for i := range 10 {
		got := env.do(call{path: "/safe/x", id: "during" + strconv.Itoa(i)})
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || after <= 0.1 || after > pause.Seconds()+0.25 {
			t.Errorf("status %d, Retry-After %q during the pause, want 503 and the rest of the pause in seconds", got.status, got.header.Get("Retry-After"))
		}
	}
	if elapsed := time.Since(refusedAt); elapsed > time.Second {
		t.Errorf("10 refusals took %v, want at most 1 s", elapsed)
	}
	if arrived := len(env.upstreams[0].Arrivals()); arrived != 1 {
		t.Errorf("%d requests arrived before the pause was over, want 1", arrived)
	}
	env.eventually("the upstream is used again", func() bool { return env.status("/safe/x") == http.StatusOK })
	if sinceRefusal := env.upstreams[0].Arrivals()[1].At.Sub(refusedAt); sinceRefusal < pause {
		t.Errorf("the next request arrived %v after the refusal, within the pause of %v", sinceRefusal, pause)
	}
}
