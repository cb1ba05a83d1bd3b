package rollout

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// benchWorld returns a fleet in the canary of a version with a few failures.
func benchWorld(b *testing.B) *world {
	w := newWorld(&testing.T{}, 81, 100, 1)
	w.give()
	w.run(3 * time.Second)
	b.ResetTimer()
	return w
}

// BenchmarkRule measures what each attempt costs.
func BenchmarkRule(b *testing.B) {
	w := benchWorld(b)
	c := w.vms[1].Controller
	u := w.servers[0].Upstream
	for b.Loop() {
		c.Rule(w.now, request.Ticket{Pool: testPool, Attempt: 1})
		c.Permits(w.now, u)
		c.Sent(w.now, testPool, "a", u.ID)
		c.Ended(w.now, Sample{Pool: testPool, Route: "a", Upstream: u.ID, FirstByte: 60 * time.Millisecond, SentAt: w.now})
	}
}

// BenchmarkTick measures what ten of these a second cost: a report, and a judgement of a new failure.
func BenchmarkTick(b *testing.B) {
	w := benchWorld(b)
	c := w.vms[1].Controller
	u := w.servers[len(w.servers)-1].Upstream
	for b.Loop() {
		c.Sent(w.now, testPool, "a", u.ID)
		c.Ended(w.now, Sample{Pool: testPool, Route: "a", Upstream: u.ID, Failed: true, SentAt: w.now})
		c.Report(w.now)
		c.Tick(w.now)
		c.orders[testPool].condemned = ""
	}
}
