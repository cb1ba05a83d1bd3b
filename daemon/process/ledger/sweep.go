package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
)

const (
	// sweepLookBack is how far before the retention a daemon that starts
	// looks for objects that were left over.
	sweepLookBack = 7 * 24 * time.Hour
	// sweepPause spaces the calls of a sweep.
	sweepPause = 100 * time.Millisecond
	// sweepInterval is how often a daemon sweeps.
	sweepInterval = 10 * time.Minute
)

// Sweep removes the objects whose retention is over, of the shards that this
// daemon writes, until ctx ends.
//
// A daemon that wrongly believes to write a shard does no harm: whether an
// object is removed follows from its name and the time alone, and the keys in
// it are refused by their age long before.
func (l *Ledger) Sweep(ctx context.Context) error {
	var swept [core.Shards]time.Time
	for {
		for shard := range swept {
			l.sweepShard(ctx, core.Shard(shard), &swept[shard])
		}
		if err := wait.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// sweepShard sweeps a shard up to now. It goes on from where the last sweep
// ended, which is an hour that was still partly kept.
func (l *Ledger) sweepShard(ctx context.Context, shard core.Shard, swept *time.Time) {
	if l.owners.Load()[shard] != (core.Owner{VM: l.options.VM}) {
		*swept = time.Time{}
		return
	}
	end := time.Now().Add(-core.Retention)
	from := *swept
	if from.IsZero() {
		from = end.Add(-sweepLookBack)
	}
	for hour := from.Truncate(time.Hour); hour.Before(end); hour = hour.Add(time.Hour) {
		if err := l.sweepHour(ctx, core.HourPrefix(shard, hour)); err != nil {
			l.options.Log.Warn("sweep the ledger", "error", err)
			return
		}
		*swept = hour
	}
}

func (l *Ledger) sweepHour(ctx context.Context, prefix string) error {
	names, err := l.options.Store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list objects")
	}
	for _, name := range names {
		place, ours := core.ParseName(name)
		if !ours || !place.Bucket.Expired(time.Now()) {
			continue
		}
		if err := l.remove(ctx, name); err != nil {
			return err
		}
	}
	return wait.Sleep(ctx, sweepPause)
}

// remove removes an object. Another daemon may have been first.
func (l *Ledger) remove(ctx context.Context, name string) error {
	object, err := l.options.Store.Get(ctx, name)
	if err == nil {
		err = l.options.Store.Delete(ctx, name, object.Version)
	}
	if err != nil && !errors.IsAny(err, objectstore.ErrNotFound, objectstore.ErrConflict) {
		return errors.Wrapf(err, "remove %s", name)
	}
	return wait.Sleep(ctx, sweepPause)
}
