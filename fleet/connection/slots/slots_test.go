package slots

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	expected = 320 * time.Millisecond
	only     = version.UpstreamID(1)
)

var epoch = time.UnixMilli(0)

func upstreamOf(cold, warm int) *version.Upstream {
	return &version.Upstream{ID: only, ColdLimit: cold, WarmLimit: warm, LentShare: 1, Address: "a:1"}
}

// settled returns a table with one upstream and the given VMs registered.
func settled(upstream *version.Upstream, vms ...version.VMID) (*Table, time.Time) {
	t := New(epoch)
	var members []Member
	for _, vm := range vms {
		members = append(members, Member{VM: vm, Live: true})
	}
	t.SetMembers(epoch, members)
	t.Configure(epoch, expected, []*version.Upstream{upstream})
	for range 2 {
		for _, vm := range vms {
			t.Join(epoch, vm, epoch)
		}
	}
	now := epoch.Add(settleTime)
	t.Tick(now)
	return t, now
}

func holdOf(vm version.VMID, id int) Hold {
	return Hold{Key: request.Key{Entry: vm, Incarnation: 1, ID: request.ID(id)}, Attempt: 1}
}

func done(firstToken time.Duration) request.Finish {
	return request.Finish{Upstream: only, Outcome: request.OutcomeDone, FirstToken: firstToken}
}

// serve runs one request and reports whether there was a slot.
func serve(t *Table, now time.Time, id int, finish request.Finish) bool {
	hold := holdOf("vm-0", id)
	if _, free := t.Acquire(now, Demand{Hold: hold}); !free {
		return false
	}
	return t.Release(now, hold, finish)
}

// warm serves prompt requests until the limit is earned.
func warm(t *Table, now time.Time) {
	for id := range 64 {
		serve(t, now, 1000+id, done(expected))
	}
}

func TestLimitIsEarnedByPromptAnswersOnly(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	for id := range 20 {
		serve(table, now, id, done(expected+1))
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Fatalf("limit %d after slow answers, want the cold limit", got)
	}
	for id := range promptAnswers - 1 {
		serve(table, now, id, done(expected))
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d after too few prompt answers, want 1", got)
	}
	serve(table, now, 99, done(expected))
	if got := table.Upstreams(now)[0].Limit; got != 2 {
		t.Errorf("limit %d after enough prompt answers, want 2", got)
	}
	warm(table, now)
	if got := table.Upstreams(now)[0].Limit; got != 8 {
		t.Errorf("limit %d, want the warm limit 8", got)
	}
}

func TestSignsOfColdnessReturnToTheColdLimitAtOnce(t *testing.T) {
	signs := map[string]func(*Table, time.Time){
		"late first token": func(table *Table, now time.Time) { serve(table, now, 1, done(lateFactor*expected+1)) },
		"refusal": func(table *Table, now time.Time) {
			serve(table, now, 1, request.Finish{Upstream: only, Outcome: request.OutcomeRefused})
		},
		"broken answer": func(table *Table, now time.Time) {
			serve(table, now, 1, request.Finish{Upstream: only, Outcome: request.OutcomeBroken})
		},
		"report": func(table *Table, now time.Time) { table.Report(now, only, Load{Cold: true}) },
		"idleness": func(table *Table, now time.Time) {
			table.Tick(now.Add(idleTime + 1))
		},
		"other address": func(table *Table, now time.Time) {
			moved := upstreamOf(1, 8)
			moved.Address = "b:1"
			table.Configure(now, expected, []*version.Upstream{moved})
		},
		"out and back": func(table *Table, now time.Time) {
			table.Configure(now, expected, nil)
			table.Configure(now, expected, []*version.Upstream{upstreamOf(1, 8)})
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			table, now := settled(upstreamOf(1, 8), "vm-0")
			warm(table, now)
			sign(table, now)
			if got := table.Upstreams(now)[0]; got.Limit != 1 || !got.Cold {
				t.Errorf("limit %d, cold %v; want the cold limit", got.Limit, got.Cold)
			}
		})
	}
}

func TestReportNeverRaisesALimit(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	for range 50 {
		now = now.Add(time.Second)
		table.Report(now, only, Load{})
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d after reports of warmth, want 1", got)
	}
}

func TestRunningWorkOfAReturnedUpstreamStillCounts(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)}); !free {
		t.Fatal("no slot")
	}
	table.Configure(now, expected, nil)
	table.Configure(now, expected, []*version.Upstream{upstreamOf(1, 8)})
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 2)}); free {
		t.Error("a second request at a cold upstream that still runs one")
	}
}

func TestRefusingUpstreamIsTriedAgainWithOneRequest(t *testing.T) {
	table, now := settled(upstreamOf(2, 8), "vm-0")
	refused := request.Finish{Upstream: only, Outcome: request.OutcomeRefused}
	pause := ejectMin
	for round := range 4 {
		if !serve(table, now, round, refused) {
			t.Fatalf("round %d: no slot", round)
		}
		if serve(table, now.Add(pause-1), 10, refused) {
			t.Fatalf("round %d: work before %v had passed", round, pause)
		}
		now = now.Add(pause)
		pause *= 2
	}
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 20)}); !free {
		t.Fatal("no trial after the pause")
	}
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 21)}); free {
		t.Error("a second request during the trial")
	}
	table.Release(now, holdOf("vm-0", 20), done(expected))
	if got := table.Upstreams(now)[0].Usable; got != 2 {
		t.Errorf("usable %d after a good trial, want the cold limit 2", got)
	}
}

func TestSimultaneousFailuresCountAsOne(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	warm(table, now)
	for id := range 8 {
		table.Acquire(now, Demand{Hold: holdOf("vm-0", id)})
	}
	for id := range 8 {
		table.Release(now, holdOf("vm-0", id), request.Finish{Upstream: only, Outcome: request.OutcomeBroken})
	}
	if !serve(table, now.Add(ejectMin), 20, done(expected)) {
		t.Error("eight answers that broke together lengthened the pause")
	}
}

func TestReportedLoadThatNobodyRegisteredIsUsed(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	warm(table, now)
	table.Report(now, only, Load{})
	table.Report(now, only, Load{})
	table.Report(now, only, Load{Running: 6, Waiting: 1})
	granted := 0
	for id := range 8 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", id)}); free {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("granted %d beside 7 unknown of 8, want 1", granted)
	}
}

func TestLostEntryKeepsItsSlotUntilThereIsEvidence(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)})
	table.Orphan(now, "vm-0", 1, false)
	table.Tick(now.Add(time.Minute))
	if got := table.Upstreams(now)[0].Used; got != 1 {
		t.Fatalf("used %d, want 1: the entry may still run its request", got)
	}
	table.Report(now.Add(time.Minute), only, Load{Running: 0})
	if got := table.Upstreams(now)[0].Used; got != 0 {
		t.Errorf("used %d after a report of no load, want 0", got)
	}
}

func TestEndedProcessFreesItsSlotSoon(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)})
	table.Orphan(now, "vm-0", 1, true)
	table.Tick(now.Add(settledTime))
	if got := table.Upstreams(now)[0].Used; got != 0 {
		t.Errorf("used %d, want 0", got)
	}
}

func TestOwningTeamKeepsItsShare(t *testing.T) {
	upstream := upstreamOf(1, 8)
	upstream.Team, upstream.LentShare = "owners", 0.5
	table, now := settled(upstream, "vm-0")
	for id := range 64 {
		hold := holdOf("vm-0", id)
		if _, free := table.Acquire(now, Demand{Hold: hold, Team: "owners"}); free {
			table.Release(now, hold, done(expected))
		}
	}
	others, owners := 0, 0
	for id := range 20 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 100+id), Team: "guests"}); free {
			others++
		}
	}
	for id := range 20 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 200+id), Team: "owners"}); free {
			owners++
		}
	}
	if others != 4 || owners != 4 {
		t.Errorf("others got %d and owners %d of 8 slots, want 4 and 4", others, owners)
	}
	reclaimed := upstreamOf(1, 8)
	reclaimed.Team, reclaimed.LentShare = "owners", 0
	table.Configure(now, expected, []*version.Upstream{reclaimed})
	if got := table.Upstreams(now)[0].Used; got != 8 {
		t.Errorf("used %d after the share was reclaimed, want 8: nothing is cut", got)
	}
	table.Release(now, holdOf("vm-0", 100), done(expected))
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 300), Team: "guests"}); free {
		t.Error("another team got a slot that is not lent any more")
	}
}

func TestPrefixIsPreferredAmongNearEqualsOnly(t *testing.T) {
	a, b := upstreamOf(4, 4), upstreamOf(4, 4)
	b.ID = 2
	table := New(epoch)
	table.SetMembers(epoch, []Member{{VM: "vm-0", Live: true}})
	table.Configure(epoch, expected, []*version.Upstream{a, b})
	table.Join(epoch, "vm-0", epoch)
	first, _ := table.Acquire(epoch, Demand{Hold: holdOf("vm-0", 0), Prefix: 7})
	var same int
	for id := 1; id < 4; id++ {
		if got, _ := table.Acquire(epoch, Demand{Hold: holdOf("vm-0", id), Prefix: 7}); got == first {
			same++
		}
	}
	if same == 0 {
		t.Error("the prefix was never preferred")
	}
	if same == 3 {
		t.Error("the prefix was preferred at a much more loaded upstream")
	}
}

// An upstream that had earned nothing yet turned cold again and reported it. What it
// had been given before then ended promptly and raised its limit, so that it got two
// requests while cold (run cold-again of the experiment tool, seed 7719).
func TestAnswersToEarlierRequestsDoNotWarmAnUpstreamThatReportsCold(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	for id := range promptAnswers - 1 {
		serve(table, now, id, done(expected))
	}
	running := holdOf("vm-0", promptAnswers)
	if _, free := table.Acquire(now, Demand{Hold: running}); !free {
		t.Fatal("no slot")
	}
	now = now.Add(time.Second)
	table.Report(now, only, Load{Running: 1, Cold: true})
	table.Release(now, running, done(expected))
	if got := table.Upstreams(now)[0]; got.Limit != 1 || !got.Cold {
		t.Errorf("limit %d, cold %v; want the cold limit", got.Limit, got.Cold)
	}
	warm(table, now)
	if got := table.Upstreams(now)[0]; got.Limit != 8 {
		t.Errorf("limit %d after prompt answers, want 8", got.Limit)
	}
}
