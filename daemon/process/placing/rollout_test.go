package placing

import (
	"log/slog"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// Guards against a good version that is rolled back for the slowness of VMs: of 216 responses in the
// shift 55 were slow on a busy machine, which no response of the old version showed at that time.
func TestTimesOfAVMThatIsBehindAreNotPutDownToAVersion(t *testing.T) {
	const pool = version.PoolID(1)
	for lag, want := range map[time.Duration]uint64{0: 1, maxTrustedLag: 1, maxTrustedLag + time.Millisecond: 0} {
		p := New(placement.New(placement.Options{VM: "vm"}), exchange.New("vm"), func() time.Duration { return lag }, slog.New(slog.DiscardHandler))
		p.SetRollouts(rollout.New(rollout.Options{VM: "vm", Incarnation: 1, ExposureShare: 0.1, RollbackTime: 5 * time.Second}))
		p.SetMembers([]exchange.Member{{VM: "vm"}})
		config := &version.Config{
			Pools:     map[version.PoolID]*version.Pool{pool: {ID: pool, Name: "calls"}},
			Upstreams: map[version.UpstreamID]*version.Upstream{},
		}
		for id, software := range map[version.UpstreamID]string{1: "v1", 2: "v2"} {
			config.Upstreams[id] = &version.Upstream{ID: id, Name: software, Pool: pool, Software: software}
		}
		p.Configure(config)
		order := rollout.Order{
			Pool: pool, Service: "calls", Software: "v2", Duration: time.Minute, Created: 1, At: storeera.Position{Revision: 1},
			Status: rollout.Status{State: rollout.StateRunning, Software: "v2", Phase: rollout.PhaseCanary},
		}
		p.SetOrders([]rollout.Order{order}, order.At, clock.Boot())
		end := func(id version.UpstreamID, firstByte time.Duration) {
			p.rollouts.Sent(clock.Boot(), pool, "route", id)
			p.EndAttempt(rollout.Sample{Pool: pool, Route: "route", Upstream: id, SentAt: clock.Boot(), FirstByte: firstByte})
		}
		behind := lag
		lag = 0
		for range 20 {
			end(1, 40*time.Millisecond)
		}
		lag = behind
		end(2, 400*time.Millisecond)
		list, _ := p.Rollouts()
		if len(list) != 1 || list[0].Ended != 1 || list[0].Slow != want {
			t.Errorf("lag %v: %+v, want one response, %d slow", lag, list, want)
		}
	}
}
