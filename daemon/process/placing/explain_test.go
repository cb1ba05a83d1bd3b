package placing

import (
	"log/slog"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against an explanation that names an upstream whose version the rollout excludes: here two
// versions of which the orders have not been read yet.
func TestExplanationKeepsToTheRollout(t *testing.T) {
	p := New(placement.New(placement.Options{VM: "vm-0", DataCentre: "dc-0"}), exchange.New("vm-0"), func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	p.SetRollouts(rollout.New(rollout.Options{VM: "vm-0", Incarnation: 1, ExposureShare: 0.01, RollbackTime: time.Second}))
	pool := &version.Pool{ID: version.NewPoolID("calls"), Name: "calls"}
	upstreams := make(map[version.UpstreamID]*version.Upstream)
	for _, software := range []string{"v1", "v2"} {
		id := version.NewUpstreamID(software)
		upstreams[id] = &version.Upstream{ID: id, Name: "i-" + software, Pool: pool.ID, DataCentre: "dc-0", Slots: 8, Software: software}
	}
	p.Configure(&version.Config{Number: 1, Pools: map[version.PoolID]*version.Pool{pool.ID: pool}, Upstreams: upstreams, Routes: &version.RouteTable{}})
	ticket := request.Ticket{Pool: pool.ID, Attempt: 1, Wait: time.Second}
	e := p.Explain(ticket)
	_, refusal := p.Acquire(t.Context(), ticket)
	if refusal == nil || e.Refusal == nil || *e.Refusal != *refusal {
		t.Errorf("a request gets %+v, the explanation says %+v", refusal, e.Refusal)
	}
	for _, u := range e.Upstreams {
		if u.Excluded != placement.ExcludedRollout {
			t.Errorf("%s is excluded for %q, want the rollout", u.Name, u.Excluded)
		}
	}
}
