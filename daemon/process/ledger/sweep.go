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
	// sweepLookback is how far beyond the retention a daemon looks for left-over
	// objects in its first sweep of a shard.
	sweepLookback = 7 * 24 * time.Hour
	// sweepCallInterval is the pause between the store calls of a sweep.
	sweepCallInterval = 100 * time.Millisecond
	// sweepInterval is how often a daemon sweeps.
	sweepInterval = 10 * time.Minute
)

// Sweep removes the objects whose retention has expired, in the shards that this
// daemon owns, until ctx ends. It returns the error of ctx.
//
// A daemon that wrongly assumes that it owns a shard does no harm: whether an
// object is removed depends on its name and the time alone, and its keys are
// refused for their age long before.
func (l *Ledger) Sweep(ctx context.Context) error {
	var sweptUntil [core.ShardCount]time.Time
	for {
		for shard := range sweptUntil {
			l.sweepShard(ctx, core.Shard(shard), &sweptUntil[shard])
		}
		if err := wait.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// sweepShard sweeps the hours of a shard whose retention has at least partly
// expired. It starts at the hour where the last sweep ended, because part of that
// hour was still retained then. Errors are logged; the next sweep tries again.
func (l *Ledger) sweepShard(ctx context.Context, shard core.Shard, sweptUntil *time.Time) {
	if l.owners.Load()[shard] != (core.Owner{VM: l.options.VM}) {
		*sweptUntil = time.Time{}
		return
	}
	end := time.Now().Add(-core.Retention)
	from := *sweptUntil
	if from.IsZero() {
		from = end.Add(-sweepLookback)
	}
	for hour := from.Truncate(time.Hour); hour.Before(end); hour = hour.Add(time.Hour) {
		if err := l.sweepHour(ctx, core.HourPrefix(shard, hour)); err != nil {
			l.options.Log.Warn("ledger sweep failed, the next sweep tries again", "error", err)
			return
		}
		*sweptUntil = hour
	}
}

func (l *Ledger) sweepHour(ctx context.Context, prefix string) error {
	names, err := l.options.Store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list ledger objects")
	}
	for _, name := range names {
		id, isLedgerName := core.ParseObjectName(name)
		if !isLedgerName || !id.Bucket.Expired(time.Now()) {
			continue
		}
		if err := l.removeObject(ctx, name); err != nil {
			return err
		}
	}
	return wait.Sleep(ctx, sweepCallInterval)
}

// removeObject removes an object, which another daemon may already have removed.
func (l *Ledger) removeObject(ctx context.Context, name string) error {
	object, err := l.options.Store.Get(ctx, name)
	if err == nil {
		err = l.options.Store.Delete(ctx, name, object.Version)
	}
	if err != nil && !errors.IsAny(err, objectstore.ErrNotFound, objectstore.ErrConflict) {
		return errors.Wrapf(err, "remove ledger object %s", name)
	}
	return wait.Sleep(ctx, sweepCallInterval)
}
