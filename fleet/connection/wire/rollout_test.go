package wire

import (
	"math"
	"reflect"
	"testing"
)

// Guards against reports on rollouts that are not understood, and against one of an order that takes
// more than a few KB.
func TestRolloutReportIsSmallAndSurvivesARoundTrip(t *testing.T) {
	counts := RolloutCounts{Ended: 1 << 16, Failed: 1 << 10, Timed: 1 << 16, Slow: 1 << 10}
	order := RolloutOrder{Key: math.MaxUint64, ElapsedMS: 12_000, Progress: 1, Condemned: "bad", Drained: 300, Requests: 1 << 30, Sent: 1 << 20}
	for i := range MaxRolloutRoutes {
		order.Routes = append(order.Routes, RolloutRoute{Route: math.MaxUint32 - uint32(i), New: counts, Old: counts})
	}
	for range MaxRolloutUpstreams {
		order.Upstreams = append(order.Upstreams, RolloutUpstream{Upstream: math.MaxUint32, Counts: counts})
	}
	want := []Message{RolloutReport{Incarnation: 7, VMs: 1, Orders: []RolloutOrder{order}}}
	frame, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	const limit = 5 << 10
	if len(frame) > limit {
		t.Errorf("a report of one order takes %d bytes, want %d at most", len(frame), limit)
	}
	got, err := Decode(frame)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v, %v", got, err)
	}
}
