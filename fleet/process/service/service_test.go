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

// history holds the successive counts of each source of one account. The counts
// of a source never decrease, so that any two tallies drawn from the same
// history can meet in a fleet.
type history map[service.Source][]service.Count

// drawHistory returns a history of two VMs with three incarnations each.
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

// drawTally returns a tally with some of a history's counts, some of them
// folded.
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

// mergedTally returns a new tally with the counts of all given ones.
func mergedTally(tallies ...*service.Tally) *service.Tally {
	all := service.NewTally()
	for _, tally := range tallies {
		all.Merge(tally)
	}
	return all
}

// checkSame fails the test unless two tallies have the same sum and size.
func checkSame(t *rapid.T, law string, a, b *service.Tally) {
	t.Helper()
	if a.Sum() != b.Sum() || len(a.Wire()) != len(b.Wire()) || a.Len() != b.Len() {
		t.Fatalf("%s: tallies differ: %+v and %+v", law, a.Wire(), b.Wire())
	}
}

// Reports and handovers arrive late, repeated and in any order; if the order
// mattered, homes would disagree on an account's sum.
func TestTalliesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		a, b, c := drawTally(t, h), drawTally(t, h), drawTally(t, h)
		checkSame(t, "commutative", mergedTally(a, b), mergedTally(b, a))
		checkSame(t, "associative", mergedTally(mergedTally(a, b), c), mergedTally(a, mergedTally(b, c)))
		checkSame(t, "idempotent", mergedTally(a, a), a)
		checkSame(t, "decoded", service.TallyFromWire(a.Wire()), a)
	})
}

// A sum that falls would look like lost state to other data centres. The
// test feeds a home reports, source restarts, restored sums and elapsed time in
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
				restored := last
				restored.Charged += float64(rapid.IntRange(0, 20).Draw(t, "more"))
				home.Restore(now, service.Record{Account: 1, Count: restored})
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

// Counts of former incarnations must neither be lost nor accumulate as state
// when a source restarts often.
func TestSourceRestartsKeepReportedCounts(t *testing.T) {
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
	countsHeld := home.Handover(1).Tally.Len()
	if sum := home.Sum(1); sum.Charged != want || countsHeld > 2 {
		t.Fatalf("sum %+v, want %v charged; %d counts held, want at most 2", sum, want, countsHeld)
	}
}

// A home that restarts loses the counts of sources that no longer exist. The
// sum that another data centre knows must restore them, without counting a late
// source twice.
func TestLostHomeIsRestoredByAnotherDataCentre(t *testing.T) {
	remote := service.NewHome()
	before := service.Record{Account: 1, Count: service.Count{Charged: 1000, Returned: 10}}
	remote.MergeDataCentreSum(start, "here", before)

	home := service.NewHome()
	live := service.Source{VM: "b", Incarnation: 1}
	home.Report(start, live, service.Record{Account: 1, Count: service.Count{Charged: 400, Returned: 4}})
	record, behind := remote.MergeDataCentreSum(start, "here", home.DataCentreSums()[0])
	if !behind {
		t.Fatal("other data centre did not detect that the home lost its state")
	}
	home.Restore(start, record)
	home.Report(start, live, service.Record{Account: 1, Count: service.Count{Charged: 450, Returned: 4}})
	if sum := home.Sum(1); sum != (service.Count{Charged: 1050, Returned: 10}) {
		t.Fatalf("sum %+v after the restore, want 1050 charged and 10 returned", sum)
	}
	late := service.Source{VM: "c", Incarnation: 1}
	home.Report(start, late, service.Record{Account: 1, Count: service.Count{Charged: 300}})
	home.Report(start, late, service.Record{Account: 1, Count: service.Count{Charged: 310}})
	if sum := home.Sum(1); sum != (service.Count{Charged: 1060, Returned: 10}) {
		t.Fatalf("sum %+v after the reports of a late source that the restored sum included, want 1060 charged and 10 returned", sum)
	}
}

func attemptKey(id request.ID) service.AttemptKey {
	return service.AttemptKey{Key: request.Key{Entry: "e", ID: id}, Attempt: 1}
}

// A charge that is not corrected to the true cost, or is corrected twice, would
// shift the account's level for good.
func TestChargeFollowsActualCost(t *testing.T) {
	m := service.NewMeter()
	m.Grant(start, attemptKey(1), request.Ticket{Account: 1, Estimate: 100})
	if net := m.OwnCount(1).Net(); net != 100 {
		t.Fatalf("charged %v at the grant, want the estimate 100", net)
	}
	m.Progress(attemptKey(1), 150)
	if net := m.OwnCount(1).Net(); net < 150 || net > 300 {
		t.Fatalf("charged %v after a cost of 150, want 150 to 300", net)
	}
	m.Finish(attemptKey(1), 180, request.OutcomeDone)
	m.Finish(attemptKey(1), 180, request.OutcomeDone)
	if net := m.OwnCount(1).Net(); net != 180 {
		t.Fatalf("charged %v at the end, want the true cost 180", net)
	}
	m.Grant(start, attemptKey(2), request.Ticket{Account: 1, Estimate: 100})
	if net := m.OwnCount(1).Net(); net != 360 {
		t.Fatalf("second grant charged %v, want the average cost 180", net-180)
	}
	m.Finish(attemptKey(2), 50, request.OutcomeUnused)
	if net := m.OwnCount(1).Net(); net != 180 {
		t.Fatalf("charged %v after an unused grant, want 180 as before", net)
	}
}

// levelReport returns a home's report that an account was charged some units
// elsewhere.
func levelReport(home version.VMID, sequence uint64, elsewhere float64) service.LevelReport {
	return service.LevelReport{
		Home:      service.Source{VM: home},
		Sequence:  sequence,
		Elsewhere: service.Count{Charged: elsewhere},
	}
}

// An account that is backlogged elsewhere was not idle. Lifting it to the floor
// of a queue that it joins would take service from it.
func TestAccountBackloggedElsewhereIsNotLifted(t *testing.T) {
	for _, contested := range []bool{false, true} {
		m := service.NewMeter()
		m.Join(start, 1, 1000)
		if level := m.Level(1); level != 1000 {
			t.Fatalf("level %v before any report of a home, want the floor 1000", level)
		}
		report := levelReport("h", 1, 300)
		report.Contested = contested
		m.ApplyLevelReport(1, report)
		want := 1000.0
		if contested {
			want = 300
		}
		if level := m.Level(1); level != want {
			t.Fatalf("contested %v: level %v, want 300 if contested, else 1000", contested, level)
		}
	}
}

// All dispatchers must use the same level, so the larger of the lifts here and
// elsewhere counts.
func TestLargestLiftApplies(t *testing.T) {
	m := service.NewMeter()
	m.Join(start, 1, 50)
	report := levelReport("h", 1, 300)
	report.Contested, report.Lift = true, 400
	m.ApplyLevelReport(1, report)
	if level := m.Level(1); level != 700 {
		t.Fatalf("level %v with 300 counted and a lift of 400 elsewhere, want 700", level)
	}
}

// A report that arrives late must not undo a later one of the same home.
func TestOlderLevelReportIsIgnored(t *testing.T) {
	m := service.NewMeter()
	m.ApplyLevelReport(1, levelReport("h", 2, 500))
	m.ApplyLevelReport(1, levelReport("h", 1, 400))
	if level := m.Level(1); level != 500 {
		t.Fatalf("level %v after an older report, want 500", level)
	}
}

// A new home does not know the sums of other data centres at first. Its partial
// reports must neither lower an account's level nor change the lift once the
// sums are known.
func TestPartialLevelReportHasNoLastingEffect(t *testing.T) {
	m := service.NewMeter()
	m.Join(start, 1, 9000)
	partial := levelReport("new", 1, 0)
	partial.Partial = true
	m.ApplyLevelReport(1, partial)
	if level := m.Level(1); level != 9000 {
		t.Fatalf("level %v after a partial report, want the floor 9000", level)
	}
	m.ApplyLevelReport(1, levelReport("new", 2, 8500))
	if level := m.Level(1); level != 9000 {
		t.Fatalf("level %v after a complete report, want the floor 9000", level)
	}
	m.Leave(start, 1)
	later := start.Add(time.Minute)
	m.Join(later, 1, 8000)
	m.ApplyLevelReport(1, levelReport("other", 1, 0))
	if level := m.Level(1); level != 8500 {
		t.Fatalf("level %v after the next idle time, want the 8500 units served", level)
	}
}

// A new home that reports without the sums of other data centres would report
// too low a count. It may report early only if it received the sums or a
// handover.
func TestNewHomeReportsOnlyAfterGathering(t *testing.T) {
	source := service.Source{VM: "d", Incarnation: 1}
	waiting := service.Record{Account: 1, Count: service.Count{Charged: 10}, Backlogged: true}
	others := []version.DataCentreID{"far"}
	soon := start.Add(3 * time.Second)

	ungathered := service.NewHome()
	ungathered.Report(start, source, waiting)
	if reports := ungathered.LevelReports(soon, others, true); len(reports) != 0 {
		t.Fatalf("reports of a home without the sums of other data centres: %+v, want none", reports)
	}
	informed := service.NewHome()
	informed.Report(start, source, waiting)
	informed.MergeDataCentreSum(start, "far", service.Record{Account: 1, Count: service.Count{Charged: 90}})
	handed := service.NewHome()
	handed.TakeOver(start, informed.Handover(1))
	handed.Report(start, source, waiting)
	for name, home := range map[string]*service.Home{"informed": informed, "handed": handed} {
		reports := home.LevelReports(soon, others, true)
		if len(reports) != 1 || reports[0].Record.Count.Charged != 90 {
			t.Errorf("reports of a home that was %s: %+v, want one with 90 units charged", name, reports)
		}
	}
}

// The service records of many accounts must not exceed the byte budget of a
// daemon, nor stop altogether. The test offers more records than may be sent.
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
		t.Fatalf("%d bytes sent in %d seconds exceed the budget", bytes, seconds)
	}
	if sent < 200 {
		t.Fatalf("%d records sent, want at least 200", sent)
	}
}
