package placement

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against explanations that change what requests get afterwards: by the usage or demand that
// they record, the random source, the state of long or of displaced prompts, the time of the fair share
// or of the limit sum, or the engines of a software rule.
func TestExplanationsChangeNoDecision(t *testing.T) {
	for _, pool := range []struct {
		engines int
		fixture func(int) *fixture
	}{{6, engineFixture}, {90, engineFixture}, {90, plainFixture}} {
		engines := pool.engines
		plain, explained := pool.fixture(engines).skew(), pool.fixture(engines)
		explained.Configure(explained.now, plain.config)
		// The random sources exist before the states are compared.
		plain.rand()
		explained.rand()
		limited := explained.upstreamsByPool[explained.pool][0].ID
		refused := 0
		for n := range 1500 {
			var grants [2]string
			for i, f := range []*fixture{plain, explained} {
				f.now = f.now.Add(700 * time.Microsecond)
				f.nextID = request.ID(n)
				ticket := f.ticket(version.AccountID(n%7), uint64(n%40), 6000, 500+3500*(n%2))
				if n%5 == 0 {
					ticket.Rule = request.SoftwareRule{Except: []string{"v1.1"}}
				}
				if n%20 == 0 {
					id := f.upstreamsByPool[f.pool][n/20%engines].ID
					f.ReceiveReport(f.now, "vm-1", wire.LoadReport{Upstreams: []wire.UpstreamLoad{{
						Upstream: id, Running: 3, PendingPromptTokens: 900, UncachedPromptTokens: uint64(n) * 100,
					}}}, true)
					f.RecordAdvice(f.now, limited, f.now, request.Advice{Limit: request.RateLimit{State: request.LimitNamed, PerSecond: 20}})
				}
				grant, refusal := f.Place(f.now, ticket)
				grants[i] = fmt.Sprintf("%+v %+v", grant, refusal)
				if refusal != nil {
					refused++
				} else if n%3 > 0 {
					f.RecordFirstByte(f.now, grant.ID, grant.Upstream, true, 0)
					f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
				}
			}
			for k := range 3 {
				other := explained.ticket(version.AccountID(k*n%11), uint64(k), 8000, 12000*k)
				if k > 0 {
					other.Rule = request.SoftwareRule{Only: "v1.1", Among: []version.UpstreamID{limited}}
				}
				explained.Explain(explained.now.Add(time.Duration(k)*300*time.Microsecond), other)
			}
			if !reflect.DeepEqual(plain.demand, explained.demand) || !reflect.DeepEqual(plain.longPrompts, explained.longPrompts) ||
				!reflect.DeepEqual(plain.displaced, explained.displaced) || *plain.randomState != *explained.randomState ||
				!maps.Equal(plain.ruledEngines, explained.ruledEngines) || plain.usage.computedAt != explained.usage.computedAt ||
				!plain.limitSum.receivedAt.Equal(explained.limitSum.receivedAt) {
				t.Fatalf("%d engines: the explanations after request %d change the state of the placer", engines, n)
			}
			if grants[0] != grants[1] {
				t.Fatalf("%d engines: request %d gets %s without explanations and %s with them", engines, n, grants[0], grants[1])
			}
		}
		if len(plain.usage.byAccount) != len(explained.usage.byAccount) {
			t.Errorf("%d engines: %d accounts with explanations, want %d", engines, len(explained.usage.byAccount), len(plain.usage.byAccount))
		}
		t.Logf("%d engines: %d of 3000 requests refused", engines, refused)
	}
}

func engineFixture(engines int) *fixture { return newFixture(engines, nil) }

// Guards against an explanation that names another upstream or refusal than the next request gets,
// also in a large pool, where a plain service is drawn, and at a VM without any demand whose quota of a
// limit would be none.
func TestExplanationForetellsTheDecision(t *testing.T) {
	for _, pool := range []struct {
		engines int
		fixture func(int) *fixture
	}{{6, engineFixture}, {90, engineFixture}, {6, plainFixture}, {90, plainFixture}} {
		engines, f := pool.engines, pool.fixture(pool.engines)
		refused, drawn := 0, 0
		for _, u := range f.upstreamsByPool[f.pool] {
			f.RecordAdvice(f.now, u.ID, f.now, request.Advice{Limit: request.RateLimit{State: request.LimitNamed, PerSecond: 10}})
		}
		for n := range 30 * engines {
			f.now = f.now.Add(time.Millisecond)
			if n%10 == 0 {
				f.setPeer(f.upstreamsByPool[f.pool][n/10%engines].ID)
			}
			ticket := f.ticket(version.AccountID(n%5), uint64(n%9), 6000, 2500)
			e := f.Explain(f.now, ticket)
			grant, refusal := f.Place(f.now, ticket)
			if e.Chosen != grant.Upstream || e.PredictedTTFB != grant.PredictedTTFB {
				t.Fatalf("%d engines: request %d goes to %d, the explanation names %d", engines, n, grant.Upstream, e.Chosen)
			}
			if (refusal == nil) != (e.Refusal == nil) || refusal != nil && *refusal != *e.Refusal {
				t.Fatalf("%d engines: request %d gets %+v, the explanation says %+v", engines, n, refusal, e.Refusal)
			}
			if refusal != nil {
				refused++
			}
			chances := 0.0
			for _, u := range e.Upstreams {
				chances += u.Chance
				if u.Upstream == e.Chosen && u.Chance > 0 {
					drawn++
				}
			}
			if chances != 0 && math.Abs(chances-1) > 1e-9 {
				t.Fatalf("%d engines: the chances of request %d add up to %g", engines, n, chances)
			}
			if len(e.Upstreams) != engines || e.Omitted != 0 {
				t.Fatalf("%d engines: %d upstreams are explained, %d omitted", engines, len(e.Upstreams), e.Omitted)
			}
		}
		if refused == 0 || refused == 30*engines {
			t.Errorf("%d engines: %d requests refused, want some", engines, refused)
		}
		if isPlain := f.config.Pools[f.pool].Engine == nil; isPlain != (drawn > 0) {
			t.Errorf("%d engines: plain service %t, %d requests drawn", engines, isPlain, drawn)
		}
	}
}

// Guards against a wrong reason for an upstream that is not considered, parts that do not add up to
// the cost, and ages that are missing.
func TestExplanationNamesCauseAndCost(t *testing.T) {
	f := newFixture(9, nil)
	config := *f.config
	config.Upstreams = maps.Clone(config.Upstreams)
	pool := slices.Clone(f.upstreamsByPool[f.pool])
	change := func(i int, edit func(*version.Upstream)) {
		spec := *config.Upstreams[pool[i].ID]
		edit(&spec)
		config.Upstreams[spec.ID] = &spec
	}
	change(0, func(u *version.Upstream) { u.Draining = true })
	config.Out.Upstreams = []version.UpstreamID{pool[1].ID}
	change(2, func(u *version.Upstream) { u.Software = "v2" })
	f.Configure(f.now, &config)
	f.RecordAdvice(f.now, pool[3].ID, f.now, request.Advice{Leaving: true})
	f.RecordAdvice(f.now, pool[4].ID, f.now, request.Advice{Pause: 3 * time.Second})
	f.RecordCrash(f.now, pool[5].ID)
	f.RecordAdvice(f.now, pool[6].ID, f.now, request.Advice{Limit: request.RateLimit{State: request.LimitNamed, PerSecond: 0.001}})
	f.upstreams[pool[6].ID].sends.Record(f.now)
	f.RecordLoad(f.now, pool[8].ID, request.Load{Running: 2, Slots: 128, PacePercent: 250})
	f.setPeer(pool[8].ID)
	f.now = f.now.Add(100 * time.Millisecond)
	ticket := f.ticket(1, 7, 4000, 400)
	ticket.Rule = request.SoftwareRule{Except: []string{"v2"}}
	ticket.Avoided = []version.UpstreamID{pool[7].ID}
	e := f.Explain(f.now, ticket)
	want := []Exclusion{
		ExcludedDraining, ExcludedOutOfService, ExcludedRollout, ExcludedLeaving, ExcludedPaused, ExcludedUnhealthy,
		ExcludedNamedLimit, ExcludedAvoided, "",
	}
	for _, u := range e.Upstreams {
		i := slices.IndexFunc(pool, func(known *upstream) bool { return known.ID == u.Upstream })
		if u.Excluded != want[i] {
			t.Errorf("upstream %d is excluded for %q, want %q", i, u.Excluded, want[i])
		}
		if sum := u.Queue + u.Prefill + u.Overhead + u.Network; sum != u.TTFB {
			t.Errorf("upstream %d: parts of the time to first byte are %v, the whole is %v", i, sum, u.TTFB)
		}
		if sum := u.TTFB + u.UncachedPenalty + u.FailurePenalty + u.RegionPenalty + u.LoadPenalty; sum != u.Score {
			t.Errorf("upstream %d: parts of the score are %v, the whole is %v", i, sum, u.Score)
		}
	}
	best := e.Upstreams[0]
	if e.Chosen != pool[8].ID || best.Upstream != e.Chosen || best.TTFBLimit <= 0 || best.PacePercent != 250 || best.PaceAge != 100*time.Millisecond ||
		best.LoadAge == nil || *best.LoadAge != 100*time.Millisecond || best.PeerAge == nil || best.Peers != 3 || best.Slowness <= 1 {
		t.Errorf("the chosen upstream is explained as %+v", best)
	}
}

// setPeer records that another VM has 3 requests at an upstream.
func (f *fixture) setPeer(id version.UpstreamID) {
	f.ReceiveReport(f.now, "vm-1", wire.LoadReport{Upstreams: []wire.UpstreamLoad{{Upstream: id, Running: 3}}}, true)
}

// Guards against an explanation of a huge pool that holds up the decisions of requests, and against one
// that leaves state of a pool without requests.
func TestExplanationIsBounded(t *testing.T) {
	f := newFixture(400, nil)
	e := f.Explain(f.now, f.ticket(1, 7, 4000, 400))
	if len(e.Upstreams) != MaxExplained || e.Omitted != 400-MaxExplained {
		t.Errorf("%d upstreams are explained and %d omitted, want %d and %d", len(e.Upstreams), e.Omitted, MaxExplained, 400-MaxExplained)
	}
	if len(f.displaced)+len(f.demand)+len(f.longPrompts)+len(f.usage.byAccount) > 0 {
		t.Errorf("an explanation leaves %d displaced, %d demand, %d long prompts and %d accounts, want none",
			len(f.displaced), len(f.demand), len(f.longPrompts), len(f.usage.byAccount))
	}
}

func BenchmarkExplain(b *testing.B) {
	f := newFixture(400, nil)
	for account := range version.AccountID(30) {
		f.usage.add(f.now, account, 1000, 1000)
	}
	ticket := f.ticket(1, 7, 6000, 2800)
	b.ReportAllocs()
	for b.Loop() {
		f.Explain(f.now, ticket)
	}
}
