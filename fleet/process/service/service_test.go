package service_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var start = time.UnixMilli(0)

// history is what the sources of one account counted over time: each count of
// a source grows, so any two tallies made of it can meet in a fleet.
type history map[service.Source][]service.Count

func drawHistory(t *rapid.T) history {
	h := history{}
	for _, vm := range []version.VMID{"a", "b"} {
		for incarnation := range uint64(3) {
			count := service.Count{}
			for range rapid.IntRange(0, 3).Draw(t, "reports") {
				count.Charged += float64(rapid.IntRange(0, 50).Draw(t, "charged"))
				count.Returned += float64(rapid.IntRange(0, 9).Draw(t, "returned"))
				source := service.Source{VM: vm, Incarnation: incarnation + 1}
				h[source] = append(h[source], count)
			}
		}
	}
	return h
}

// drawTally returns a tally that saw part of a history and folded part of it.
func drawTally(t *rapid.T, h history) *service.Tally {
	tally := service.NewTally()
	for source, counts := range h {
		seen := rapid.IntRange(0, len(counts)).Draw(t, "seen")
		if seen > 0 {
			tally.Add(source, counts[seen-1])
		}
	}
	for _, vm := range []version.VMID{"a", "b"} {
		tally.Fold(vm, uint64(rapid.IntRange(0, 3).Draw(t, "fold")))
	}
	return tally
}

func merged(tallies ...*service.Tally) *service.Tally {
	all := service.NewTally()
	for _, tally := range tallies {
		all.Merge(tally)
	}
	return all
}

func same(t *rapid.T, law string, a, b *service.Tally) {
	t.Helper()
	if a.Sum() != b.Sum() || len(a.Wire()) != len(b.Wire()) || a.Len() != b.Len() {
		t.Fatalf("%s: %+v and %+v", law, a.Wire(), b.Wire())
	}
}

func TestTalliesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		a, b, c := drawTally(t, h), drawTally(t, h), drawTally(t, h)
		same(t, "commutative", merged(a, b), merged(b, a))
		same(t, "associative", merged(merged(a, b), c), merged(a, merged(b, c)))
		same(t, "idempotent", merged(a, a), a)
		same(t, "decoded", service.TallyFromWire(a.Wire()), a)
	})
}

// TestHomeSumNeverFalls feeds a home reports, restarts, restores and losses in
// any order.
func TestHomeSumNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := service.NewHome()
		now := start
		counts := map[service.Source]service.Count{}
		incarnation := map[version.VMID]uint64{"a": 1, "b": 1}
		last := service.Count{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			vm := rapid.SampledFrom([]version.VMID{"a", "b"}).Draw(t, "vm")
			source := service.Source{VM: vm, Incarnation: incarnation[vm]}
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				count := counts[source]
				count.Charged += float64(rapid.IntRange(0, 50).Draw(t, "charged"))
				counts[source] = count
				home.Report(now, source, service.Record{Account: 1, Count: count})
			case 2:
				incarnation[vm]++
			case 3:
				known := last
				known.Charged += float64(rapid.IntRange(0, 20).Draw(t, "more"))
				home.Restore(now, service.Record{Account: 1, Count: known})
			}
			home.Tick(now)
			sum := home.Sum(1)
			if sum.Charged < last.Charged || sum.Returned < last.Returned {
				t.Fatalf("sum fell from %+v to %+v", last, sum)
			}
			last = sum
		}
	})
}

// TestRestartsKeepWhatWasReported restarts sources often; the sum is exactly
// what was reported, in bounded state.
func TestRestartsKeepWhatWasReported(t *testing.T) {
	home := service.NewHome()
	now := start
	want := 0.0
	for incarnation := range uint64(500) {
		source := service.Source{VM: "a", Incarnation: incarnation + 1}
		home.Report(now, source, service.Record{Account: 1, Count: service.Count{Charged: 7}})
		want += 7
		now = now.Add(2 * time.Minute)
		home.Tick(now)
	}
	kept := home.Handover(1).Tally.Len()
	if sum := home.Sum(1); sum.Charged != want || kept > 2 {
		t.Fatalf("sum %+v of %v, %d counts kept", sum, want, kept)
	}
}

// TestLostHomeIsRestoredByAnotherDataCentre loses a home that knew a source
// that is gone.
func TestLostHomeIsRestoredByAnotherDataCentre(t *testing.T) {
	far := service.NewHome()
	before := service.Record{Account: 1, Count: service.Count{Charged: 1000, Returned: 10}}
	far.Exchange(start, "here", before)

	home := service.NewHome()
	live := service.Source{VM: "b", Incarnation: 1}
	home.Report(start, live, service.Record{Account: 1, Count: service.Count{Charged: 400, Returned: 4}})
	record, behind := far.Exchange(start, "here", home.Exchanges()[0])
	if !behind {
		t.Fatal("other data centre did not notice the loss")
	}
	home.Restore(start, record)
	home.Report(start, live, service.Record{Account: 1, Count: service.Count{Charged: 450, Returned: 4}})
	if sum := home.Sum(1); sum != (service.Count{Charged: 1050, Returned: 10}) {
		t.Fatalf("sum %+v", sum)
	}
	late := service.Source{VM: "c", Incarnation: 1}
	home.Report(start, late, service.Record{Account: 1, Count: service.Count{Charged: 300}})
	home.Report(start, late, service.Record{Account: 1, Count: service.Count{Charged: 310}})
	if sum := home.Sum(1); sum != (service.Count{Charged: 1060, Returned: 10}) {
		t.Fatalf("sum %+v after a late source that the restored sum had", sum)
	}
}

func hold(id request.ID) service.Hold {
	return service.Hold{Key: request.Key{Entry: "e", ID: id}, Attempt: 1}
}

func TestChargeFollowsTheCost(t *testing.T) {
	m := service.NewMeter()
	m.Grant(start, hold(1), request.Ticket{Account: 1, Estimate: 100})
	if net := m.Own(1).Net(); net != 100 {
		t.Fatalf("charged %v at the grant", net)
	}
	m.Progress(hold(1), 150)
	if net := m.Own(1).Net(); net < 150 || net > 300 {
		t.Fatalf("charged %v after 150", net)
	}
	m.Finish(hold(1), 180, request.OutcomeDone)
	m.Finish(hold(1), 180, request.OutcomeDone)
	if net := m.Own(1).Net(); net != 180 {
		t.Fatalf("charged %v at the end", net)
	}
	m.Grant(start, hold(2), request.Ticket{Account: 1, Estimate: 100})
	if net := m.Own(1).Net(); net != 360 {
		t.Fatalf("second grant charged %v instead of the mean 180", net-180)
	}
	m.Finish(hold(2), 50, request.OutcomeUnused)
	if net := m.Own(1).Net(); net != 180 {
		t.Fatalf("unused grant left %v", net)
	}
}

func word(home version.VMID, sequence uint64, elsewhere float64) service.Word {
	return service.Word{
		Home:      service.Source{VM: home},
		Sequence:  sequence,
		Elsewhere: service.Count{Charged: elsewhere},
	}
}

// TestAccountBackloggedElsewhereIsNotLifted joins a queue with a floor far
// above the account's level.
func TestAccountBackloggedElsewhereIsNotLifted(t *testing.T) {
	for _, contested := range []bool{false, true} {
		m := service.NewMeter()
		m.Join(start, 1, 1000)
		if level := m.Level(1); level != 1000 {
			t.Fatalf("level %v before the home spoke", level)
		}
		w := word("h", 1, 300)
		w.Contested = contested
		m.Hear(1, w)
		want := 1000.0
		if contested {
			want = 300
		}
		if level := m.Level(1); level != want {
			t.Fatalf("contested %v: level %v", contested, level)
		}
	}
}

func TestLargestLiftCounts(t *testing.T) {
	m := service.NewMeter()
	m.Join(start, 1, 50)
	w := word("h", 1, 300)
	w.Contested, w.Lift = true, 400
	m.Hear(1, w)
	if level := m.Level(1); level != 700 {
		t.Fatalf("level %v with a lift of 400 elsewhere", level)
	}
}

func TestOldWordOfAHomeIsIgnored(t *testing.T) {
	m := service.NewMeter()
	m.Hear(1, word("h", 2, 500))
	m.Hear(1, word("h", 1, 400))
	if level := m.Level(1); level != 500 {
		t.Fatalf("level %v", level)
	}
}

// TestIgnorantHomeDoesNoLastingHarm follows an account whose home knows nothing
// of other data centres for a while.
func TestIgnorantHomeDoesNoLastingHarm(t *testing.T) {
	m := service.NewMeter()
	m.Join(start, 1, 9000)
	ignorant := word("new", 1, 0)
	ignorant.Partial = true
	m.Hear(1, ignorant)
	if level := m.Level(1); level != 9000 {
		t.Fatalf("level %v, want the floor", level)
	}
	m.Hear(1, word("new", 2, 8500))
	if level := m.Level(1); level != 9000 {
		t.Fatalf("level %v once the home has learnt, want the floor still", level)
	}
	m.Leave(start, 1)
	later := start.Add(time.Minute)
	m.Join(later, 1, 8000)
	m.Hear(1, word("other", 1, 0))
	if level := m.Level(1); level != 8500 {
		t.Fatalf("level %v after the next idle time, want what was served", level)
	}
}

// TestNewHomeTellsNobodyUntilItKnows starts a home for an account that others
// have counted.
func TestNewHomeTellsNobodyUntilItKnows(t *testing.T) {
	source := service.Source{VM: "d", Incarnation: 1}
	waiting := service.Record{Account: 1, Count: service.Count{Charged: 10}, Backlogged: true}
	others := []version.DataCentreID{"far"}
	soon := start.Add(3 * time.Second)

	alone := service.NewHome()
	alone.Report(start, source, waiting)
	if words := alone.Words(soon, others, true); len(words) != 0 {
		t.Fatalf("words of a home that knows nothing: %+v", words)
	}
	told := service.NewHome()
	told.Report(start, source, waiting)
	told.Exchange(start, "far", service.Record{Account: 1, Count: service.Count{Charged: 90}})
	handed := service.NewHome()
	handed.TakeOver(start, told.Handover(1))
	handed.Report(start, source, waiting)
	for name, home := range map[string]*service.Home{"told": told, "handed": handed} {
		words := home.Words(soon, others, true)
		if len(words) != 1 || words[0].Record.Count.Charged != 90 {
			t.Errorf("words of a home that was %s: %+v", name, words)
		}
	}
}

// TestPacerStaysWithinItsBudget offers more than may be sent.
func TestPacerStaysWithinItsBudget(t *testing.T) {
	p := service.NewPacer()
	now := start
	sent := 0
	const seconds, perRecord = 100, 20
	for i := range seconds * 4 {
		now = now.Add(250 * time.Millisecond)
		var candidates []service.Candidate
		for account := range version.AccountID(200) {
			candidates = append(candidates, service.Candidate{To: "h", Record: service.Record{
				Account: account, Count: service.Count{Charged: float64(i + 1)}, Backlogged: true,
			}})
		}
		sent += len(p.Choose(now, candidates))
	}
	if bytes := sent * perRecord; bytes > (seconds+10)*service.BytesPerSecond {
		t.Fatalf("%d bytes in %d seconds", bytes, seconds)
	}
	if sent < 200 {
		t.Fatalf("only %d records sent", sent)
	}
}
