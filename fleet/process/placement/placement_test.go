package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// fixture is a placer with one pool of engines, in virtual time.
type fixture struct {
	*Placer
	now    time.Time
	pool   version.PoolID
	nextID request.ID
}

const (
	// testTokensPerSecond is what each engine of a test adds to the token rate of the whole
	// fleet.
	testTokensPerSecond = 45_000
	testObjective       = 500 * time.Millisecond
)

func newFixture(engines int, change func(*version.Pool, map[version.UpstreamID]*version.Upstream)) *fixture {
	pool := &version.Pool{
		ID:     version.NewPoolID("model"),
		Name:   "model",
		Kind:   version.PoolModel,
		Engine: &version.Engine{BatchSize: 128, KVTokens: 330_000, EventTokens: 5},
	}
	upstreams := make(map[version.UpstreamID]*version.Upstream)
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		upstream := &version.Upstream{
			ID: version.NewUpstreamID(name), Name: name, Pool: pool.ID,
			DataCentre: version.DataCentreID(fmt.Sprintf("dc-%d", i%3)), Slots: 128,
		}
		upstreams[upstream.ID] = upstream
	}
	if change != nil {
		change(pool, upstreams)
	}
	f := &fixture{
		Placer: New(Options{
			VM:         "vm-0",
			DataCentre: "dc-0",
			Regions: map[version.DataCentreID]version.RegionID{
				"dc-0": "r-0", "dc-1": "r-1", "dc-2": "r-2",
			},
			ColdOverage: 1.5,
			ColdSlack:   5,
		}),
		now:  time.Unix(1000, 0),
		pool: pool.ID,
	}
	f.SetMembers(f.now.Add(-joinDelay), []version.VMID{"vm-0"})
	f.Configure(f.now, &version.Config{
		Number:    1,
		Pools:     map[version.PoolID]*version.Pool{pool.ID: pool},
		Upstreams: upstreams,
		Limits:    version.CallerLimits{TokensPerSecond: float64(engines) * testTokensPerSecond},
	})
	return f
}

// ticket returns a request whose prompt has a shared segment and a segment of its own, with
// the given numbers of tokens.
func (f *fixture) ticket(account version.AccountID, segment uint64, shared, own int) request.Ticket {
	f.nextID++
	return request.Ticket{
		ID:      f.nextID,
		Account: account,
		Pool:    f.pool,
		Attempt: 1,
		Prompt: &request.Prompt{
			Tokens:    shared + own,
			MaxOutput: 50,
			Segments:  []request.PromptSegment{{ID: segment, Tokens: shared}, {ID: 1<<40 + uint64(f.nextID), Tokens: own}},
		},
		TTFBObjective: testObjective,
		Wait:          4 * time.Second,
	}
}

func BenchmarkPlace(b *testing.B) {
	f := newFixture(90, nil)
	for account := range version.AccountID(30) {
		f.usage.add(f.now, account, 1000, 1000)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.now = f.now.Add(500 * time.Microsecond)
		grant, refusal := f.Place(f.now, f.ticket(version.AccountID(i%30), uint64(i%1000), 6000, 2800))
		if refusal == nil {
			f.RecordFirstByte(f.now, grant.ID, grant.Upstream, true, 0)
			f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
		}
	}
}
