package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

const (
	// maxRestoreAge is how old a copy may be that the store returns from, maxRestoreOutage how
	// long it is down before that, and maxRewriteDelay the time after which the operator and
	// the upstreams have written again what it lost.
	maxRestoreAge    = 10 * time.Second
	maxRestoreOutage = 1500 * time.Millisecond
	maxRewriteDelay  = 1200 * time.Millisecond
	// restoreStream is the stream of the seed's random numbers for returns of the store.
	restoreStream = 1<<32 + 2
)

// runRestores lets the store return from older copies of itself during storms, sometimes
// twice in a row. Between two returns it takes the copies.
func (s *scenario) runRestores(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		older := s.fleet.store.Copy()
		if wait.Sleep(ctx, time.Second+time.Duration(random.Int64N(int64(maxRestoreAge)))) != nil {
			return
		}
		s.awaitStorm(ctx)
		for range 1 + random.IntN(2) {
			s.restoreStore(ctx, older, random)
		}
	}
}

// awaitStorm waits until a storm phase begins or goes on.
func (s *scenario) awaitStorm(ctx context.Context) {
	for !s.storming.Load() && wait.Sleep(ctx, 50*time.Millisecond) == nil {
		continue
	}
}

// restoreStore lets the store be away for a moment and return from an older copy. What the
// operator and the upstreams wrote since is written again.
func (s *scenario) restoreStore(ctx context.Context, older metastore.Copy, random *rand.Rand) {
	outage := time.Duration(random.Int64N(int64(maxRestoreOutage)))
	delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
	s.log.Info("store returns from an older copy", "outage", outage, "written_again_after", delay)
	s.fleet.store.SetFaults(metastore.Down)
	_ = wait.Sleep(ctx, outage)
	s.fleet.store.Restore(older)
	s.fleet.store.SetFaults(metastore.Faults{})
	s.mu.Lock()
	s.restores++
	s.mu.Unlock()
	_ = wait.Sleep(ctx, delay)
	s.fleet.rewrite()
}

// rewrite writes again what the operator and the upstreams wrote last.
func (f *fleet) rewrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for object, spec := range f.written {
		f.store.Put(object.kind, object.name, spec)
	}
}

// writtenObject names an object that the operator or an upstream has written.
type writtenObject struct{ kind, name string }

// put writes an object for the operator or an upstream. f.mu must be held.
func (f *fleet) put(kind, name string, spec any) {
	f.written[writtenObject{kind, name}] = spec
	f.store.Put(kind, name, spec)
}
