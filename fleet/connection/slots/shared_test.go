package slots

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// lease is how long a dispatcher in the model counts an entry that left
// without a word.
const lease = 3 * time.Second

// nobody is the dispatcher of an entry that is registered with none.
const nobody = -1

// dispatchers is a model of two dispatchers with the same members and of what
// their entries really run at one upstream.
type dispatchers struct {
	tables  [2]*Table
	now     time.Time
	entries []*modelEntry
	nextID  int
}

// modelEntry is an entry as it is, and as the dispatchers believe it to be.
type modelEntry struct {
	vm      version.VMID
	at      int
	running map[int]bool
	// counted is set while a dispatcher counts the entry as registered, and
	// until is when that ends for one that it left without a word.
	counted [2]bool
	until   [2]time.Time
}

func newDispatchers(entries int, upstream *version.Upstream) *dispatchers {
	d := &dispatchers{now: epoch}
	var members []Member
	for i := range entries {
		vm := version.VMID(fmt.Sprintf("vm-%d", i))
		members = append(members, Member{VM: vm, Live: true})
		d.entries = append(d.entries, &modelEntry{vm: vm, at: nobody, running: make(map[int]bool)})
	}
	for i := range d.tables {
		d.tables[i] = New(epoch)
		d.tables[i].SetMembers(epoch, members)
		d.tables[i].Configure(epoch, expected, []*version.Upstream{upstream})
	}
	return d
}

func (d *dispatchers) total() int {
	total := 0
	for _, e := range d.entries {
		total += len(e.running)
	}
	return total
}

// uncount makes a dispatcher know that an entry has left.
func (d *dispatchers) uncount(e *modelEntry, at int, silent bool) {
	if !e.counted[at] {
		return
	}
	e.counted[at] = false
	d.tables[at].Orphan(d.now, e.vm, 1, false)
	d.tables[at].Leave(d.now, e.vm, silent)
}

// leave ends a registration, with a word or without.
func (d *dispatchers) leave(e *modelEntry, silent bool) {
	if e.at == nobody {
		return
	}
	if silent {
		e.until[e.at] = d.now.Add(lease)
	} else {
		d.uncount(e, e.at, false)
	}
	e.at = nobody
}

// join registers an entry. If it left without a word before, its slots may
// still be used elsewhere until the lease is over.
func (d *dispatchers) join(e *modelEntry, at int) {
	since := d.now
	if other := 1 - at; e.counted[other] && e.at != other {
		since = e.until[other]
	}
	d.leave(e, false)
	d.uncount(e, at, true)
	d.forgetStale(e, at)
	for id := range e.running {
		d.tables[at].Occupy(d.now, holdOf(e.vm, id), "", only)
	}
	d.tables[at].Join(d.now, e.vm, since)
	e.at, e.counted[at] = at, true
}

func (d *dispatchers) forgetStale(e *modelEntry, at int) {
	var stale []Hold
	d.tables[at].Held(e.vm, 1, func(hold Hold, _ version.UpstreamID) {
		if !e.running[int(hold.Key.ID)] {
			stale = append(stale, hold)
		}
	})
	for _, hold := range stale {
		d.tables[at].Drop(hold, only)
	}
}

// acquire asks an entry's dispatcher, or one that still counts it and whose
// grant the entry does not take.
func (d *dispatchers) acquire(e *modelEntry, at int) {
	if !e.counted[at] {
		return
	}
	d.nextID++
	_, free := d.tables[at].Acquire(d.now, Demand{Hold: holdOf(e.vm, d.nextID)})
	if free && e.at == at {
		e.running[d.nextID] = true
	}
}

func (d *dispatchers) finish(e *modelEntry) {
	for id := range e.running {
		delete(e.running, id)
		if e.at != nobody {
			d.tables[e.at].Release(d.now, holdOf(e.vm, id), done(0))
		}
		return
	}
}

func (d *dispatchers) advance(passed time.Duration) {
	d.now = d.now.Add(passed)
	for _, e := range d.entries {
		for at := range d.tables {
			if e.counted[at] && e.at != at && !d.now.Before(e.until[at]) {
				d.uncount(e, at, true)
			}
		}
	}
	d.tables[0].Tick(d.now)
	d.tables[1].Tick(d.now)
}

func (d *dispatchers) renew() {
	for _, e := range d.entries {
		if e.at != nobody {
			d.tables[e.at].Heard(d.now, e.vm)
		}
	}
}

// step does one random thing. lossy says that entries may leave without a word
// and be registered with nobody for a while.
func (d *dispatchers) step(t *rapid.T, lossy bool) {
	e := d.entries[rapid.IntRange(0, len(d.entries)-1).Draw(t, "entry")]
	at := rapid.IntRange(0, 1).Draw(t, "dispatcher")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		if lossy && rapid.Bool().Draw(t, "silent") {
			d.leave(e, true)
		}
		d.join(e, at)
	case 1:
		if lossy {
			d.leave(e, rapid.Bool().Draw(t, "silent"))
		}
	case 2, 3:
		d.acquire(e, at)
	case 4:
		d.finish(e)
	case 5:
		d.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	case 6:
		d.renew()
	}
}

func TestTwoDispatchersNeverExceedAColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 3).Draw(t, "cold")
		d := newDispatchers(rapid.IntRange(1, 5).Draw(t, "entries"), upstreamOf(cold, 8))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d.step(t, true)
			if got := d.total(); got > cold {
				t.Fatalf("%d run at an upstream with cold limit %d", got, cold)
			}
		}
	})
}

func TestTwoDispatchersNeverExceedAWarmLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatchers(rapid.IntRange(1, 5).Draw(t, "entries"), upstreamOf(1, 8))
		for i, e := range d.entries {
			d.join(e, i%2)
		}
		for _, table := range d.tables {
			table.NoReport(d.now, only)
			table.Restore(d.now, "vm-0", only, 1000)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d.step(t, false)
			d.tables[0].Report(d.now, only, Load{Running: d.total()})
			d.tables[1].Report(d.now, only, Load{Running: d.total()})
			if got := d.total(); got > 8 {
				t.Fatalf("%d run at an upstream with limit 8", got)
			}
		}
	})
}

func TestAllSlotsAreUsableOnceAllAreRegistered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatchers(rapid.IntRange(1, 9).Draw(t, "entries"), upstreamOf(rapid.IntRange(1, 4).Draw(t, "cold"), 8))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			d.step(t, true)
		}
		for _, e := range d.entries {
			d.join(e, 0)
		}
		d.advance(lease + 1)
		d.renew()
		d.advance(0)
		got := d.tables[0].Upstreams(d.now)[0]
		if got.Usable != got.Limit {
			t.Fatalf("%d of %d slots usable", got.Usable, got.Limit)
		}
	})
}

func TestSuccessorTakesEvidenceOfWarmthFromItsEntries(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0", "vm-1")
	table.Restore(now, "vm-0", only, 3)
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d before the upstream reported, want 1", got)
	}
	table.Report(now, only, Load{})
	if got := table.Upstreams(now)[0].Limit; got != 2 {
		t.Errorf("limit %d for 3 answers, want 2", got)
	}
	table.Restore(now, "vm-1", only, 30)
	if got := table.Upstreams(now)[0].Limit; got != 8 {
		t.Errorf("limit %d for 33 answers, want 8", got)
	}
}

func TestUpstreamThatReportsColdIsNotRestored(t *testing.T) {
	table, now := settled(upstreamOf(1, 8), "vm-0")
	table.Restore(now, "vm-0", only, 100)
	table.Report(now, only, Load{Cold: true})
	table.Report(now, only, Load{})
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d, want 1", got)
	}
}

func TestFewLiveMembersUseAllWarmSlots(t *testing.T) {
	table := New(epoch)
	members := []Member{{VM: "vm-0", Live: true}, {VM: "vm-1", Live: true}}
	for i := range 5 {
		members = append(members, Member{VM: version.VMID(fmt.Sprintf("gone-%d", i)), Lapsed: true})
	}
	table.SetMembers(epoch, members)
	table.Configure(epoch, expected, []*version.Upstream{upstreamOf(1, 8)})
	table.Join(epoch, "vm-0", epoch)
	table.Join(epoch, "vm-1", epoch)
	table.NoReport(epoch, only)
	table.Restore(epoch, "vm-0", only, 1000)
	if got := table.Upstreams(epoch)[0]; got.Usable != 8 {
		t.Errorf("%d of 8 slots usable with 2 live members of 7", got.Usable)
	}
}

var benchmarkSink version.UpstreamID

func BenchmarkAcquire(b *testing.B) {
	table := New(epoch)
	table.SetMembers(epoch, []Member{{VM: "vm-0", Live: true}})
	var upstreams []*version.Upstream
	for id := range 80 {
		upstreams = append(upstreams, &version.Upstream{ID: version.UpstreamID(id + 1), ColdLimit: 4, WarmLimit: 4})
	}
	table.Configure(epoch, expected, upstreams)
	table.Join(epoch, "vm-0", epoch)
	b.ReportAllocs()
	for id := 0; b.Loop(); id++ {
		hold := holdOf("vm-0", id)
		upstream, _ := table.Acquire(epoch, Demand{Hold: hold, Prefix: uint64(id)})
		benchmarkSink = upstream
		table.Release(epoch, hold, request.Finish{Upstream: upstream, Outcome: request.OutcomeDone})
	}
}

func TestUnknownLoadInSlotsOfOthersLeavesTheOwnOnes(t *testing.T) {
	upstream := upstreamOf(1, 8)
	table := New(epoch)
	table.SetMembers(epoch, []Member{{VM: "vm-0", Live: true}, {VM: "vm-1", Live: true}})
	table.Configure(epoch, expected, []*version.Upstream{upstream})
	table.Join(epoch, "vm-0", epoch)
	table.Restore(epoch, "vm-0", only, 1000)
	elsewhere := 0
	for _, owner := range table.upstreams[only].owners.warm {
		if table.members.list[owner].vm == "vm-1" {
			elsewhere++
		}
	}
	now := epoch.Add(evidenceDelay)
	table.Report(now, only, Load{Running: elsewhere})
	granted := 0
	for id := range 8 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", id)}); free {
			granted++
		}
	}
	if granted != 8-elsewhere {
		t.Errorf("granted %d beside %d elsewhere of 8 slots", granted, elsewhere)
	}
}
