package placement

import (
	"math"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// plainFixture is a placer with a plain service of the given number of upstreams, all in its own data
// centre.
func plainFixture(upstreams int) *fixture {
	return newFixture(upstreams, func(pool *version.Pool, list map[version.UpstreamID]*version.Upstream) {
		pool.Engine = nil
		for _, u := range list {
			u.Slots, u.DataCentre = 8, "dc-0"
		}
	})
}

// place places a request of 1,000 tokens and ends it at once.
func (f *fixture) place(t *testing.T) request.Grant {
	t.Helper()
	grant, refusal := f.Place(f.now, f.ticket(1, uint64(f.nextID), 0, 1000))
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeCancelled})
	return grant
}

// Guards against ignoring the pace that an upstream reports, in an answer or through another VM: an
// upstream on a slow machine got the same requests as the others, of engines and of plain services.
// Guards too against believing an old pace.
func TestReportedPaceChangesTheChoiceWhileItIsNew(t *testing.T) {
	for name, newFixture := range map[string]func() *fixture{
		"engines": func() *fixture { return newFixture(3, nil) },
		"plain":   func() *fixture { return plainFixture(3) },
	} {
		for source, tell := range map[string]func(*fixture, version.UpstreamID, int){
			"answer": func(f *fixture, id version.UpstreamID, percent int) {
				f.RecordLoad(f.now, id, request.Load{Running: 1, Slots: 8, PacePercent: percent})
			},
			"other VM": func(f *fixture, id version.UpstreamID, percent int) {
				f.ReceivePaces(f.now, wire.PaceReport{Upstreams: []wire.UpstreamPace{wire.NewUpstreamPace(id, percent, 20*time.Millisecond)}})
			},
		} {
			f := newFixture()
			best := f.place(t)
			if again := f.place(t); again.Upstream != best.Upstream {
				t.Fatalf("%s: the choice changes by itself", name)
			}
			tell(f, best.Upstream, 250)
			if grant := f.place(t); grant.Upstream == best.Upstream {
				t.Errorf("%s, told by %s: the slow upstream is chosen", name, source)
			}
			f.now = f.now.Add(paceTTL)
			if grant := f.place(t); grant.Upstream != best.Upstream || grant.PredictedTTFB != best.PredictedTTFB {
				t.Errorf("%s, told by %s: a pace of a second ago still counts", name, source)
			}
		}
	}
}

// Guards against taking an old pace for new because it arrives late, and against ages that clocks of
// other VMs would give.
func TestNewestPaceCounts(t *testing.T) {
	f := newFixture(1, nil)
	id := f.place(t).Upstream
	f.RecordLoad(f.now, id, request.Load{PacePercent: 250})
	f.now = f.now.Add(10 * time.Millisecond)
	told := func(percent int, age time.Duration) {
		f.ReceivePaces(f.now, wire.PaceReport{Upstreams: []wire.UpstreamPace{wire.NewUpstreamPace(id, percent, age)}})
	}
	told(100, 30*time.Millisecond)
	told(100, time.Hour)
	if known := f.Paces(f.now); len(known) != 1 || known[0].Percent != 250 || known[0].Age != 10*time.Millisecond || known[0].Factor < 2.4 {
		t.Errorf("%+v after an older report", known)
	}
	told(100, 5*time.Millisecond)
	if known := f.Paces(f.now); len(known) != 1 || known[0].Percent != 100 || known[0].Factor != 1 {
		t.Errorf("%+v after a newer report", known)
	}
}

// answerAfter places requests of 1,000 tokens, 50 a second, whose answers take slowdown times the
// usual time and report a pace, and returns the last predicted TTFB in units of the usual one.
func answerAfter(t *testing.T, f *fixture, requests int, slowdown float64, percent func(i int) int) float64 {
	usual := baseTTFB + time.Duration(1000*float64(time.Second)/f.prefillRate(f.config.Pools[f.pool]))
	ratio := 0.0
	for i := range requests {
		grant, refusal := f.Place(f.now, f.ticket(1, uint64(f.nextID), 0, 1000))
		if refusal != nil {
			t.Fatalf("refused: %v, predicted TTFB %v", refusal, refusal.PredictedTTFB)
		}
		ratio = float64(grant.PredictedTTFB) / float64(usual)
		f.now = f.now.Add(time.Duration(slowdown * float64(usual)))
		if p := percent(i); p > 0 {
			f.RecordLoad(f.now, grant.Upstream, request.Load{Running: 1, Slots: 8, PacePercent: p})
		}
		f.RecordFirstByte(f.now, grant.ID, grant.Upstream, true, 0)
		f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
	}
	return ratio
}

func always(percent int) func(int) int { return func(int) int { return percent } }

// Guards against counting a slowness twice that the measured slowdown contains already, in a slow
// spell and after it.
func TestSlownessIsCountedOnce(t *testing.T) {
	f := newFixture(1, nil)
	for _, phase := range []struct {
		requests int
		pace     float64
	}{{20, 1}, {1, 2.5}, {3, 2.5}, {20, 2.5}, {1, 1}, {3, 1}, {20, 1}} {
		ratio := answerAfter(t, f, phase.requests, phase.pace, always(int(100*phase.pace)))
		if phase.requests > 1 && (ratio < 0.75*phase.pace || ratio > 1.35*phase.pace) {
			t.Errorf("%d answers into a pace of %.1f the prediction is %.2f of the usual one", phase.requests, phase.pace, ratio)
		}
	}
}

// Guards against an upstream that is starved or flooded because it reports a false pace: a constant
// figure soon says nothing, and no figure has an effect beyond its bounds.
func TestFalsePaceHasABoundedEffect(t *testing.T) {
	for _, percent := range []int{1, 50, 400, math.MaxInt32} {
		f := newFixture(1, nil)
		if ratio := answerAfter(t, f, 2, 1, always(percent)); ratio < 0.7 || ratio > maxPace {
			t.Errorf("pace %d at first makes the prediction %.2f of the usual one", percent, ratio)
		}
		if ratio := answerAfter(t, f, 40, 1, always(percent)); ratio < 0.85 || ratio > 1.2 {
			t.Errorf("after 42 answers pace %d makes the prediction %.2f of the usual one", percent, ratio)
		}
	}
	f := newFixture(1, nil)
	lies := func(i int) int { return []int{1, math.MaxInt32}[i%2] }
	for range 20 {
		if ratio := answerAfter(t, f, 3, 1, lies); ratio < 1.0/maxPace || ratio > maxPace {
			t.Errorf("paces that change at random make the prediction %.2f of the usual one", ratio)
		}
	}
}

// Guards against reports that grow where no upstream reports a pace, and against telling as own what
// another VM has told.
func TestOnlyOwnPacesAreReported(t *testing.T) {
	f := newFixture(2, nil)
	id := f.place(t).Upstream
	f.RecordLoad(f.now, id, request.Load{Running: 1, Slots: 8})
	f.ReceivePaces(f.now, wire.PaceReport{Upstreams: []wire.UpstreamPace{wire.NewUpstreamPace(id, 200, 0)}})
	if report := f.PaceReport(f.now); len(report.Upstreams) > 0 {
		t.Errorf("reports %+v without an answer that reports a pace", report)
	}
	f.RecordLoad(f.now, id, request.Load{PacePercent: 130})
	f.now = f.now.Add(40 * time.Millisecond)
	report := f.PaceReport(f.now)
	if len(report.Upstreams) != 1 || report.Upstreams[0] != wire.NewUpstreamPace(id, 130, 40*time.Millisecond) {
		t.Errorf("reports %+v", report)
	}
	if report := f.PaceReport(f.now.Add(ownPaceTTL)); len(report.Upstreams) > 0 {
		t.Errorf("reports %+v, which is old", report)
	}
}
