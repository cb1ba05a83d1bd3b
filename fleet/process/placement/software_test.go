package placement

import (
	"maps"
	"slices"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// skewed returns a fixture whose upstreams have two software versions, by turns.
func skewed(t *testing.T, upstreams int) *fixture {
	t.Helper()
	return newFixture(upstreams, nil).skew()
}

// skew lets every second upstream run another software version.
func (f *fixture) skew() *fixture {
	config := *f.config
	config.Number++
	config.Upstreams = maps.Clone(config.Upstreams)
	i := 0
	for id, upstream := range config.Upstreams {
		spec := *upstream
		spec.Software = []string{"v1", "v1.1"}[i%2]
		config.Upstreams[id] = &spec
		i++
	}
	f.config = &config
	f.Configure(f.now, &config)
	return f
}

// Guards against a stream that a caller takes up and that goes on at another software version,
// also when its own version is full, against one that is refused for the objective of a first
// event that the caller has, and against new streams at a version that not all VMs know of.
func TestTakenUpStreamsArePlacedAtTheirSoftwareVersion(t *testing.T) {
	f := skewed(t, 8)
	f.SetStreamVersions(map[version.PoolID][]string{f.pool: {"v1"}})
	for n := range 200 {
		ticket := request.Ticket{ID: request.ID(n + 1), Pool: f.pool, Attempt: 1, Resumable: true}
		want := "v1"
		if n%2 == 0 {
			ticket.Software, want = "v1.1", "v1.1"
		}
		grant, refusal := f.Place(f.now, ticket)
		if refusal != nil {
			continue
		}
		if got := f.config.Upstreams[grant.Upstream].Software; got != want {
			t.Fatalf("ticket %d is placed at version %s, want %s", n, got, want)
		}
	}
	_, refusal := f.Place(f.now, request.Ticket{ID: 1000, Pool: f.pool, Attempt: 1, Resumable: true, Software: "v2"})
	if refusal == nil || refusal.Execution != request.NotExecuted || refusal.RetryAfter <= 0 {
		t.Errorf("a stream of a version without upstreams gets %+v, want a refusal with a time to return", refusal)
	}
	if _, refusal := f.Place(f.now, request.Ticket{ID: 1001, Pool: f.pool, Attempt: 1}); refusal != nil {
		t.Errorf("a request that nobody takes up is refused: %+v", refusal)
	}
}

// Guards against requests that reach a version which a rollout keeps them from, also in a large pool
// of which only a sample is assessed, and against requests that are refused because no canary takes
// them.
func TestSoftwareRuleIsKept(t *testing.T) {
	for _, upstreams := range []int{8, 120} {
		f := skewed(t, upstreams)
		var canary []version.UpstreamID
		for id, u := range f.config.Upstreams {
			if u.Software == "v1.1" && len(canary) < 2 {
				canary = append(canary, id)
			}
		}
		toCanary := request.SoftwareRule{Only: "v1.1", Among: canary}
		place := func(rule request.SoftwareRule) *version.Upstream {
			t.Helper()
			ticket := f.ticket(1, 7, 1000, 10)
			ticket.Rule = rule
			grant, refusal := f.Place(f.now, ticket)
			if refusal != nil {
				t.Fatalf("%d upstreams: rule %+v: refused: %+v", upstreams, rule, refusal)
			}
			f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
			return f.config.Upstreams[grant.Upstream]
		}
		for range 40 {
			if u := place(request.SoftwareRule{Except: []string{"v1.1"}}); u.Software != "v1" {
				t.Fatalf("%d upstreams: placed at the excluded version", upstreams)
			}
			if got, want := f.prefillRate(f.config.Pools[f.pool]), prefillRateFactor*testTokensPerSecond*2; got != want {
				t.Fatalf("%d upstreams: prefill rate %v while a version is excluded, want %v", upstreams, got, want)
			}
			if u := place(toCanary); !slices.Contains(canary, u.ID) {
				t.Fatalf("%d upstreams: a request for the canary is placed at %s", upstreams, u.Name)
			}
		}
		for _, id := range canary {
			f.RecordCrash(f.now, id)
		}
		if u := place(toCanary); u.Software != "v1" {
			t.Errorf("%d upstreams: a request that no canary takes is placed at version %s", upstreams, u.Software)
		}
		ticket := f.ticket(1, 7, 1000, 10)
		ticket.Rule = request.SoftwareRule{Only: "v1.1", Except: []string{"v1.1"}}
		if _, refusal := f.Place(f.now, ticket); refusal == nil || refusal.RetryAfter <= 0 {
			t.Errorf("%d upstreams: a request that no version may run gets %+v, want a refusal", upstreams, refusal)
		}
	}
}
