package mirror

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

// rolloutObject is an order to move service s to a version, with a status in a state; "" is none.
func rolloutObject(to, state string, revision uint64) platform.Object {
	object := platform.Object{Name: "s", Revision: revision, Created: 5, Spec: fmt.Appendf(nil, `{"service":"s","to":%q,"duration_s":12}`, to)}
	if state != "" {
		object.Status = fmt.Appendf(nil, `{"state":%q,"to":%q,"phase":"canary"}`, state, to)
	}
	return object
}

// rolloutFixture is a fixture with rollouts, and what it was told of them last.
type rolloutFixture struct {
	*fixture
	orders []rollout.Order
	readAt time.Time
}

func newRolloutFixture() *rolloutFixture {
	f := &rolloutFixture{fixture: newFixture()}
	options := f.options
	options.Rollouts = func(orders []rollout.Order, _ storeera.Position, readAt time.Time) {
		f.orders, f.readAt = orders, readAt
	}
	f.Mirror = New(options)
	return f
}

func (f *rolloutFixture) listRollouts(t *testing.T, era, revision uint64, objects ...platform.Object) error {
	t.Helper()
	return f.Mirror.applySnapshot(f.rollouts.kindCopy, platform.Snapshot{Era: era, Revision: revision, Objects: objects}, false, f.clock.now)
}

// Guards against an age of an order that is too low: a watch, an answer of a store reader that is late,
// a list that lacks what was known, or one of a store that has only just returned from an older copy,
// does not show that the order still stands.
func TestOnlyAReadShowsThatAnOrderStands(t *testing.T) {
	f := newRolloutFixture()
	f.started = f.started.Add(-time.Minute)
	f.firstRead = f.started
	f.store.config = configObject(1, 1)
	f.store.config.Era = 1
	f.readConfig(t.Context())
	f.list(t, f.upstreams, 1, 10, registration("a", 2))
	f.list(t, f.evacuations, 1, 10)
	f.list(t, f.members, 1, 10)
	if f.applied != nil {
		t.Fatal("a configuration is applied before the rollouts are known")
	}
	readAt := f.clock.now
	if err := f.listRollouts(t, 1, 20, rolloutObject("v2", "running", 12)); err != nil || f.applied == nil || !f.readAt.Equal(readAt) {
		t.Fatalf("read at %v, error %v; want %v", f.readAt, err, readAt)
	}
	if want := (storeera.Position{Era: 1, Revision: 12}); len(f.orders) != 1 || f.orders[0].At != want || f.orders[0].Created != 5 || f.orders[0].Status.State != rollout.StateRunning {
		t.Fatalf("orders are %+v", f.orders)
	}
	f.clock.now = readAt.Add(time.Second)
	f.Mirror.applyChanges(f.rollouts.kindCopy, platform.Snapshot{Era: 1, Revision: 30, Objects: []platform.Object{rolloutObject("v2", "done", 30)}}, f.clock.now)
	if f.orders[0].Status.State != rollout.StateDone || !f.readAt.Equal(readAt) {
		t.Errorf("after a watch: %+v, read at %v, want done and %v", f.orders[0].Status, f.readAt, readAt)
	}
	if err := f.listRollouts(t, 1, 20); err == nil || len(f.orders) != 1 || !f.readAt.Equal(readAt) {
		t.Errorf("after a stale list: %+v, read at %v, error %v", f.orders, f.readAt, err)
	}
	leaf := newRolloutFixture()
	leaf.clock.now = f.clock.now.Add(500 * time.Millisecond)
	f.clock.now = leaf.clock.now
	f.readConfig(t.Context())
	leaf.askHub(t, f.fixture)
	if len(leaf.orders) != 1 || leaf.orders[0].Status.State != rollout.StateDone || leaf.readAt.After(readAt) || readAt.Sub(leaf.readAt) > time.Millisecond {
		t.Errorf("through a store reader: %+v, read at %v, want done and %v", leaf.orders, leaf.readAt, readAt)
	}
	if err := f.listRollouts(t, 2, 15, rolloutObject("v2", "running", 12)); err != nil || f.orders[0].Status.State != rollout.StateRunning || !f.readAt.Equal(readAt) {
		t.Errorf("from an older copy: %+v, read at %v, error %v; want its status and %v", f.orders[0], f.readAt, err, readAt)
	}
	f.clock.now = f.clock.now.Add(storeera.SettleTime)
	if err := f.listRollouts(t, 2, 16, rolloutObject("v2", "running", 12)); err != nil || !f.readAt.Equal(f.clock.now) {
		t.Errorf("once the store has settled: read at %v, error %v; want %v", f.readAt, err, f.clock.now)
	}
}

// rolloutStore counts the lists and watches of each kind.
type rolloutStore struct {
	storeClient
	mu     sync.Mutex
	counts map[string]int
	// order is the object that it has of the rollouts.
	order platform.Object
	// second is the software version of another upstream; "" is none.
	second string
}

func (s *rolloutStore) count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[call]
}

func (s *rolloutStore) snapshot(call, kind string) platform.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[call+" "+kind]++
	switch {
	case kind == platform.KindRollout && s.order.Name != "":
		revision := uint64(10)
		if s.second != "" {
			// The revision is that of the whole store, which the registration has raised.
			revision = 40
		}
		return platform.Snapshot{Revision: revision, Objects: []platform.Object{s.order}}
	case kind == platform.KindUpstream && s.second != "":
		return platform.Snapshot{Revision: 40, Objects: []platform.Object{{Name: "y", Revision: 40, Spec: fmt.Appendf(nil,
			`{"service":"s","address":"10.0.0.1:80","zone":"dc","version":%q,"slots":8,"state":"ready","cold_remaining_ms":0,"seq":1}`, s.second)}}}
	}
	return s.state.snapshot(kind)
}

func (s *rolloutStore) List(_ context.Context, kind string) (platform.Snapshot, error) {
	return s.snapshot("list", kind), nil
}

func (s *rolloutStore) Watch(ctx context.Context, kind string, revision uint64, hold time.Duration) (platform.Snapshot, error) {
	for end := time.Now().Add(hold); time.Now().Before(end); {
		if err := wait.Sleep(ctx, 5*time.Millisecond); err != nil {
			return platform.Snapshot{}, err
		}
		if kind == platform.KindUpstream && revision < 40 {
			s.mu.Lock()
			appeared := s.second != ""
			s.mu.Unlock()
			if appeared {
				return s.snapshot("watch", kind), nil
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["watch "+kind]++
	return platform.Snapshot{Revision: revision}, nil
}

// Guards against knowledge of a running order that becomes older than 2 s, against calls without
// need while nothing is rolled out, and against a version that has to wait for the next watch until
// it may serve.
func TestRolloutsAreReadWhileTheyMatter(t *testing.T) {
	// Versions appear at the start and later: each time there is a read at once, and then one each
	// interval for a while.
	window := int(versionReadTime/rolloutsReadInterval) + 2
	for name, c := range map[string]struct {
		state string
		// minReads and maxReads bound the reads within 10 s of which a version appears after 5 s.
		minReads, maxReads int
	}{
		"running": {"running", 15, 18},
		"done":    {"done", 2, 1 + 2*window},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &rolloutStore{storeClient: storeClient{state: &storeState{}}, counts: make(map[string]int), order: rolloutObject("v2", c.state, 9)}
				var mu sync.Mutex
				var readAt, oldest time.Time
				worst := time.Duration(0)
				mirror := New(Options{
					Store: store, Clock: time.Now, Apply: func(*version.Config) {}, HasStoreReaders: never,
					Members: func(map[version.VMID][]byte) {}, OnCallFailure: func() {}, Log: slog.New(slog.DiscardHandler),
					Rollouts: func(_ []rollout.Order, _ storeera.Position, at time.Time) {
						mu.Lock()
						defer mu.Unlock()
						if !readAt.IsZero() {
							worst = max(worst, time.Since(readAt))
						}
						readAt = at
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var tasks sync.WaitGroup
				for _, task := range []func(context.Context) error{mirror.FollowConfig, mirror.FollowUpstreams, mirror.FollowEvacuations, mirror.FollowMembers, mirror.FollowRollouts} {
					tasks.Go(func() { _ = task(ctx) })
				}
				if !mirror.AwaitsRollouts() {
					t.Error("ready before the rollouts were read")
				}
				time.Sleep(time.Second)
				if mirror.AwaitsRollouts() {
					t.Error("not ready though the rollouts were read")
				}
				time.Sleep(4 * time.Second)
				before := store.count("list rollouts")
				store.mu.Lock()
				store.second, oldest = "v2", time.Now()
				store.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				mu.Lock()
				if readAt.Before(oldest) {
					t.Errorf("rollouts were read %v before a version appeared, and not since", oldest.Sub(readAt))
				}
				mu.Unlock()
				time.Sleep(5 * time.Second)
				reads := store.count("list rollouts")
				if reads < c.minReads || reads > c.maxReads || reads == before {
					t.Errorf("%d reads, %d of them before a version appeared; want %d to %d", reads, before, c.minReads, c.maxReads)
				}
				mu.Lock()
				if c.state == "running" && worst > rolloutsReadInterval+100*time.Millisecond {
					t.Errorf("the knowledge was up to %v old", worst)
				}
				mu.Unlock()
				cancel()
				tasks.Wait()
			})
		})
	}
}

// Guards against a VM that starts while several versions serve without an order, and whose store
// reader has known them for long: no read was sent after their registrations were seen here, so that
// no version but a single one could ever serve.
func TestVMReadsRolloutsItselfIfItsReaderNeedNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := newRolloutFixture()
		hub.store.config = configObject(1, 1)
		hub.readConfig(t.Context())
		hub.listEmpty()
		hub.list(t, hub.upstreams, 0, 10, registration("a", 2))
		if err := hub.listRollouts(t, 0, 10); err != nil {
			t.Fatal(err)
		}
		hub.clock.now = hub.clock.now.Add(time.Hour)
		hub.readConfig(t.Context())
		for _, k := range hub.kinds() {
			hub.Mirror.applyChanges(k, platform.Snapshot{Revision: 11}, hub.clock.now)
		}
		store := &rolloutStore{storeClient: storeClient{state: &storeState{}}, counts: make(map[string]int)}
		var readAt time.Time
		leaf := New(Options{
			Store: store, Clock: time.Now, Apply: func(*version.Config) {}, HasStoreReaders: always,
			Members: func(map[version.VMID][]byte) {}, OnCallFailure: func() {}, Log: slog.New(slog.DiscardHandler),
			Rollouts: func(_ []rollout.Order, _ storeera.Position, at time.Time) { readAt = at },
		})
		ask := func() {
			response, ok := hub.AnswerStateRequest(leaf.StateRequest())
			if !ok {
				t.Fatal("the store reader does not answer")
			}
			leaf.ApplyStateResponse("hub", response, time.Now())
		}
		started := time.Now()
		ask()
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = leaf.FollowRollouts(ctx) })
		for range 30 {
			time.Sleep(300 * time.Millisecond)
			ask()
		}
		cancel()
		tasks.Wait()
		if reads := store.count("list rollouts"); reads != 1 || !readAt.After(started) {
			t.Errorf("%d reads of this VM, the last known %v after its start; want one", reads, readAt.Sub(started))
		}
	})
}

// Guards against a version that counts as read although the list of the rollouts is older than its
// registration, and so cannot show an order that was written before it.
func TestStaleListDoesNotConfirmAVersion(t *testing.T) {
	f := newRolloutFixture()
	f.started = f.started.Add(-time.Minute)
	f.firstRead = f.started
	f.store.config = configObject(1, 1)
	f.store.config.Era = 1
	f.readConfig(t.Context())
	f.list(t, f.upstreams, 1, 10, registration("a", 2))
	f.list(t, f.evacuations, 1, 10)
	f.list(t, f.members, 1, 10)
	for _, revision := range []uint64{5, 9, 10, 12} {
		f.clock.now = f.clock.now.Add(time.Second)
		if err := f.listRollouts(t, 1, revision); err != nil {
			t.Fatal(err)
		}
		if counts := f.readAt.Equal(f.clock.now); counts != (revision >= 10) {
			t.Errorf("a list at revision %d counts as a read after the registration at 10: %v", revision, counts)
		}
	}
}
