package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/daemon/version/objects"
	"github.com/trefoilwell/trefoilwell/fleet/version/distribute"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

const (
	// retryMin and retryMax bound the pause after a configuration head that could not be
	// read.
	retryMin = 200 * time.Millisecond
	retryMax = 5 * time.Second
	// absorbInterval is the longest interval between two attempts to write orders into the
	// platform.
	absorbInterval = 4 * time.Second
)

// headWatch runs the watch of the configuration head while this daemon is to read the
// platform.
type headWatch struct {
	follower *Follower
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// set starts or stops the watch.
func (w *headWatch) set(ctx context.Context, wanted bool) {
	switch {
	case wanted && w.cancel == nil:
		ctx, cancel := context.WithCancel(ctx)
		w.cancel = cancel
		w.running.Go(func() { w.follower.watch(ctx) })
	case !wanted:
		w.stop()
	}
}

func (w *headWatch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
		w.running.Wait()
	}
}

// watch passes each new head of the platform to the core until ctx ends.
func (f *Follower) watch(ctx context.Context) {
	var lastVersion objectstore.ObjectVersion
	pause := retryMin
	for ctx.Err() == nil {
		object, err := f.options.Store.Watch(ctx, objects.HeadKey, lastVersion)
		if err == nil {
			err = f.read(ctx, object)
		}
		if errors.Is(err, objectstore.ErrNotFound) && f.Status().Confirmed > 0 {
			lastVersion, err = 0, f.restore(ctx, 0)
		}
		if err != nil {
			if ctx.Err() == nil {
				f.options.Log.Warn("cannot read the configuration from the platform", "error", err)
			}
			_ = wait.Sleep(ctx, rand.N(pause))
			pause = min(2*pause, retryMax)
			continue
		}
		lastVersion, pause = object.Version, retryMin
	}
}

// read reads the parts of a head that this daemon lacks, and passes the head and the parts
// to the core.
func (f *Follower) read(ctx context.Context, object objectstore.Object) error {
	head, err := part.DecodeHead(object.Value)
	if err != nil {
		return err
	}
	if head.Number < f.Status().Confirmed {
		return f.restore(ctx, object.Version)
	}
	parts := make(map[string][]byte)
	for _, ref := range head.Parts {
		if f.hasPart(ref.SHA256) {
			continue
		}
		data, err := objects.Part(ctx, f.options.Store, ref.SHA256)
		if err != nil {
			return err
		}
		parts[ref.SHA256] = data
	}
	f.step(distribute.PlatformHead{Encoded: object.Value, Parts: parts})
	return nil
}

// restore writes the head in force into the platform again, in place of the head with the expected
// version: the platform has returned from an older copy and lost it. Of several daemons that do so
// at the same time, all but one get a conflict and read the head again.
func (f *Follower) restore(ctx context.Context, expected objectstore.ObjectVersion) error {
	f.mu.Lock()
	encoded, parts := f.core.Head()
	number := f.core.HeadNumber()
	f.mu.Unlock()
	err := f.changer.Restore(ctx, encoded, parts, expected)
	if err == nil {
		f.options.Log.Warn("platform had lost the configuration, written again", "version", number)
	}
	return err
}

func (f *Follower) hasPart(digest string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, present := f.core.Part(digest)
	return present
}

// absorb writes orders into the platform that daemons accepted directly from operators,
// once the platform answers, until ctx ends. Only daemons that watch the platform do so. If
// several write at the same time, all but one get a conflict, which is harmless.
func (f *Follower) absorb(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, absorbInterval/2+rand.N(absorbInterval/2))
		status := f.Status()
		if !status.Watching || len(status.Orders) == 0 {
			continue
		}
		head, err := f.changer.Absorb(ctx, status.Orders)
		switch {
		case err == nil:
			f.options.Log.Info("orders written into the platform", "orders", len(status.Orders), "version", head.Number)
		case errors.Is(err, change.ErrConflict):
		default:
			f.options.Log.Warn("cannot write orders into the platform", "orders", len(status.Orders), "error", err)
		}
	}
}
