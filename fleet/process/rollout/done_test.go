package rollout

import (
	"testing"
	"time"
)

// Guards against requests that are lost at old upstreams because the store accepts the write of done,
// and applies it only after it has answered nothing for seconds.
func TestDoneIsAppliedAfterAStallOfTheStore(t *testing.T) {
	done := 0
	for _, stall := range []time.Duration{1800 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		for i := range 20 {
			w := newWorld(t, 6, 6, uint64(i))
			w.perStep *= 2
			w.give()
			w.run(6500*time.Millisecond + time.Duration(i)*150*time.Millisecond)
			w.stalledUntil = w.now.Add(stall)
			w.run(stall + time.Second)
			if w.done {
				done++
			}
			if t.Failed() {
				t.Fatalf("store silent for %v, seed %d", stall, i)
			}
		}
	}
	if done == 0 {
		t.Error("no order was done after a stall")
	}
}
