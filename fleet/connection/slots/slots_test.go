package slots

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	expectedFirstToken = 320 * time.Millisecond
	upstreamID         = version.UpstreamID(1)
)

var epoch = time.UnixMilli(0)

func upstreamOf(cold, warm int) *version.Upstream {
	return &version.Upstream{ID: upstreamID, ColdLimit: cold, WarmLimit: warm, LentShare: 1, Address: "a:1"}
}

// newTable returns a Table with one upstream and the given VMs registered, at a time
// after the startup delay.
func newTable(upstream *version.Upstream, vms ...version.VMID) (*Table, time.Time) {
	t := New(epoch)
	var members []Member
	for _, vm := range vms {
		members = append(members, Member{VM: vm, Live: true})
	}
	t.SetMembers(epoch, members)
	t.Configure(epoch, expectedFirstToken, []*version.Upstream{upstream})
	for range 2 {
		for _, vm := range vms {
			t.Join(epoch, vm, epoch)
		}
	}
	now := epoch.Add(startupDelay)
	t.Tick(now)
	return t, now
}

func holdOf(vm version.VMID, id int) Hold {
	return Hold{Key: request.Key{Entry: vm, Incarnation: 1, ID: request.ID(id)}, Attempt: 1}
}

func done(firstToken time.Duration) request.Finish {
	return request.Finish{Upstream: upstreamID, Outcome: request.OutcomeDone, FirstToken: firstToken}
}

// serve runs one request to completion and reports whether there was a slot for it.
func serve(t *Table, now time.Time, id int, finish request.Finish) bool {
	hold := holdOf("vm-0", id)
	if _, free := t.Acquire(now, Demand{Hold: hold}); !free {
		return false
	}
	return t.Release(now, hold, finish)
}

// warm serves requests with prompt answers until the limit reaches the warm limit.
func warm(t *Table, now time.Time) {
	for id := range 64 {
		serve(t, now, 1000+id, done(expectedFirstToken))
	}
}

func TestOnlyPromptAnswersRaiseTheLimit(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	for id := range 20 {
		serve(table, now, id, done(expectedFirstToken+1))
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Fatalf("limit %d after slow answers, want the cold limit", got)
	}
	for id := range minPromptAnswers - 1 {
		serve(table, now, id, done(expectedFirstToken))
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d after too few prompt answers, want 1", got)
	}
	serve(table, now, 99, done(expectedFirstToken))
	if got := table.Upstreams(now)[0].Limit; got != 2 {
		t.Errorf("limit %d after enough prompt answers, want 2", got)
	}
	warm(table, now)
	if got := table.Upstreams(now)[0].Limit; got != 8 {
		t.Errorf("limit %d, want the warm limit 8", got)
	}
}

func TestSignOfColdnessResetsTheLimitAtOnce(t *testing.T) {
	signs := map[string]func(*Table, time.Time){
		"late first token": func(table *Table, now time.Time) {
			serve(table, now, 1, done(lateFirstTokenFactor*expectedFirstToken+1))
		},
		"refusal": func(table *Table, now time.Time) {
			serve(table, now, 1, request.Finish{Upstream: upstreamID, Outcome: request.OutcomeRefused})
		},
		"broken answer": func(table *Table, now time.Time) {
			serve(table, now, 1, request.Finish{Upstream: upstreamID, Outcome: request.OutcomeBroken})
		},
		"report": func(table *Table, now time.Time) { table.Report(now, upstreamID, Load{Cold: true}) },
		"idle": func(table *Table, now time.Time) {
			table.Tick(now.Add(maxIdleTime + 1))
		},
		"changed address": func(table *Table, now time.Time) {
			moved := upstreamOf(1, 8)
			moved.Address = "b:1"
			table.Configure(now, expectedFirstToken, []*version.Upstream{moved})
		},
		"removed and added back": func(table *Table, now time.Time) {
			table.Configure(now, expectedFirstToken, nil)
			table.Configure(now, expectedFirstToken, []*version.Upstream{upstreamOf(1, 8)})
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			table, now := newTable(upstreamOf(1, 8), "vm-0")
			warm(table, now)
			sign(table, now)
			if got := table.Upstreams(now)[0]; got.Limit != 1 || !got.Cold {
				t.Errorf("limit %d, cold %v; want the cold limit", got.Limit, got.Cold)
			}
		})
	}
}

func TestLoadReportNeverRaisesTheLimit(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	for range 50 {
		now = now.Add(time.Second)
		table.Report(now, upstreamID, Load{})
	}
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d after load reports, want 1", got)
	}
}

func TestRunningAttemptsOfAReaddedUpstreamStillCount(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)}); !free {
		t.Fatal("no slot")
	}
	table.Configure(now, expectedFirstToken, nil)
	table.Configure(now, expectedFirstToken, []*version.Upstream{upstreamOf(1, 8)})
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 2)}); free {
		t.Error("granted a second request at a cold upstream with limit 1 that still runs one")
	}
}

func TestEjectedUpstreamIsProbedWithOneRequest(t *testing.T) {
	table, now := newTable(upstreamOf(2, 8), "vm-0")
	refused := request.Finish{Upstream: upstreamID, Outcome: request.OutcomeRefused}
	ejection := minEjectionTime
	for round := range 4 {
		if !serve(table, now, round, refused) {
			t.Fatalf("round %d: no slot", round)
		}
		if serve(table, now.Add(ejection-1), 10, refused) {
			t.Fatalf("round %d: granted a request before the ejection of %v had passed", round, ejection)
		}
		now = now.Add(ejection)
		ejection *= 2
	}
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 20)}); !free {
		t.Fatal("no slot for a probe after the ejection")
	}
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 21)}); free {
		t.Error("granted a second request during the probe")
	}
	table.Release(now, holdOf("vm-0", 20), done(expectedFirstToken))
	if got := table.Upstreams(now)[0].Usable; got != 2 {
		t.Errorf("usable %d after a successful probe, want the cold limit 2", got)
	}
}

func TestSimultaneousFailuresEjectOnce(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	warm(table, now)
	for id := range 8 {
		table.Acquire(now, Demand{Hold: holdOf("vm-0", id)})
	}
	for id := range 8 {
		table.Release(now, holdOf("vm-0", id), request.Finish{Upstream: upstreamID, Outcome: request.OutcomeBroken})
	}
	if !serve(table, now.Add(minEjectionTime), 20, done(expectedFirstToken)) {
		t.Error("eight simultaneous failures lengthened the ejection")
	}
}

func TestUnregisteredLoadCountsAsUsed(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	warm(table, now)
	table.Report(now, upstreamID, Load{})
	table.Report(now, upstreamID, Load{})
	table.Report(now, upstreamID, Load{Running: 6, Waiting: 1})
	granted := 0
	for id := range 8 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", id)}); free {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("granted %d of 8 slots with an unregistered load of 7, want 1", granted)
	}
}

func TestLostEntryKeepsItsSlotUntilAReportShowsNoLoad(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)})
	table.Orphan(now, "vm-0", 1, false)
	table.Tick(now.Add(time.Minute))
	if got := table.Upstreams(now)[0].Used; got != 1 {
		t.Fatalf("used %d, want 1: the entry may still run its request", got)
	}
	table.Report(now.Add(time.Minute), upstreamID, Load{Running: 0})
	if got := table.Upstreams(now)[0].Used; got != 0 {
		t.Errorf("used %d after a report of no load, want 0", got)
	}
}

func TestSlotOfAnEndedProcessIsFreedSoon(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	table.Acquire(now, Demand{Hold: holdOf("vm-0", 1)})
	table.Orphan(now, "vm-0", 1, true)
	table.Tick(now.Add(endedProcessLifetime))
	if got := table.Upstreams(now)[0].Used; got != 0 {
		t.Errorf("used %d, want 0", got)
	}
}

func TestOwningTeamReservesItsSlots(t *testing.T) {
	upstream := upstreamOf(1, 8)
	upstream.Team, upstream.LentShare = "owners", 0.5
	table, now := newTable(upstream, "vm-0")
	for id := range 64 {
		hold := holdOf("vm-0", id)
		if _, free := table.Acquire(now, Demand{Hold: hold, Team: "owners"}); free {
			table.Release(now, hold, done(expectedFirstToken))
		}
	}
	guests, owners := 0, 0
	for id := range 20 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 100+id), Team: "guests"}); free {
			guests++
		}
	}
	for id := range 20 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 200+id), Team: "owners"}); free {
			owners++
		}
	}
	if guests != 4 || owners != 4 {
		t.Errorf("guests got %d and owners %d of 8 slots, want 4 and 4", guests, owners)
	}
	notLent := upstreamOf(1, 8)
	notLent.Team, notLent.LentShare = "owners", 0
	table.Configure(now, expectedFirstToken, []*version.Upstream{notLent})
	if got := table.Upstreams(now)[0].Used; got != 8 {
		t.Errorf("used %d after lending ended, want 8: running attempts keep their slots", got)
	}
	table.Release(now, holdOf("vm-0", 100), done(expectedFirstToken))
	if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", 300), Team: "guests"}); free {
		t.Error("another team got a slot that is no longer lent")
	}
}

func TestPrefixAffinityAppliesAtNearlyEqualLoadOnly(t *testing.T) {
	a, b := upstreamOf(4, 4), upstreamOf(4, 4)
	b.ID = 2
	table := New(epoch)
	table.SetMembers(epoch, []Member{{VM: "vm-0", Live: true}})
	table.Configure(epoch, expectedFirstToken, []*version.Upstream{a, b})
	table.Join(epoch, "vm-0", epoch)
	first, _ := table.Acquire(epoch, Demand{Hold: holdOf("vm-0", 0), Prefix: 7})
	var same int
	for id := 1; id < 4; id++ {
		if got, _ := table.Acquire(epoch, Demand{Hold: holdOf("vm-0", id), Prefix: 7}); got == first {
			same++
		}
	}
	if same == 0 {
		t.Error("the upstream that served the prefix was never preferred")
	}
	if same == 3 {
		t.Error("the upstream that served the prefix was preferred although it was much more loaded")
	}
}

// Guards against two requests at a cold upstream with limit 1: the upstream, still at its
// cold limit, reports that it is cold; a request granted before the report is then
// answered promptly and must not raise the limit. Found in run cold-again of the
// experiment tool, seed 7719.
func TestAnswersToEarlierRequestsDoNotWarmAnUpstreamThatReportsCold(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	for id := range minPromptAnswers - 1 {
		serve(table, now, id, done(expectedFirstToken))
	}
	running := holdOf("vm-0", minPromptAnswers)
	if _, free := table.Acquire(now, Demand{Hold: running}); !free {
		t.Fatal("no slot")
	}
	now = now.Add(time.Second)
	table.Report(now, upstreamID, Load{Running: 1, Cold: true})
	table.Release(now, running, done(expectedFirstToken))
	if got := table.Upstreams(now)[0]; got.Limit != 1 || !got.Cold {
		t.Errorf("limit %d, cold %v; want the cold limit", got.Limit, got.Cold)
	}
	warm(table, now)
	if got := table.Upstreams(now)[0]; got.Limit != 8 {
		t.Errorf("limit %d after prompt answers, want 8", got.Limit)
	}
}
