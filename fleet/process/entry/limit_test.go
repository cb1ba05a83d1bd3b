package entry

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against state that grows with every upstream that ever named a limit.
func TestLimitsOfRemovedUpstreamsAreForgotten(t *testing.T) {
	e := New(Options{})
	now := time.Unix(1000, 0)
	kept := version.NewUpstreamID("engine-0")
	for _, id := range []version.UpstreamID{kept, version.NewUpstreamID("engine-1")} {
		e.ObserveLimit(now, 1, id, time.Millisecond, request.RateLimit{State: request.LimitNamed, PerSecond: 2})
	}
	e.Configure(&version.Config{Upstreams: map[version.UpstreamID]*version.Upstream{kept: {ID: kept}}})
	if _, known := e.limits[kept]; len(e.limits) != 1 || !known {
		t.Errorf("%d limits are known, that of the configured upstream: %v", len(e.limits), known)
	}
}
