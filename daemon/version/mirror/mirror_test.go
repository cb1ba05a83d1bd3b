package mirror

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

// fakeStore answers from memory and counts its calls.
type fakeStore struct {
	config   platform.Object
	err      error
	calls    int
	snapshot platform.Snapshot
}

func (s *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	s.calls++
	return s.config, s.err
}

func (s *fakeStore) List(context.Context, string) (platform.Snapshot, error) {
	s.calls++
	return s.snapshot, s.err
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) (platform.Snapshot, error) {
	s.calls++
	return platform.Snapshot{}, s.err
}

type fixture struct {
	*Mirror
	clock *manualClock
	store *fakeStore
	// applied is the configuration that Apply received last.
	applied *version.Config
}

func newFixture() *fixture {
	f := &fixture{clock: &manualClock{now: time.Unix(1000, 0)}, store: &fakeStore{}}
	f.Mirror = New(Options{
		Store:         f.store,
		Clock:         f.clock.read,
		Apply:         func(config *version.Config) { f.applied = config },
		Members:       func(map[version.VMID][]byte) {},
		OnCallFailure: func() {},
		Log:           slog.New(slog.DiscardHandler),
	})
	return f
}

// askHub sends the process's state request to hub and applies the response.
func (f *fixture) askHub(t *testing.T, hub *fixture) {
	t.Helper()
	response, ok := hub.AnswerStateRequest(f.StateRequest())
	if !ok {
		t.Fatal("the hub returned no state response")
	}
	f.ApplyStateResponse("hub", response, f.clock.now)
}

// listEmpty applies an empty list of every kind.
func (f *fixture) listEmpty() {
	for _, k := range f.kinds() {
		f.applySnapshot(k, platform.Snapshot{}, false)
	}
}

func configObject(number, revision uint64) platform.Object {
	return platform.Object{Name: "main", Revision: revision, Spec: fmt.Appendf(nil, `{"version":%d}`, number)}
}

func registration(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(
		`{"service":"s","address":"10.0.0.1:80","zone":"dc","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"seq":1}`)}
}

func draining(name string, revision uint64) platform.Object {
	object := registration(name, revision)
	object.Spec = bytes.Replace(object.Spec, []byte("ready"), []byte("draining"), 1)
	return object
}

func (f *fixture) upstreamNames() map[string]bool {
	names := make(map[string]bool)
	for _, upstream := range f.applied.Upstreams {
		names[upstream.Name] = true
	}
	return names
}

func TestConfirmationTimeIsWhenTheReadWasSent(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 10)
	sentAt := f.clock.now
	f.readConfig(t.Context())
	if !f.Confirmed().Equal(sentAt) {
		t.Errorf("confirmed at %v, read sent at %v", f.Confirmed(), sentAt)
	}
	f.clock.now = sentAt.Add(time.Second)
	f.store.err = platform.ErrBusy
	f.readConfig(t.Context())
	if !f.Confirmed().Equal(sentAt) {
		t.Error("a refused read changed the confirmation time")
	}
}

// A daemon was ready with a configuration but without upstreams and refused its first
// request (seen in TestAnswerWithoutLengthIsRelayed under load).
func TestNoConfigurationIsAppliedBeforeUpstreamsAndEvacuationsAreListed(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.applySnapshot(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	if f.applied != nil {
		t.Error("applied before the evacuated data centres are listed")
	}
	f.applySnapshot(f.evacuations, platform.Snapshot{}, false)
	if f.applied == nil || !f.upstreamNames()["a"] {
		t.Errorf("applied: %+v", f.applied)
	}
}

func TestOlderOrMalformedConfigurationIsIgnored(t *testing.T) {
	f := newFixture()
	f.listEmpty()
	for _, object := range []platform.Object{configObject(5, 10), configObject(4, 11), {Name: "main", Revision: 12, Spec: []byte("x")}} {
		f.store.config = object
		f.readConfig(t.Context())
	}
	if f.applied.Number != 5 {
		t.Errorf("version %d is active, want 5", f.applied.Number)
	}
}

func TestRegistrationsExpiredInAnOutageAreKeptForAWhile(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.listEmpty()
	f.applySnapshot(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2), registration("b", 3)}}, false)
	f.applySnapshot(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, true)
	if names := f.upstreamNames(); !names["b"] {
		t.Fatal("a registration that expired in the outage is removed at once")
	}
	if hold := f.nextHold(f.upstreams); hold > reregistrationTime {
		t.Errorf("the next watch holds for %v, longer than the registration is kept", hold)
	}
	f.clock.now = f.clock.now.Add(reregistrationTime)
	f.applyChanges(f.upstreams, platform.Snapshot{})
	if names := f.upstreamNames(); names["b"] || !names["a"] {
		t.Errorf("upstreams after reregistrationTime: %v, want only a", names)
	}
	f.applySnapshot(f.upstreams, platform.Snapshot{}, false)
	if names := f.upstreamNames(); len(names) != 0 {
		t.Errorf("upstreams after changes missed without an outage: %v, want none", names)
	}
}

// An upstream that had drained and deregistered got requests again 4.5 s after it had
// announced that it leaves. The store had refused the hub meanwhile, so the hub kept the
// old registration as missing and sent it to processes that had seen it deregister (DRAIN
// on grown Ribglue, scale-2 with seed 181762813129).
func TestHubDoesNotRestoreRegistrationsThatOthersSawRemoved(t *testing.T) {
	for name, current := range map[string]platform.Snapshot{
		"removed":  {Revision: 400},
		"draining": {Revision: 400, Objects: []platform.Object{draining("x", 300)}},
	} {
		t.Run(name, func(t *testing.T) {
			hub, leaf := newFixture(), newFixture()
			leaf.clock = hub.clock
			leaf.options.Clock = hub.clock.read
			for _, f := range []*fixture{hub, leaf} {
				f.store.config = configObject(1, 1)
				f.readConfig(t.Context())
				f.listEmpty()
				f.applySnapshot(f.upstreams, platform.Snapshot{Revision: 200, Objects: []platform.Object{registration("x", 119)}}, false)
			}
			updateLeaf := func() {
				t.Helper()
				leaf.askHub(t, hub)
				for _, upstream := range leaf.applied.Upstreams {
					if !upstream.Draining {
						t.Errorf("upstream %s is not draining", upstream.Name)
					}
				}
			}
			// The store refuses the calls of the hub and answers those of the leaf.
			hub.clock.now = hub.clock.now.Add(5 * time.Second)
			leaf.applySnapshot(leaf.upstreams, current, true)
			leaf.applyChanges(leaf.upstreams, platform.Snapshot{Revision: 410, Objects: []platform.Object{{Name: "x", Revision: 405, Deleted: true}}})
			hub.clock.now = hub.clock.now.Add(time.Second)
			hub.readConfig(t.Context())
			updateLeaf()
			hub.applySnapshot(hub.upstreams, platform.Snapshot{Revision: 420}, true)
			updateLeaf()
			if !hub.upstreamNames()["x"] {
				t.Error("the hub removed the missing registration at once")
			}
		})
	}
}

// A process that has not seen an upstream deregister keeps its missing registration as long
// as its store reader does.
func TestMissingRegistrationIsKeptByProcessesServedByAHub(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	leaf.clock = hub.clock
	leaf.options.Clock = hub.clock.read
	hub.store.config = configObject(1, 1)
	hub.readConfig(t.Context())
	hub.listEmpty()
	hub.applySnapshot(hub.upstreams, platform.Snapshot{Revision: 200, Objects: []platform.Object{registration("x", 119)}}, false)
	leaf.askHub(t, hub)
	hub.clock.now = hub.clock.now.Add(time.Second)
	hub.applySnapshot(hub.upstreams, platform.Snapshot{Revision: 210}, true)
	leaf.askHub(t, hub)
	if !leaf.upstreamNames()["x"] {
		t.Error("the registration was removed at once after an outage")
	}
	hub.clock.now = hub.clock.now.Add(reregistrationTime)
	hub.readConfig(t.Context())
	hub.applyChanges(hub.upstreams, platform.Snapshot{Revision: 215})
	leaf.askHub(t, hub)
	if leaf.upstreamNames()["x"] {
		t.Error("the registration was kept longer than reregistrationTime")
	}
}

// The log did not say which process had brought back a removed registration; only its
// revision hinted at it (docs/incidents/2026-12-04-grown-sites.md).
func TestEachRegistrationChangeIsLoggedWithItsSource(t *testing.T) {
	f := newFixture()
	var lines bytes.Buffer
	f.options.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.listEmpty()
	f.applySnapshot(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	f.applySnapshot(f.upstreams, platform.Snapshot{}, true)
	f.clock.now = f.clock.now.Add(reregistrationTime)
	f.applyChanges(f.upstreams, platform.Snapshot{})
	for _, want := range []string{
		`"msg":"upstream registered","upstream":"a"`,
		`"source":"store"`,
		`"msg":"registrations are missing after an outage and may come back","count":1`,
		`"msg":"upstream unregistered","upstream":"a","source":"store"`,
	} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no log line contains %s:\n%s", want, &lines)
		}
	}
}

func TestHubReadsTheStoreForALeaf(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	hub.store.config = configObject(3, 30)
	hub.readConfig(t.Context())
	hub.listEmpty()
	hub.applySnapshot(hub.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	hub.clock.now = hub.clock.now.Add(700 * time.Millisecond)

	leaf.askHub(t, hub)
	if leaf.applied == nil || leaf.applied.Number != 3 || !leaf.upstreamNames()["a"] {
		t.Fatalf("the leaf applied %+v", leaf.applied)
	}
	leaf.askHub(t, hub)
	if want := leaf.clock.now.Add(-700 * time.Millisecond); !leaf.Confirmed().Equal(want) {
		t.Errorf("confirmed at %v, want %v", leaf.Confirmed(), want)
	}
	if !leaf.HasFreshResponse() {
		t.Error("the leaf has no fresh response")
	}
	if _, ok := leaf.AnswerStateRequest(hub.StateRequest()); ok {
		t.Error("the leaf passes on state that it received from the hub")
	}
	hub.clock.now = hub.clock.now.Add(maxConfigAge)
	before := leaf.Confirmed()
	leaf.clock.now = leaf.clock.now.Add(2 * delegationTimeout)
	leaf.askHub(t, hub)
	if leaf.HasFreshResponse() || !leaf.Confirmed().Equal(before) {
		t.Error("an old confirmation was accepted")
	}
}

// countingStore counts calls by kind and gives each the same result. It is safe for
// concurrent use.
type countingStore struct {
	mu    sync.Mutex
	calls map[string]int
	err   error
}

func (s *countingStore) count(kind string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	return s.err
}

func (s *countingStore) reset(err error) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls, s.err = make(map[string]int), err
	return calls
}

func (s *countingStore) Get(context.Context, string, string) (platform.Object, error) {
	return configObject(1, 10), s.count(platform.KindConfig)
}

func (s *countingStore) List(_ context.Context, kind string) (platform.Snapshot, error) {
	return platform.Snapshot{Revision: 10}, s.count(kind)
}

func (s *countingStore) Watch(ctx context.Context, kind string, _ uint64, hold time.Duration) (platform.Snapshot, error) {
	if err := s.count(kind); err != nil {
		return platform.Snapshot{}, err
	}
	return platform.Snapshot{Revision: 10}, wait.Sleep(ctx, hold)
}

// follow runs all background tasks of a mirror until the test ends.
func follow(t *testing.T, store Store, hasStoreReaders func() bool) *Mirror {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return startProcess(ctx, &tasks, store, hasStoreReaders).Mirror
}

// During an outage each of 69 processes called the store 14 times a second, because each of
// the four kinds retried by itself; 295 processes with store readers made 3,000 calls in an
// outage of 8 s.
func TestOnlyConfigurationReadsProbeAStoreThatIsDown(t *testing.T) {
	// The pauses are random, so the test bounds their mean over a long outage.
	const outage = 1000 * time.Second
	for _, c := range []struct {
		hasStoreReaders bool
		// maxReadsPerSecond is the highest allowed mean rate of reads.
		maxReadsPerSecond float64
	}{{false, 4.5}, {true, 0.45}} {
		synctest.Test(t, func(t *testing.T) {
			store := &countingStore{calls: make(map[string]int)}
			m := follow(t, store, func() bool { return c.hasStoreReaders })
			time.Sleep(6 * time.Second)
			store.reset(platform.ErrBusy)
			// Open watches end, and each kind makes two attempts.
			time.Sleep(membersHold + time.Second)
			store.reset(platform.ErrBusy)
			time.Sleep(outage)
			calls := store.reset(nil)
			if otherCalls := calls[platform.KindUpstream] + calls[platform.KindEvacuation] + calls[platform.KindMember]; otherCalls != 0 {
				t.Errorf("%+v: calls %v: kinds other than the configuration called the store", c, calls)
			}
			if n := calls[platform.KindConfig]; n == 0 || float64(n) > c.maxReadsPerSecond*outage.Seconds() {
				t.Errorf("%+v: %d reads of the configuration in %v", c, n, outage)
			}
			time.Sleep(2 * delegatedRetryFactor * maxDelegatedBackoff * retryMax)
			calls = store.reset(nil)
			if calls[platform.KindUpstream] == 0 || calls[platform.KindEvacuation] == 0 || calls[platform.KindMember] == 0 || m.base == nil {
				t.Errorf("%+v: calls after the outage: %v", c, calls)
			}
		})
	}
}

// 295 processes that started together made 4,300 calls of the store before and in the first
// ten seconds of the large Queensland scenario, because each polled the configuration until
// it was there. The calls cost a fifth of the value of the whole day.
func TestStartingProcessWaitsForItsStoreReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{calls: make(map[string]int)}
		follow(t, store, func() bool { return true })
		time.Sleep(readerWaitTime - readerCheckInterval)
		if calls := store.reset(nil); calls[platform.KindUpstream] != 0 || calls[platform.KindConfig] != 0 || calls[platform.KindMember] == 0 {
			t.Errorf("calls while the store readers may still answer: %v", calls)
		}
		time.Sleep(3 * readerCheckInterval)
		if calls := store.reset(nil); calls[platform.KindUpstream] == 0 || calls[platform.KindEvacuation] == 0 || calls[platform.KindConfig] == 0 {
			t.Errorf("calls once the store readers have not answered: %v", calls)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{calls: make(map[string]int)}
		follow(t, store, func() bool { return false })
		time.Sleep(3 * readerCheckInterval)
		if calls := store.reset(nil); calls[platform.KindUpstream] == 0 {
			t.Errorf("calls in a fleet without store readers: %v", calls)
		}
	})
}

// A process whose calls the store refused did not learn that an upstream had returned cold
// and sent it 49 requests in a second, while the other processes knew (soak, seed 400).
func TestProcessRefusedByTheStoreAppliesStateOfOthers(t *testing.T) {
	other, refused := newFixture(), newFixture()
	refused.clock = other.clock
	refused.options.Clock = other.clock.read
	for _, f := range []*fixture{other, refused} {
		f.store.config = configObject(3, 30)
		f.readConfig(t.Context())
		f.listEmpty()
		f.applySnapshot(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	}
	if refused.StoreUnreachable() {
		t.Error("the store counts as unreachable although it answers")
	}
	refused.store.err = platform.ErrBusy
	other.clock.now = other.clock.now.Add(unreachableAfter + time.Millisecond)
	refused.readConfig(t.Context())
	other.readConfig(t.Context())
	other.applyChanges(other.upstreams, platform.Snapshot{Objects: []platform.Object{registration("b", 5)}})
	if !refused.StoreUnreachable() {
		t.Fatal("the store does not count as unreachable")
	}
	response, ok := other.AnswerStateRequest(refused.StateRequest())
	if !ok {
		t.Fatal("the other process returned no state response")
	}
	refused.ApplyStateResponse("other", response, refused.clock.now)
	if !refused.upstreamNames()["b"] || !refused.Confirmed().Equal(other.Confirmed()) || refused.StoreUnreachable() {
		t.Errorf("upstreams %v, confirmed at %v, want %v", refused.upstreamNames(), refused.Confirmed(), other.Confirmed())
	}
	if refused.readsDelegated() {
		t.Error("the refused process stopped its own reads of the store")
	}
	if _, ok := refused.AnswerStateRequest(other.StateRequest()); ok {
		t.Error("the refused process passes on state that it received")
	}
	// State that was read from the store in the meantime is newer than a delayed response.
	refused.clock.now = refused.clock.now.Add(time.Second)
	refused.applyChanges(refused.upstreams, platform.Snapshot{Objects: []platform.Object{registration("c", 7)}})
	refused.upstreams.appliedMark = 0
	refused.ApplyStateResponse("other", response, refused.clock.now.Add(-time.Second))
	if !refused.upstreamNames()["c"] {
		t.Error("an older response removed an upstream that was read from the store")
	}
}

func (f *fixture) applySnapshot(k *kindCopy, snapshot platform.Snapshot, outage bool) error {
	return f.Mirror.applySnapshot(k, snapshot, outage, f.options.Clock())
}

func (f *fixture) applyChanges(k *kindCopy, changes platform.Snapshot) {
	f.Mirror.applyChanges(k, changes, f.options.Clock())
}
