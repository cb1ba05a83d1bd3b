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

// manual is a clock that a test moves.
type manual struct{ now time.Time }

func (c *manual) read() time.Time { return c.now }

// fakeStore answers from memory.
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
	clock *manual
	store *fakeStore
	// applied is the newest state.
	applied *version.Config
}

func newFixture() *fixture {
	f := &fixture{clock: &manual{now: time.Unix(1000, 0)}, store: &fakeStore{}}
	f.Mirror = New(Options{
		Store:   f.store,
		Clock:   f.clock.read,
		Apply:   func(config *version.Config) { f.applied = config },
		Members: func(map[version.VMID][]byte) {},
		Lost:    func() {},
		Log:     slog.New(slog.DiscardHandler),
	})
	return f
}

// askHub lets the process ask another one that reads the store for it.
func (f *fixture) askHub(t *testing.T, hub *fixture) {
	t.Helper()
	tell, known := hub.Tell(f.Ask())
	if !known {
		t.Fatal("the hub knows nothing")
	}
	f.Take("hub", tell, f.clock.now)
}

// list lets the mirror know all kinds, without any object.
func (f *fixture) list() {
	for _, k := range f.kinds() {
		f.replace(k, platform.Snapshot{}, false)
	}
}

func configObject(number, revision uint64) platform.Object {
	return platform.Object{Name: "main", Revision: revision, Spec: fmt.Appendf(nil, `{"version":%d}`, number)}
}

func registration(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(
		`{"service":"s","address":"10.0.0.1:80","zone":"dc","slots":8,"state":"ready"}`)}
}

func draining(name string, revision uint64) platform.Object {
	object := registration(name, revision)
	object.Spec = bytes.Replace(object.Spec, []byte("ready"), []byte("draining"), 1)
	return object
}

func (f *fixture) names() map[string]bool {
	names := make(map[string]bool)
	for _, upstream := range f.applied.Upstreams {
		names[upstream.Name] = true
	}
	return names
}

func TestAConfirmationCountsFromTheBeginningOfItsRead(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 10)
	began := f.clock.now
	f.readConfig(t.Context())
	if !f.Confirmed().Equal(began) {
		t.Errorf("confirmed at %v, asked at %v", f.Confirmed(), began)
	}
	f.clock.now = began.Add(time.Second)
	f.store.err = platform.ErrBusy
	f.readConfig(t.Context())
	if !f.Confirmed().Equal(began) {
		t.Error("a refused read confirms")
	}
}

// A daemon was ready with a configuration and no upstreams yet, and refused its
// first request (TestAnAnswerWithoutLengthIsWhole beside load).
func TestNothingIsInForceBeforeUpstreamsAndEvacuationsAreKnown(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.replace(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	if f.applied != nil {
		t.Error("in force before the evacuated data centres are known")
	}
	f.replace(f.evacuated, platform.Snapshot{}, false)
	if f.applied == nil || !f.names()["a"] {
		t.Errorf("in force: %+v", f.applied)
	}
}

func TestAnOlderConfigurationIsNotTaken(t *testing.T) {
	f := newFixture()
	f.list()
	for _, object := range []platform.Object{configObject(5, 10), configObject(4, 11), {Name: "main", Revision: 12, Spec: []byte("x")}} {
		f.store.config = object
		f.readConfig(t.Context())
	}
	if f.applied.Number != 5 {
		t.Errorf("version %d is in force", f.applied.Number)
	}
}

func TestRegistrationsThatLapsedInAnOutageMayReturn(t *testing.T) {
	f := newFixture()
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.list()
	f.replace(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2), registration("b", 3)}}, false)
	f.replace(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, true)
	if names := f.names(); !names["b"] {
		t.Fatal("a registration that lapsed in the outage is given up at once")
	}
	if hold := f.hold(f.upstreams); hold > returnTime {
		t.Errorf("the next watch holds for %v", hold)
	}
	f.clock.now = f.clock.now.Add(returnTime)
	f.change(f.upstreams, platform.Snapshot{})
	if names := f.names(); names["b"] || !names["a"] {
		t.Errorf("after the time to return: %v", names)
	}
	f.replace(f.upstreams, platform.Snapshot{}, false)
	if names := f.names(); len(names) != 0 {
		t.Errorf("after changes that were missed without an outage: %v", names)
	}
}

// An upstream that had drained and gone got requests again 4.5 s after it had said that
// it leaves: the hub that the store had refused meanwhile kept its old registration as
// one that may come back, and told it to processes that had seen it go (DRAIN on grown
// Ribglue, scale-2 with seed 181762813129).
func TestAHubThatReturnsDoesNotBringBackWhatOthersSawGo(t *testing.T) {
	for name, gone := range map[string]platform.Snapshot{
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
				f.list()
				f.replace(f.upstreams, platform.Snapshot{Revision: 200, Objects: []platform.Object{registration("x", 119)}}, false)
			}
			tellLeaf := func() {
				t.Helper()
				leaf.askHub(t, hub)
				for _, upstream := range leaf.applied.Upstreams {
					if !upstream.Draining {
						t.Errorf("%s is used", upstream.Name)
					}
				}
			}
			// The store refuses the hub and answers the leaf.
			hub.clock.now = hub.clock.now.Add(5 * time.Second)
			leaf.replace(leaf.upstreams, gone, true)
			leaf.change(leaf.upstreams, platform.Snapshot{Revision: 410, Objects: []platform.Object{{Name: "x", Revision: 405, Deleted: true}}})
			hub.clock.now = hub.clock.now.Add(time.Second)
			hub.readConfig(t.Context())
			tellLeaf()
			hub.replace(hub.upstreams, platform.Snapshot{Revision: 420}, true)
			tellLeaf()
			if !hub.names()["x"] {
				t.Error("the hub gave up at once what may come back to it")
			}
		})
	}
}

// A process that has not seen a registration go keeps it as long as the one that reads
// the store for it does.
func TestWhatMayComeBackIsKeptByThoseThatAreTold(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	leaf.clock = hub.clock
	leaf.options.Clock = hub.clock.read
	hub.store.config = configObject(1, 1)
	hub.readConfig(t.Context())
	hub.list()
	hub.replace(hub.upstreams, platform.Snapshot{Revision: 200, Objects: []platform.Object{registration("x", 119)}}, false)
	leaf.askHub(t, hub)
	hub.clock.now = hub.clock.now.Add(time.Second)
	hub.replace(hub.upstreams, platform.Snapshot{Revision: 210}, true)
	leaf.askHub(t, hub)
	if !leaf.names()["x"] {
		t.Error("given up at once after an outage")
	}
	hub.clock.now = hub.clock.now.Add(returnTime)
	hub.readConfig(t.Context())
	hub.change(hub.upstreams, platform.Snapshot{Revision: 215})
	leaf.askHub(t, hub)
	if leaf.names()["x"] {
		t.Error("kept after the time to return")
	}
}

// Which process brought back a registration that was gone could only be told from its
// revision (docs/incidents/2026-12-04-grown-sites.md).
func TestEachChangeOfARegistrationIsLoggedWithItsSource(t *testing.T) {
	f := newFixture()
	var lines bytes.Buffer
	f.options.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	f.store.config = configObject(1, 1)
	f.readConfig(t.Context())
	f.list()
	f.replace(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	f.replace(f.upstreams, platform.Snapshot{}, true)
	f.clock.now = f.clock.now.Add(returnTime)
	f.change(f.upstreams, platform.Snapshot{})
	for _, want := range []string{
		`"msg":"upstream registered","upstream":"a"`,
		`"source":"store"`,
		`"msg":"registrations are missing after an outage and may come back","count":1`,
		`"msg":"upstream unregistered","upstream":"a","source":"store"`,
	} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no line has %s:\n%s", want, &lines)
		}
	}
}

func TestAnotherProcessReadsTheStore(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	hub.store.config = configObject(3, 30)
	hub.readConfig(t.Context())
	hub.list()
	hub.replace(hub.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	hub.clock.now = hub.clock.now.Add(700 * time.Millisecond)

	leaf.askHub(t, hub)
	if leaf.applied == nil || leaf.applied.Number != 3 || !leaf.names()["a"] {
		t.Fatalf("the leaf has %+v", leaf.applied)
	}
	leaf.askHub(t, hub)
	if want := leaf.clock.now.Add(-700 * time.Millisecond); !leaf.Confirmed().Equal(want) {
		t.Errorf("confirmed at %v, want %v", leaf.Confirmed(), want)
	}
	if !leaf.Shared() {
		t.Error("the leaf reads the store itself")
	}
	if _, known := leaf.Tell(hub.Ask()); known {
		t.Error("the leaf passes on what it was told")
	}
	hub.clock.now = hub.clock.now.Add(configAgeMax)
	before := leaf.Confirmed()
	leaf.clock.now = leaf.clock.now.Add(2 * sharedTime)
	leaf.askHub(t, hub)
	if leaf.Shared() || !leaf.Confirmed().Equal(before) {
		t.Error("an old confirmation is taken")
	}
}

// counting counts calls by kind and answers them all alike. It is safe for
// concurrent use.
type counting struct {
	mu    sync.Mutex
	calls map[string]int
	err   error
}

func (s *counting) count(kind string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	return s.err
}

func (s *counting) answer(err error) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls, s.err = make(map[string]int), err
	return calls
}

func (s *counting) Get(context.Context, string, string) (platform.Object, error) {
	return configObject(1, 10), s.count(platform.KindConfig)
}

func (s *counting) List(_ context.Context, kind string) (platform.Snapshot, error) {
	return platform.Snapshot{Revision: 10}, s.count(kind)
}

func (s *counting) Watch(ctx context.Context, kind string, _ uint64, hold time.Duration) (platform.Snapshot, error) {
	if err := s.count(kind); err != nil {
		return platform.Snapshot{}, err
	}
	return platform.Snapshot{Revision: 10}, wait.Sleep(ctx, hold)
}

// follow runs all duties of a mirror until the test ends.
func follow(t *testing.T, store Store, served func() bool) *Mirror {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	t.Cleanup(func() { cancel(); duties.Wait() })
	return learn(ctx, &duties, store, served).Mirror
}

// 69 processes asked a store that was down 14 times a second each: four kinds,
// each by itself. 295 that hubs read for made 3,000 calls in an outage of 8 s.
func TestOneKindAsksAStoreThatIsDown(t *testing.T) {
	// The pauses are drawn at random, so what is bounded is their mean over a while.
	const outage = 1000 * time.Second
	for _, c := range []struct {
		served bool
		// most is how many reads a second are allowed.
		most float64
	}{{false, 4.5}, {true, 0.45}} {
		synctest.Test(t, func(t *testing.T) {
			store := &counting{calls: make(map[string]int)}
			m := follow(t, store, func() bool { return c.served })
			time.Sleep(6 * time.Second)
			store.answer(platform.ErrBusy)
			// Watches that are held end, and each kind tries twice.
			time.Sleep(membersWait + time.Second)
			store.answer(platform.ErrBusy)
			time.Sleep(outage)
			calls := store.answer(nil)
			if others := calls[platform.KindUpstream] + calls[platform.KindEvacuation] + calls[platform.KindMember]; others != 0 {
				t.Errorf("%+v: %v: kinds other than the configuration ask", c, calls)
			}
			if n := calls[platform.KindConfig]; n == 0 || float64(n) > c.most*outage.Seconds() {
				t.Errorf("%+v: %d reads of the configuration in %v", c, n, outage)
			}
			time.Sleep(2 * servedRetryFactor * servedRetryMax * retryMax)
			calls = store.answer(nil)
			if calls[platform.KindUpstream] == 0 || calls[platform.KindEvacuation] == 0 || calls[platform.KindMember] == 0 || m.base == nil {
				t.Errorf("%+v: after the outage: %v", c, calls)
			}
		})
	}
}

// 295 processes that started together made 4,300 calls of the store before and in the first
// ten seconds of large Queensland, a fifth of what the day was worth: each read the
// configuration until it was there.
func TestAProcessThatStartsWaitsForThoseThatReadTheStoreForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &counting{calls: make(map[string]int)}
		follow(t, store, func() bool { return true })
		time.Sleep(expectTime - expectPause)
		if calls := store.answer(nil); calls[platform.KindUpstream] != 0 || calls[platform.KindConfig] != 0 || calls[platform.KindMember] == 0 {
			t.Errorf("while the others may still answer: %v", calls)
		}
		time.Sleep(3 * expectPause)
		if calls := store.answer(nil); calls[platform.KindUpstream] == 0 || calls[platform.KindEvacuation] == 0 || calls[platform.KindConfig] == 0 {
			t.Errorf("once they have not answered: %v", calls)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		store := &counting{calls: make(map[string]int)}
		follow(t, store, func() bool { return false })
		time.Sleep(3 * expectPause)
		if calls := store.answer(nil); calls[platform.KindUpstream] == 0 {
			t.Errorf("in a small fleet: %v", calls)
		}
	})
}

// A process that the store refused did not learn that an upstream had come back cold,
// and sent it 49 requests in a second; the others knew (soak, seed 400).
func TestAProcessThatTheStoreRefusesTakesWhatOthersHaveRead(t *testing.T) {
	other, refused := newFixture(), newFixture()
	refused.clock = other.clock
	refused.options.Clock = other.clock.read
	for _, f := range []*fixture{other, refused} {
		f.store.config = configObject(3, 30)
		f.readConfig(t.Context())
		f.list()
		f.replace(f.upstreams, platform.Snapshot{Objects: []platform.Object{registration("a", 2)}}, false)
	}
	if refused.Starved() {
		t.Error("starved with a store that answers")
	}
	refused.store.err = platform.ErrBusy
	other.clock.now = other.clock.now.Add(starvedAfter + time.Millisecond)
	refused.readConfig(t.Context())
	other.readConfig(t.Context())
	other.change(other.upstreams, platform.Snapshot{Objects: []platform.Object{registration("b", 5)}})
	if !refused.Starved() {
		t.Fatal("not starved")
	}
	tell, known := other.Tell(refused.Ask())
	if !known {
		t.Fatal("the other one knows nothing")
	}
	refused.Take("other", tell, refused.clock.now)
	if !refused.names()["b"] || !refused.Confirmed().Equal(other.Confirmed()) || refused.Starved() {
		t.Errorf("has %v, confirmed %v, the other one %v", refused.names(), refused.Confirmed(), other.Confirmed())
	}
	if refused.relieved() {
		t.Error("it does not read the store itself any more")
	}
	if _, lends := refused.Tell(other.Ask()); lends {
		t.Error("what was borrowed is lent on")
	}
	// What the store told in the meantime is newer than an answer that was late.
	refused.clock.now = refused.clock.now.Add(time.Second)
	refused.change(refused.upstreams, platform.Snapshot{Objects: []platform.Object{registration("c", 7)}})
	refused.upstreams.taken = 0
	refused.Take("other", tell, refused.clock.now.Add(-time.Second))
	if !refused.names()["c"] {
		t.Error("an older answer took away what the store told")
	}
}
