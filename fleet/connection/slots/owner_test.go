package slots

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// lease is how long a dispatcher in the model still counts an entry as registered that
// left without releasing its registration.
const lease = 3 * time.Second

// unregistered is the dispatcher index of an entry that is registered with none.
const unregistered = -1

// dispatcherModel models two dispatchers with the same members, and the attempts that
// their entries actually run at one upstream.
type dispatcherModel struct {
	tables  [2]*Table
	now     time.Time
	entries []*modelEntry
	nextID  int
}

// modelEntry holds the actual state of an entry, and the state that each dispatcher
// assumes for it.
type modelEntry struct {
	vm version.VMID
	// dispatcher is the index of the dispatcher that the entry is registered with, or
	// unregistered.
	dispatcher int
	running    map[int]bool
	// counted is set, per dispatcher, while it counts the entry as registered.
	// countedUntil is when that ends if the entry left without releasing it.
	counted      [2]bool
	countedUntil [2]time.Time
}

func newDispatcherModel(entries int, upstream *version.Upstream) *dispatcherModel {
	d := &dispatcherModel{now: epoch}
	var members []Member
	for i := range entries {
		vm := version.VMID(fmt.Sprintf("vm-%d", i))
		members = append(members, Member{VM: vm, Live: true})
		d.entries = append(d.entries, &modelEntry{vm: vm, dispatcher: unregistered, running: make(map[int]bool)})
	}
	for i := range d.tables {
		d.tables[i] = New(epoch)
		d.tables[i].SetMembers(epoch, members)
		d.tables[i].Configure(epoch, expectedFirstToken, []*version.Upstream{upstream})
	}
	return d
}

// running returns the number of attempts that all entries run.
func (d *dispatcherModel) running() int {
	count := 0
	for _, e := range d.entries {
		count += len(e.running)
	}
	return count
}

// endRegistration makes a dispatcher stop counting an entry as registered.
func (d *dispatcherModel) endRegistration(e *modelEntry, index int, unannounced bool) {
	if !e.counted[index] {
		return
	}
	e.counted[index] = false
	d.tables[index].Orphan(d.now, e.vm, 1, false)
	d.tables[index].Leave(d.now, e.vm, unannounced)
}

// leave makes an entry leave its dispatcher. An unannounced leave does not release the
// registration, so the dispatcher counts the entry until the lease ends.
func (d *dispatcherModel) leave(e *modelEntry, unannounced bool) {
	if e.dispatcher == unregistered {
		return
	}
	if unannounced {
		e.countedUntil[e.dispatcher] = d.now.Add(lease)
	} else {
		d.endRegistration(e, e.dispatcher, false)
	}
	e.dispatcher = unregistered
}

// join registers an entry. After an unannounced leave, the other dispatcher may still use
// the entry's slots until the lease ends.
func (d *dispatcherModel) join(e *modelEntry, index int) {
	since := d.now
	if other := 1 - index; e.counted[other] && e.dispatcher != other {
		since = e.countedUntil[other]
	}
	d.leave(e, false)
	d.endRegistration(e, index, true)
	d.dropStaleHolds(e, index)
	for id := range e.running {
		d.tables[index].Occupy(d.now, holdOf(e.vm, id), "", upstreamID)
	}
	d.tables[index].Join(d.now, e.vm, since)
	e.dispatcher, e.counted[index] = index, true
}

// dropStaleHolds drops the holds of attempts that the entry no longer runs.
func (d *dispatcherModel) dropStaleHolds(e *modelEntry, index int) {
	var stale []Hold
	d.tables[index].EachHold(e.vm, 1, func(hold Hold, _ version.UpstreamID) {
		if !e.running[int(hold.Key.ID)] {
			stale = append(stale, hold)
		}
	})
	for _, hold := range stale {
		d.tables[index].Drop(hold, upstreamID)
	}
}

// acquire requests a slot for an entry from a dispatcher that counts it as registered.
// The entry ignores the grant unless it is registered there itself.
func (d *dispatcherModel) acquire(e *modelEntry, index int) {
	if !e.counted[index] {
		return
	}
	d.nextID++
	_, free := d.tables[index].Acquire(d.now, Demand{Hold: holdOf(e.vm, d.nextID)})
	if free && e.dispatcher == index {
		e.running[d.nextID] = true
	}
}

// finish ends one of the entry's attempts.
func (d *dispatcherModel) finish(e *modelEntry) {
	for id := range e.running {
		delete(e.running, id)
		if e.dispatcher != unregistered {
			d.tables[e.dispatcher].Release(d.now, holdOf(e.vm, id), done(0))
		}
		return
	}
}

// advance moves the clock and ends the registrations whose lease is over.
func (d *dispatcherModel) advance(elapsed time.Duration) {
	d.now = d.now.Add(elapsed)
	for _, e := range d.entries {
		for index := range d.tables {
			if e.counted[index] && e.dispatcher != index && !d.now.Before(e.countedUntil[index]) {
				d.endRegistration(e, index, true)
			}
		}
	}
	d.tables[0].Tick(d.now)
	d.tables[1].Tick(d.now)
}

// renew makes all registered entries renew their registrations.
func (d *dispatcherModel) renew() {
	for _, e := range d.entries {
		if e.dispatcher != unregistered {
			d.tables[e.dispatcher].Renew(d.now, e.vm)
		}
	}
}

// step performs one random event. If lossy is set, entries may leave unannounced and stay
// unregistered for a while.
func (d *dispatcherModel) step(t *rapid.T, lossy bool) {
	e := d.entries[rapid.IntRange(0, len(d.entries)-1).Draw(t, "entry")]
	index := rapid.IntRange(0, 1).Draw(t, "dispatcher")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		if lossy && rapid.Bool().Draw(t, "silent") {
			d.leave(e, true)
		}
		d.join(e, index)
	case 1:
		if lossy {
			d.leave(e, rapid.Bool().Draw(t, "silent"))
		}
	case 2, 3:
		d.acquire(e, index)
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
		d := newDispatcherModel(rapid.IntRange(1, 5).Draw(t, "entries"), upstreamOf(cold, 8))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d.step(t, true)
			if got := d.running(); got > cold {
				t.Fatalf("%d attempts run at an upstream with cold limit %d", got, cold)
			}
		}
	})
}

func TestTwoDispatchersNeverExceedAWarmLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcherModel(rapid.IntRange(1, 5).Draw(t, "entries"), upstreamOf(1, 8))
		for i, e := range d.entries {
			d.join(e, i%2)
		}
		for _, table := range d.tables {
			table.NoReport(d.now, upstreamID)
			table.AddEvidence(d.now, "vm-0", upstreamID, 1000)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d.step(t, false)
			d.tables[0].Report(d.now, upstreamID, Load{Running: d.running()})
			d.tables[1].Report(d.now, upstreamID, Load{Running: d.running()})
			if got := d.running(); got > 8 {
				t.Fatalf("%d attempts run at an upstream with limit 8", got)
			}
		}
	})
}

func TestAllSlotsAreUsableOnceAllEntriesAreRegistered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcherModel(rapid.IntRange(1, 9).Draw(t, "entries"), upstreamOf(rapid.IntRange(1, 4).Draw(t, "cold"), 8))
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

func TestNewDispatcherRestoresTheLimitFromEvidenceOfEntries(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0", "vm-1")
	table.AddEvidence(now, "vm-0", upstreamID, 3)
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d before the upstream reported, want 1", got)
	}
	table.Report(now, upstreamID, Load{})
	if got := table.Upstreams(now)[0].Limit; got != 2 {
		t.Errorf("limit %d for 3 answers, want 2", got)
	}
	table.AddEvidence(now, "vm-1", upstreamID, 30)
	if got := table.Upstreams(now)[0].Limit; got != 8 {
		t.Errorf("limit %d for 33 answers, want 8", got)
	}
}

func TestEvidenceDoesNotRaiseTheLimitOfAnUpstreamThatReportsCold(t *testing.T) {
	table, now := newTable(upstreamOf(1, 8), "vm-0")
	table.AddEvidence(now, "vm-0", upstreamID, 100)
	table.Report(now, upstreamID, Load{Cold: true})
	table.Report(now, upstreamID, Load{})
	if got := table.Upstreams(now)[0].Limit; got != 1 {
		t.Errorf("limit %d, want 1", got)
	}
}

func TestFewLiveMembersUseAllWarmSlots(t *testing.T) {
	table := New(epoch)
	members := []Member{{VM: "vm-0", Live: true}, {VM: "vm-1", Live: true}}
	for i := range 5 {
		members = append(members, Member{VM: version.VMID(fmt.Sprintf("lapsed-%d", i)), Lapsed: true})
	}
	table.SetMembers(epoch, members)
	table.Configure(epoch, expectedFirstToken, []*version.Upstream{upstreamOf(1, 8)})
	table.Join(epoch, "vm-0", epoch)
	table.Join(epoch, "vm-1", epoch)
	table.NoReport(epoch, upstreamID)
	table.AddEvidence(epoch, "vm-0", upstreamID, 1000)
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
	table.Configure(epoch, expectedFirstToken, upstreams)
	table.Join(epoch, "vm-0", epoch)
	b.ReportAllocs()
	for id := 0; b.Loop(); id++ {
		hold := holdOf("vm-0", id)
		upstream, _ := table.Acquire(epoch, Demand{Hold: hold, Prefix: uint64(id)})
		benchmarkSink = upstream
		table.Release(epoch, hold, request.Finish{Upstream: upstream, Outcome: request.OutcomeDone})
	}
}

func TestUnregisteredLoadInSlotsOfOthersLeavesOwnSlotsUsable(t *testing.T) {
	upstream := upstreamOf(1, 8)
	table := New(epoch)
	table.SetMembers(epoch, []Member{{VM: "vm-0", Live: true}, {VM: "vm-1", Live: true}})
	table.Configure(epoch, expectedFirstToken, []*version.Upstream{upstream})
	table.Join(epoch, "vm-0", epoch)
	table.AddEvidence(epoch, "vm-0", upstreamID, 1000)
	foreignSlots := 0
	for _, owner := range table.upstreams[upstreamID].owners.warm {
		if table.members.list[owner].vm == "vm-1" {
			foreignSlots++
		}
	}
	now := epoch.Add(maxReportDelay)
	table.Report(now, upstreamID, Load{Running: foreignSlots})
	granted := 0
	for id := range 8 {
		if _, free := table.Acquire(now, Demand{Hold: holdOf("vm-0", id)}); free {
			granted++
		}
	}
	if granted != 8-foreignSlots {
		t.Errorf("granted %d of 8 slots, %d of which are owned by another VM", granted, foreignSlots)
	}
}
