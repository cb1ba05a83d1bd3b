package mirror

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

// ofEra returns an object as an answer of an era has it.
func ofEra(era uint64, object platform.Object) platform.Object {
	object.Era = era
	return object
}

// read lets the process read a configuration from the store.
func (f *fixture) read(t *testing.T, era, number, revision uint64) {
	t.Helper()
	f.store.config, f.store.err = ofEra(era, configObject(number, revision)), nil
	f.readConfig(t.Context())
}

// Guards against the fault of 4 December 2026: the store returned older, and a newer version got
// the revision that a lost one had had. The hub put it in force, and the VMs that it reads for were
// taken to have it already.
func TestVersionWithTheRevisionOfALostOneReachesTheOtherVMs(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	// The hub has run for some time.
	hub.firstRead = hub.started.Add(-time.Minute)
	for _, k := range hub.kinds() {
		hub.list(t, k, 1, 100)
	}
	hub.read(t, 1, 13, 171)
	leaf.askHub(t, hub)
	hub.read(t, 2, 10, 150)
	leaf.askHub(t, hub)
	if leaf.applied == nil || leaf.applied.Number != 13 {
		t.Fatalf("in force at the other VM while the store is behind: %+v, want version 13", leaf.applied)
	}
	hub.read(t, 2, 16, 171)
	leaf.askHub(t, hub)
	if hub.applied.Number != 16 || leaf.applied.Number != 16 {
		t.Errorf("in force: version %d at the hub, %d at the other VM, want 16", hub.applied.Number, leaf.applied.Number)
	}
}

// list applies a list of a kind as an answer of an era.
func (f *fixture) list(t *testing.T, k *kindCopy, era, revision uint64, objects ...platform.Object) {
	t.Helper()
	if err := f.applySnapshot(k, platform.Snapshot{Era: era, Revision: revision, Objects: objects}, false); err != nil {
		t.Fatal(err)
	}
}

// evacuation is the entry of an evacuated data centre.
func evacuation(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(`{}`)}
}

// storedHub returns a process that has read version 13 and one state of each kind in era 1: two
// upstreams, of which one drains, a gone upstream, an evacuated data centre and two members.
func storedHub(t *testing.T) *fixture {
	f := newFixture()
	// It has run for some time.
	f.started = f.started.Add(-time.Minute)
	f.firstRead = f.started
	f.list(t, f.upstreams, 1, 900, registration("ready", 800), draining("drains", 850), registration("gone", 700))
	f.list(t, f.evacuations, 1, 900, evacuation("dc-1", 860))
	f.list(t, f.members, 1, 900, registration("vm-1", 100), registration("vm-2", 890))
	f.read(t, 1, 13, 171)
	f.applyChanges(f.upstreams, platform.Snapshot{Era: 1, Revision: 910, Objects: []platform.Object{{Name: "gone", Revision: 910, Deleted: true}}})
	return f
}

// restore applies what the store has right after its return: versions and entries of long before.
func (f *fixture) restore(t *testing.T, era uint64) {
	t.Helper()
	f.read(t, era, 10, 150)
	f.list(t, f.upstreams, era, 720, registration("ready", 60), registration("drains", 65), registration("gone", 70))
	f.list(t, f.evacuations, era, 720)
	f.list(t, f.members, era, 720, registration("vm-1", 100))
}

// state describes what is in force, for comparison.
func (f *fixture) state() string {
	var drains []string
	for _, upstream := range f.applied.Upstreams {
		if upstream.Draining {
			drains = append(drains, upstream.Name)
		}
	}
	names := slices.Sorted(maps.Keys(f.upstreamNames()))
	return fmt.Sprint(f.applied.Number, names, drains, f.applied.Out.DataCentres)
}

// Guards against a drain, an evacuation, a removal or a version that is undone because the store
// returned from a copy of before, once or twice in a row, at a process that reads the store and at
// one that it reads for.
func TestNothingAcknowledgedIsUndoneByAnOlderCopy(t *testing.T) {
	hub, leaf := storedHub(t), newFixture()
	leaf.askHub(t, hub)
	want := hub.state()
	if want != "13 [drains ready] [drains] [dc-1]" || leaf.state() != want {
		t.Fatalf("before: %s at the hub, %s at the other VM", want, leaf.state())
	}
	for era := range uint64(3) {
		hub.restore(t, 2+era)
		leaf.askHub(t, hub)
		if hub.state() != want || leaf.state() != want {
			t.Errorf("era %d: %s at the hub, %s at the other VM, want %s", 2+era, hub.state(), leaf.state(), want)
		}
		hub.clock.now, leaf.clock.now = hub.clock.now.Add(time.Second), leaf.clock.now.Add(time.Second)
	}
}

// Guards against state of the new era that is ignored because its revisions are lower than those
// that were known: changes apply at once, entries that stay missing are gone after SettleTime, and
// removed ones that the store keeps having are back after reviveTime.
func TestStateOfTheNewEraAppliesWithLowerRevisions(t *testing.T) {
	hub, leaf := storedHub(t), newFixture()
	leaf.askHub(t, hub)
	hub.restore(t, 2)
	hub.applyChanges(hub.upstreams, platform.Snapshot{Era: 2, Revision: 730, Objects: []platform.Object{draining("ready", 730)}})
	hub.read(t, 2, 16, 171)
	leaf.askHub(t, hub)
	for name, f := range map[string]*fixture{"hub": hub, "other VM": leaf} {
		if got, want := f.state(), "16 [drains ready] [drains ready] [dc-1]"; !sameWords(got, want) {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	advance := func(d time.Duration) {
		hub.clock.now, leaf.clock.now = hub.clock.now.Add(d), leaf.clock.now.Add(d)
		hub.applyChanges(hub.upstreams, platform.Snapshot{Era: 2, Revision: 731})
		hub.applyChanges(hub.evacuations, platform.Snapshot{Era: 2, Revision: 731})
		hub.read(t, 2, 16, 171)
		leaf.askHub(t, hub)
	}
	advance(storeera.SettleTime + batchPause)
	for name, f := range map[string]*fixture{"hub": hub, "other VM": leaf} {
		if len(f.applied.Out.DataCentres) != 0 {
			t.Errorf("%s: still evacuated after SettleTime: %v", name, f.applied.Out.DataCentres)
		}
	}
	advance(reviveTime)
	for name, f := range map[string]*fixture{"hub": hub, "other VM": leaf} {
		if !f.upstreamNames()["gone"] {
			t.Errorf("%s: a registration that the store has for reviveTime is still ignored", name)
		}
	}
}

// sameWords reports whether two descriptions have the same words in any order.
func sameWords(a, b string) bool {
	sorted := func(s string) []string {
		words := strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(" []", r) })
		slices.Sort(words)
		return words
	}
	return slices.Equal(sorted(a), sorted(b))
}

// Guards against an answer of the era before that comes late, or one without an era, and wins.
func TestAnswersOfAnOlderEraAreIgnored(t *testing.T) {
	f := storedHub(t)
	f.restore(t, 2)
	f.read(t, 2, 16, 171)
	want := f.state()
	for _, era := range []uint64{1, 0} {
		if err := f.applySnapshot(f.upstreams, platform.Snapshot{Era: era, Revision: 5000}, false); err == nil {
			t.Errorf("a list of era %d is applied in era 2", era)
		}
		confirmed := f.Confirmed()
		f.clock.now = f.clock.now.Add(10 * time.Second)
		f.read(t, era, 99, 6000)
		if f.applied.Number == 99 || !f.Confirmed().Equal(confirmed) {
			t.Errorf("a read of era %d is applied or confirms the configuration in era 2", era)
		}
	}
	if got := f.state(); got != want {
		t.Errorf("%s after late answers, want %s", got, want)
	}
}

// Guards against a hub that has not seen the new era yet and takes VMs back to the old one.
func TestHubsOfDifferentErasDoNotTakeOthersBack(t *testing.T) {
	ahead, behind, leaf := storedHub(t), storedHub(t), newFixture()
	leaf.askHub(t, behind)
	ahead.restore(t, 2)
	ahead.read(t, 2, 16, 171)
	leaf.askHub(t, ahead)
	response, _ := behind.AnswerStateRequest(leaf.StateRequest())
	if leaf.ApplyStateResponse("behind", response, leaf.clock.now) {
		t.Error("a response of the older era counts as a read of the store")
	}
	if got := leaf.state(); !strings.HasPrefix(got, "16 ") {
		t.Errorf("in force: %s, want version 16", got)
	}
	if era, _ := leaf.Era(); era != 2 {
		t.Errorf("the VM follows era %d, want 2", era)
	}
}

// Guards against a version in the store, right after its return, that counts as proof that no newer
// one exists: a key may have been taken away by a version that was lost and is not written again yet.
// The version may be older than the one in force, or that one itself (seed 74006 of the soak).
func TestNoVersionConfirmsAnythingUntilTheStoreHasSettled(t *testing.T) {
	f := storedHub(t)
	confirmed := f.Confirmed()
	f.clock.now = f.clock.now.Add(time.Second)
	for _, number := range []uint64{10, 13} {
		f.read(t, 2, number, 150+number)
		if !f.Confirmed().Equal(confirmed) {
			t.Errorf("version %d confirms version 13 right after the store's return", number)
		}
	}
	f.clock.now = f.clock.now.Add(storeera.SettleTime)
	f.read(t, 2, 10, 150)
	if !f.Confirmed().Equal(f.clock.now) {
		t.Error("version 10 does not confirm version 13 although the store has settled")
	}
}

// Guards against a process that starts while the store lacks its newest state and uses it (seed 72101
// of the soak: a cold upstream was taken for warm): it puts nothing in force and trusts no keys until
// another process told it what is in force, or the store has had time.
func TestStartingProcessDoesNotTrustAStoreThatMayJustHaveReturned(t *testing.T) {
	peer := storedHub(t)
	peer.restore(t, 2)
	alone, helped := newFixture(), newFixture()
	for _, f := range []*fixture{alone, helped} {
		f.restore(t, 2)
		if f.applied != nil || !f.Confirmed().IsZero() || !f.NeedsPeers() {
			t.Errorf("in force %v, confirmed at %v, wants to ask others: %v; want neither use, trust nor silence", f.applied, f.Confirmed(), f.NeedsPeers())
		}
	}
	if _, ok := alone.AnswerStateRequest(helped.StateRequest()); ok {
		t.Error("a process that trusts its own state not yet passes it on (seed 74006 of the soak)")
	}
	helped.askHub(t, peer)
	if helped.Confirmed().IsZero() || helped.state() != peer.state() {
		t.Errorf("after another process's answer: confirmed at %v, %s in force, want %s", helped.Confirmed(), helped.state(), peer.state())
	}
	alone.clock.now = alone.clock.now.Add(storeera.SettleTime)
	alone.read(t, 2, 10, 150)
	if !alone.Confirmed().Equal(alone.clock.now) || alone.applied == nil {
		t.Error("a process without others never trusts the store")
	}
}

// Guards against the registration of an earlier incarnation, which the store has again after its
// return, that replaces the one that is known: the upstream would be taken for warm, and its
// requests for those of another process.
func TestEarlierIncarnationDoesNotReplaceALaterOne(t *testing.T) {
	born := func(at int, revision uint64) platform.Object {
		object := registration("x", revision)
		object.Spec = bytes.Replace(object.Spec, []byte("{"), fmt.Appendf(nil, `{"born":%d,`, at), 1)
		return object
	}
	hub, fresh := storedHub(t), newFixture()
	hub.list(t, hub.upstreams, 1, 920, born(2000, 915))
	want := hub.applied.Upstreams
	hub.read(t, 2, 13, 150)
	hub.list(t, hub.upstreams, 2, 720, born(1000, 60))
	fresh.restore(t, 2)
	fresh.list(t, fresh.upstreams, 2, 720, born(1000, 60))
	fresh.askHub(t, hub)
	for name, f := range map[string]*fixture{"hub": hub, "starting VM": fresh} {
		for id := range want {
			if f.applied.Upstreams[id] == nil {
				t.Errorf("%s: the later incarnation is replaced by the earlier one", name)
			}
		}
	}
	hub.applyChanges(hub.upstreams, platform.Snapshot{Era: 2, Revision: 730, Objects: []platform.Object{born(3000, 730)}})
	for id := range want {
		if hub.applied.Upstreams[id] != nil {
			t.Error("a new incarnation does not replace the one before the store's return")
		}
	}
}

// Guards against the loss of a member's entry that nobody notices.
func TestLostMemberEntryIsNoticed(t *testing.T) {
	f := storedHub(t)
	if f.LacksMember("vm-2") {
		t.Error("a present entry counts as lost")
	}
	f.restore(t, 2)
	if !f.LacksMember("vm-2") || f.LacksMember("vm-1") {
		t.Errorf("lost: vm-1 %v, vm-2 %v; want only vm-2", f.LacksMember("vm-1"), f.LacksMember("vm-2"))
	}
}

// Guards against a member that counts as gone although it lives and its entry is written again: the
// others share the limits of cold upstreams without it (seed 72104 of the soak: 12 requests of 11).
func TestMemberWhoseEntryIsWrittenAgainIsNeverGone(t *testing.T) {
	f := storedHub(t)
	f.restore(t, 2)
	f.clock.now = f.clock.now.Add(storeera.SettleTime + membersBatchPause - time.Millisecond)
	f.applyChanges(f.members, platform.Snapshot{Era: 2, Revision: 725})
	if f.members.entries["vm-2"] == nil {
		t.Error("the member is gone before its new entry can be known")
	}
	f.applyChanges(f.members, platform.Snapshot{Era: 2, Revision: 726, Objects: []platform.Object{registration("vm-2", 726)}})
	f.clock.now = f.clock.now.Add(time.Minute)
	f.applyChanges(f.members, platform.Snapshot{Era: 2, Revision: 727})
	if f.members.entries["vm-2"] == nil {
		t.Error("the member is gone after its entry was written again")
	}
}

// muteStore is a store whose watches get no answer.
type muteStore struct {
	*fakeStore
	lists chan string
}

func (s *muteStore) List(_ context.Context, kind string) (platform.Snapshot, error) {
	s.lists <- kind
	return platform.Snapshot{Era: 1, Revision: 5}, nil
}

func (s *muteStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (platform.Snapshot, error) {
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// Guards against a process whose watch on members is silent when the store returns, for 12 s and
// more: it did not notice that its own entry was lost (seed 72102 of the soak).
func TestSilentWatchEndsWithTheEra(t *testing.T) {
	f := newFixture()
	store := &muteStore{fakeStore: f.store, lists: make(chan string, 8)}
	f.options.Store = store
	f.read(t, 1, 13, 171)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.FollowMembers(ctx)
	}()
	<-store.lists
	f.readStore(t, store, 2, 13, 150)
	select {
	case <-store.lists:
	case <-time.After(5 * time.Second):
		t.Error("members are not listed again within 5 s of the store's return")
	}
	cancel()
	<-done
}

// readStore lets the process read a configuration from another store than its fixture's.
func (f *fixture) readStore(t *testing.T, store *muteStore, era, number, revision uint64) {
	t.Helper()
	store.config = ofEra(era, configObject(number, revision))
	f.readConfig(t.Context())
}

// Guards against an entry that was removed last and comes back with the store's older copy, because
// as many as are remembered had been removed before it.
func TestEntriesRemovedLastAreRemembered(t *testing.T) {
	k := newKind(platform.KindEvacuation, time.Second, 0)
	start := time.Unix(1000, 0)
	for i := range maxGone + 1 {
		name := fmt.Sprint("dc-", i)
		k.put(start, evacuation(name, uint64(i+1)))
		// Several entries may be removed at the same time.
		k.remove(start.Add(time.Duration(i/2)*time.Millisecond), name)
	}
	last := fmt.Sprint("dc-", maxGone)
	if _, remembered := k.gone[last]; !remembered || len(k.gone) > maxGone {
		t.Errorf("%d removed entries are remembered, the last one of them: %v", len(k.gone), remembered)
	}
}

// Guards against a process that starts at one return of the store and takes what it read then for
// confirmed after another return: 17 to 25 of about 835 requests ran with a key that had been revoked.
// It must follow an era for a while before it uses anything of it.
func TestSecondReturnTakesBackWhatAStartingProcessRead(t *testing.T) {
	f := newFixture()
	f.restore(t, 2)
	f.clock.now = f.clock.now.Add(600 * time.Millisecond)
	f.read(t, 2, 10, 150)
	f.clock.now = f.clock.now.Add(storeera.SettleTime)
	f.restore(t, 3)
	if f.applied != nil || !f.Confirmed().IsZero() {
		t.Errorf("right after the second return version %+v is in force, confirmed at %v", f.applied, f.Confirmed())
	}
	if !f.NeedsPeers() {
		t.Error("the process does not ask others")
	}
	f.clock.now = f.clock.now.Add(storeera.SettleTime)
	f.read(t, 3, 10, 150)
	if f.applied == nil || !f.Confirmed().Equal(f.clock.now) {
		t.Error("the process never trusts the store")
	}
	confirmed := f.Confirmed()
	f.restore(t, 4)
	if !f.Confirmed().Equal(confirmed) {
		t.Error("a later return takes a process out of service that has run for some time")
	}
}

// Guards against a process that starts while the store lacks a version, and does not hear of it from
// one that has had it in force all the while, as that one cannot confirm it either (seed 92011 of the
// soak: the operator wrote it again 3.3 s later, and requests with a revoked key ran).
func TestVersionThatAnotherProcessCannotConfirmCountsAtTheStart(t *testing.T) {
	peer, started := storedHub(t), newFixture()
	peer.clock.now = peer.clock.now.Add(time.Minute)
	started.clock.now = peer.clock.now
	peer.restore(t, 2)
	started.restore(t, 2)
	response, answered := peer.AnswerStateRequest(started.StateRequest())
	if !answered {
		t.Fatal("a process does not say what it has in force")
	}
	if started.ApplyStateResponse("vm-peer", response, started.clock.now) || !started.Confirmed().IsZero() {
		t.Error("a state that was not confirmed lately replaces reads of the store")
	}
	started.clock.now = started.clock.now.Add(storeera.SettleTime)
	started.read(t, 2, 10, 150)
	if started.applied == nil || started.applied.Number != 13 {
		t.Errorf("in force is %+v, want version 13, which the other process has", started.applied)
	}
}
