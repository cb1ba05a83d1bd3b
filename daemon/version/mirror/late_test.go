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

// storeState is the content of the store: one upstream, which drains or deregisters.
type storeState struct {
	mu                sync.Mutex
	draining, removed bool
	// joined is set once there is a second member.
	joined bool
}

func (s *storeState) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *storeState) join() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = true
}

func (s *storeState) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
}

func (s *storeState) snapshot(kind string) platform.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case kind == platform.KindMember && s.joined:
		return platform.Snapshot{Revision: 15, Objects: []platform.Object{{Name: "vm-2", Revision: 15}}}
	case kind != platform.KindUpstream:
		return platform.Snapshot{Revision: 10}
	case s.removed:
		return platform.Snapshot{Revision: 30}
	case s.draining:
		return platform.Snapshot{Revision: 20, Objects: []platform.Object{draining("x", 20)}}
	}
	return platform.Snapshot{Revision: 10, Objects: []platform.Object{registration("x", 5)}}
}

// fault is how the store fails for one process.
type fault int

const (
	// refusing refuses each call.
	refusing fault = iota + 1
	// silent answers no call.
	silent
	// silentWatches stops answering on open connections, which are those of watches, and
	// answers new calls.
	silentWatches
)

// storeClient is one process's client of the store.
type storeClient struct {
	state *storeState

	mu    sync.Mutex
	fault fault
	// faultChanges counts the changes of fault.
	faultChanges int
}

func (c *storeClient) set(fault fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
	c.faultChanges++
}

func (c *storeClient) current() (fault, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault, c.faultChanges
}

func (c *storeClient) call(ctx context.Context) error {
	switch fault, _ := c.current(); fault {
	case refusing:
		return platform.ErrBusy
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return wait.Sleep(ctx, 4*time.Millisecond)
}

func (c *storeClient) Get(ctx context.Context, _, _ string) (platform.Object, error) {
	return configObject(1, 1), c.call(ctx)
}

func (c *storeClient) List(ctx context.Context, kind string) (platform.Snapshot, error) {
	err := c.call(ctx)
	return c.state.snapshot(kind), err
}

func (c *storeClient) Watch(ctx context.Context, kind string, revision uint64, hold time.Duration) (platform.Snapshot, error) {
	_, faultChanges := c.current()
	for end := time.Now().Add(hold); time.Now().Before(end); {
		if err := wait.Sleep(ctx, 5*time.Millisecond); err != nil {
			return platform.Snapshot{}, err
		}
		if fault, changes := c.current(); changes != faultChanges {
			if fault == refusing {
				return platform.Snapshot{}, platform.ErrBusy
			}
			<-ctx.Done()
			return platform.Snapshot{}, ctx.Err()
		}
		if snapshot := c.state.snapshot(kind); snapshot.Revision > revision {
			if len(snapshot.Objects) == 0 {
				snapshot.Objects = []platform.Object{{Name: "x", Revision: snapshot.Revision, Deleted: true}}
			}
			return snapshot, nil
		}
	}
	return c.state.snapshot(kind), nil
}

// process is a process with the time at which it learned that the upstream must not be
// used.
type process struct {
	*Mirror
	mu        sync.Mutex
	sawUsable bool
	learnedAt time.Time
}

func (p *process) apply(config *version.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := false
	for _, upstream := range config.Upstreams {
		usable = usable || !upstream.Draining
	}
	switch {
	case usable:
		p.sawUsable, p.learnedAt = true, time.Time{}
	case p.sawUsable && p.learnedAt.IsZero():
		p.learnedAt = time.Now()
	}
}

func (p *process) learnedTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learnedAt
}

// never and always report whether there are store readers for a process.
func never() bool  { return false }
func always() bool { return true }

// startProcess runs the background tasks of a process until ctx ends.
func startProcess(ctx context.Context, tasks *sync.WaitGroup, store Store, hasStoreReaders func() bool) *process {
	p := &process{}
	p.Mirror = New(Options{
		Store: store, Clock: time.Now, Apply: p.apply, HasStoreReaders: hasStoreReaders,
		Members:       func(map[version.VMID][]byte) {},
		OnCallFailure: func() {},
		Log:           slog.New(slog.DiscardHandler),
	})
	for _, task := range []func(context.Context) error{p.FollowConfig, p.FollowUpstreams, p.FollowEvacuations, p.FollowMembers} {
		tasks.Go(func() { _ = task(ctx) })
	}
	return p
}

const (
	// requestInterval is how often a process sends a state request to its hub.
	requestInterval = 300 * time.Millisecond
	// offsets and offsetStep spread the start of a fault over the holds of watches and the
	// pauses between reads.
	offsets    = 16
	offsetStep = 210 * time.Millisecond
	// deregisterDelay is the time after which the registration of a draining upstream is
	// removed.
	deregisterDelay = 1200 * time.Millisecond
)

// The hub of a data centre lost contact with the store, and the processes that it reads for
// trusted its state for up to 4.3 s, longer than a draining upstream may be used. A watch
// that became silent was detected after up to 4.6 s.
func TestDrainingUpstreamIsKnownInTimeUnderStoreFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault fault
		// hasHub is set if the checked process has a hub that reads for it; the fault is
		// the hub's.
		hasHub bool
		// deregisters is set if the registration is removed deregisterDelay after it
		// becomes draining.
		deregisters bool
		// bound is the platform's bound on draining for fleets with hubs, 4 s, less 1 s for
		// a request in transit, or the bound for fleets without hubs, 2.5 s.
		bound time.Duration
	}{
		"hub refused":                       {refusing, true, false, 3 * time.Second},
		"hub refused, upstream deregisters": {refusing, true, true, 3 * time.Second},
		"hub gets no answers":               {silent, true, false, 3 * time.Second},
		"hub's open watch gets no answer":   {silentWatches, true, false, 3 * time.Second},
		"own open watch gets no answer":     {silentWatches, false, false, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := range offsets {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var tasks sync.WaitGroup
					defer tasks.Wait()
					defer cancel()
					store := &storeState{}
					hubClient := &storeClient{state: store}
					hub := startProcess(ctx, &tasks, hubClient, never)
					observed := hub
					if c.hasHub {
						leaf := startProcess(ctx, &tasks, &storeClient{state: store}, always)
						tasks.Go(func() { requestState(ctx, leaf, hub) })
						observed = leaf
					}
					time.Sleep(15*time.Second + time.Duration(offset)*offsetStep)
					hubClient.set(c.fault)
					time.Sleep(time.Millisecond)
					store.drain()
					drained := time.Now()
					if c.deregisters {
						time.Sleep(deregisterDelay)
						store.remove()
					}
					time.Sleep(20 * time.Second)
					switch learned := observed.learnedTime(); {
					case learned.IsZero():
						t.Error("the process did not learn within 20 s that the upstream drains")
					case learned.Sub(drained) > c.bound:
						t.Errorf("offset %d: learned after %v, want at most %v", offset, learned.Sub(drained), c.bound)
					}
				})
			}
		})
	}
}

// requestState sends state requests to the hub periodically, as daemon/process/edge does.
func requestState(ctx context.Context, leaf, hub *process) {
	for wait.Sleep(ctx, requestInterval) == nil {
		sentAt := time.Now()
		if response, ok := hub.AnswerStateRequest(leaf.StateRequest()); ok {
			leaf.ApplyStateResponse("hub", response, sentAt)
		}
	}
}

// callCounter counts the calls to a store.
type callCounter struct {
	Store
	calls atomic.Int64
}

func (c *callCounter) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	c.calls.Add(1)
	return c.Store.Get(ctx, kind, name)
}

func (c *callCounter) List(ctx context.Context, kind string) (platform.Snapshot, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, kind)
}

// 71 of 83 processes read the store themselves for a second or two every 13 s, because the
// members had not changed for as long as a watch on them and the pause before it take.
func TestHubIsTrustedWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		store := &storeState{}
		hub := startProcess(ctx, &tasks, &storeClient{state: store}, never)
		leafStore := &callCounter{Store: &storeClient{state: store}}
		leaf := startProcess(ctx, &tasks, leafStore, always)
		tasks.Go(func() { requestState(ctx, leaf, hub) })
		time.Sleep(5 * time.Second)
		store.join()
		before := leafStore.calls.Load()
		time.Sleep(2 * time.Minute)
		if calls := leafStore.calls.Load() - before; calls != 0 {
			t.Errorf("%d calls of the store by the leaf, want 0", calls)
		}
	})
}

// When a hub ended, the 48 processes that it read for read the store themselves before they
// asked the other hub.
func TestOtherHubIsAskedBeforeTheStore(t *testing.T) {
	// hubTimeout is how long a hub may take to answer before the other hub is asked, as in
	// daemon/process/edge.
	const hubTimeout = 450 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		store := &storeState{}
		hubs := [2]*process{
			startProcess(ctx, &tasks, &storeClient{state: store}, never),
			startProcess(ctx, &tasks, &storeClient{state: store}, never),
		}
		leafStore := &callCounter{Store: &storeClient{state: store}}
		leaf := startProcess(ctx, &tasks, leafStore, always)
		var hubStopped atomic.Bool
		tasks.Go(func() {
			hubIndex, lastAnswer := 0, time.Now()
			for wait.Sleep(ctx, requestInterval) == nil {
				if time.Since(lastAnswer) > hubTimeout {
					hubIndex = 1 - hubIndex
				}
				if hubIndex == 0 && hubStopped.Load() {
					continue
				}
				now := time.Now()
				if response, ok := hubs[hubIndex].AnswerStateRequest(leaf.StateRequest()); ok {
					leaf.ApplyStateResponse("hub", response, now)
					lastAnswer = now
				}
			}
		})
		for range offsets {
			time.Sleep(15*time.Second + offsetStep)
			before := leafStore.calls.Load()
			hubStopped.Store(true)
			time.Sleep(15 * time.Second)
			hubStopped.Store(false)
			if calls := leafStore.calls.Load() - before; calls != 0 {
				t.Errorf("%d calls of the store by the leaf after a hub ended, want 0", calls)
			}
		}
	})
}
