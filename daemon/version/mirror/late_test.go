package mirror

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

// truth is what the store holds: one upstream, which drains or goes.
type truth struct {
	mu             sync.Mutex
	draining, gone bool
	// joined is set once there is a second member.
	joined bool
}

func (s *truth) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *truth) join() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = true
}

func (s *truth) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

func (s *truth) snapshot(kind string) platform.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case kind == platform.KindMember && s.joined:
		return platform.Snapshot{Revision: 15, Objects: []platform.Object{{Name: "vm-2", Revision: 15}}}
	case kind != platform.KindUpstream:
		return platform.Snapshot{Revision: 10}
	case s.gone:
		return platform.Snapshot{Revision: 30}
	case s.draining:
		return platform.Snapshot{Revision: 20, Objects: []platform.Object{draining("x", 20)}}
	}
	return platform.Snapshot{Revision: 10, Objects: []platform.Object{registration("x", 5)}}
}

// trouble is how the store treats one process.
type trouble int

const (
	// refusing answers each call with a refusal.
	refusing trouble = iota + 1
	// silent answers no call.
	silent
	// deaf is silent on connections that are open, which are those of watches.
	deaf
)

// way is one process's way to the store.
type way struct {
	truth *truth

	mu      sync.Mutex
	trouble trouble
	// since counts the changes of trouble.
	since int
}

func (w *way) set(trouble trouble) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = trouble
	w.since++
}

func (w *way) state() (trouble, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trouble, w.since
}

func (w *way) call(ctx context.Context) error {
	switch trouble, _ := w.state(); trouble {
	case refusing:
		return platform.ErrBusy
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return wait.Sleep(ctx, 4*time.Millisecond)
}

func (w *way) Get(ctx context.Context, _, _ string) (platform.Object, error) {
	return configObject(1, 1), w.call(ctx)
}

func (w *way) List(ctx context.Context, kind string) (platform.Snapshot, error) {
	err := w.call(ctx)
	return w.truth.snapshot(kind), err
}

func (w *way) Watch(ctx context.Context, kind string, revision uint64, hold time.Duration) (platform.Snapshot, error) {
	_, since := w.state()
	for end := time.Now().Add(hold); time.Now().Before(end); {
		if err := wait.Sleep(ctx, 5*time.Millisecond); err != nil {
			return platform.Snapshot{}, err
		}
		if trouble, now := w.state(); now != since {
			if trouble == refusing {
				return platform.Snapshot{}, platform.ErrBusy
			}
			<-ctx.Done()
			return platform.Snapshot{}, ctx.Err()
		}
		if snapshot := w.truth.snapshot(kind); snapshot.Revision > revision {
			if len(snapshot.Objects) == 0 {
				snapshot.Objects = []platform.Object{{Name: "x", Revision: snapshot.Revision, Deleted: true}}
			}
			return snapshot, nil
		}
	}
	return w.truth.snapshot(kind), nil
}

// learner is a process and when it learned that the upstream is not to be used.
type learner struct {
	*Mirror
	mu      sync.Mutex
	known   bool
	learned time.Time
}

func (l *learner) apply(config *version.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := false
	for _, upstream := range config.Upstreams {
		used = used || !upstream.Draining
	}
	switch {
	case used:
		l.known, l.learned = true, time.Time{}
	case l.known && l.learned.IsZero():
		l.learned = time.Now()
	}
}

func (l *learner) when() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.learned
}

// never and always tell whether others read the store for a process.
func never() bool  { return false }
func always() bool { return true }

// learn runs the duties of a process until ctx ends.
func learn(ctx context.Context, duties *sync.WaitGroup, store Store, served func() bool) *learner {
	l := &learner{}
	l.Mirror = New(Options{
		Store: store, Clock: time.Now, Apply: l.apply, Served: served,
		Members: func(map[version.VMID][]byte) {},
		Lost:    func() {},
		Log:     slog.New(slog.DiscardHandler),
	})
	for _, duty := range []func(context.Context) error{l.FollowConfig, l.FollowUpstreams, l.FollowEvacuations, l.FollowMembers} {
		duties.Go(func() { _ = duty(ctx) })
	}
	return l
}

const (
	// askEvery is how often a process asks its hub.
	askEvery = 300 * time.Millisecond
	// offsets and offsetStep spread the beginning of a trouble over the holds of
	// watches and the pauses between reads.
	offsets    = 16
	offsetStep = 210 * time.Millisecond
	// goesAfter is when the registration of an upstream that drains is removed.
	goesAfter = 1200 * time.Millisecond
)

// The hub of a data centre lost its way to the store, and the processes it reads for
// trusted it for up to 4.3 s, longer than an upstream that drains may be used. A watch
// that went silent was noticed after up to 4.6 s.
func TestAnUpstreamThatLeavesIsKnownInTimeWhateverTheReaderMeets(t *testing.T) {
	for name, c := range map[string]struct {
		trouble trouble
		// told is set for the process that a hub reads for; the trouble is the hub's.
		told bool
		// goes is set if the registration is removed a while after it says draining.
		goes bool
		// within is the platform's bound on draining for fleets with hubs, 4 s, less
		// 1 s for a request on its way, or that for fleets without, 2.5 s.
		within time.Duration
	}{
		"hub refused":            {refusing, true, false, 3 * time.Second},
		"hub refused, soon gone": {refusing, true, true, 3 * time.Second},
		"hub without an answer":  {silent, true, false, 3 * time.Second},
		"hub with a deaf watch":  {deaf, true, false, 3 * time.Second},
		"own watch that is deaf": {deaf, false, false, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := range offsets {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var duties sync.WaitGroup
					defer duties.Wait()
					defer cancel()
					store := &truth{}
					read := &way{truth: store}
					hub := learn(ctx, &duties, read, never)
					watched := hub
					if c.told {
						leaf := learn(ctx, &duties, &way{truth: store}, always)
						duties.Go(func() { ask(ctx, leaf, hub) })
						watched = leaf
					}
					time.Sleep(15*time.Second + time.Duration(offset)*offsetStep)
					read.set(c.trouble)
					time.Sleep(time.Millisecond)
					store.drain()
					drained := time.Now()
					if c.goes {
						time.Sleep(goesAfter)
						store.remove()
					}
					time.Sleep(20 * time.Second)
					switch learned := watched.when(); {
					case learned.IsZero():
						t.Error("not known after 20 s")
					case learned.Sub(drained) > c.within:
						t.Errorf("offset %d: known after %v, want %v", offset, learned.Sub(drained), c.within)
					}
				})
			}
		})
	}
}

// ask asks the hub again and again, as daemon/process/edge does.
func ask(ctx context.Context, leaf, hub *learner) {
	for wait.Sleep(ctx, askEvery) == nil {
		asked := time.Now()
		if tell, known := hub.Tell(leaf.Ask()); known {
			leaf.Take("hub", tell, asked)
		}
	}
}

// counted counts the calls to a store.
type counted struct {
	Store
	calls atomic.Int64
}

func (c *counted) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	c.calls.Add(1)
	return c.Store.Get(ctx, kind, name)
}

func (c *counted) List(ctx context.Context, kind string) (platform.Snapshot, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, kind)
}

// 71 of 83 processes read the store themselves for a second or two, every 13 s: the
// members had not changed for as long as a watch on them and the pause before it take.
func TestAHubInTouchIsTrustedWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		defer duties.Wait()
		defer cancel()
		store := &truth{}
		hub := learn(ctx, &duties, &way{truth: store}, never)
		own := &counted{Store: &way{truth: store}}
		leaf := learn(ctx, &duties, own, always)
		duties.Go(func() { ask(ctx, leaf, hub) })
		time.Sleep(5 * time.Second)
		store.join()
		before := own.calls.Load()
		time.Sleep(2 * time.Minute)
		if calls := own.calls.Load() - before; calls != 0 {
			t.Errorf("%d own reads", calls)
		}
	})
}

// A hub ended, and the 48 processes that it read for read the store themselves before they
// asked the other hub.
func TestTheOtherHubIsAskedBeforeTheStore(t *testing.T) {
	// silence is how long a hub may take to answer before the other one is asked, as in
	// daemon/process/edge.
	const silence = 450 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		defer duties.Wait()
		defer cancel()
		store := &truth{}
		hubs := [2]*learner{
			learn(ctx, &duties, &way{truth: store}, never),
			learn(ctx, &duties, &way{truth: store}, never),
		}
		own := &counted{Store: &way{truth: store}}
		leaf := learn(ctx, &duties, own, always)
		var gone atomic.Bool
		duties.Go(func() {
			asked, answered := 0, time.Now()
			for wait.Sleep(ctx, askEvery) == nil {
				if time.Since(answered) > silence {
					asked = 1 - asked
				}
				if asked == 0 && gone.Load() {
					continue
				}
				now := time.Now()
				if tell, known := hubs[asked].Tell(leaf.Ask()); known {
					leaf.Take("hub", tell, now)
					answered = now
				}
			}
		})
		for range offsets {
			time.Sleep(15*time.Second + offsetStep)
			before := own.calls.Load()
			gone.Store(true)
			time.Sleep(15 * time.Second)
			gone.Store(false)
			if calls := own.calls.Load() - before; calls != 0 {
				t.Errorf("%d own reads when a hub ended", calls)
			}
		}
	})
}
