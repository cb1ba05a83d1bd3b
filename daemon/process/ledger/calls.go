package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
)

// runStoreCalls makes the core's store calls until ctx ends.
func (l *Ledger) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-l.calls:
			event := l.storeCall(ctx, action)
			select {
			case l.events <- event:
			case <-ctx.Done():
			}
		}
	}
}

func (l *Ledger) storeCall(ctx context.Context, action core.Action) core.Event {
	switch a := action.(type) {
	case core.Write:
		l.counters.writes.Add(1)
		stored, err := l.options.Store.Put(ctx, a.Name, a.Value, objectstore.ObjectVersion(a.Expected))
		result := resultOfError(err)
		l.counters.countResult(result)
		return core.WriteDone{Operation: a.Operation, Result: result, Version: uint64(stored)}
	case core.Read:
		l.counters.reads.Add(1)
		object, err := l.options.Store.Get(ctx, a.Name)
		result := resultOfError(err)
		l.counters.countResult(result)
		return core.ReadDone{
			Operation: a.Operation,
			Result:    result,
			Version:   uint64(object.Version),
			Value:     object.Value,
		}
	default:
		panic(errors.AssertionFailedf("action %T is not a store call", action))
	}
}

// resultOfError maps an error of the store client to a result. An error that does
// not prove the call to be without effect gives core.Unresolved.
func resultOfError(err error) core.Result {
	switch {
	case err == nil:
		return core.Succeeded
	case errors.Is(err, objectstore.ErrNotFound):
		return core.NotFound
	case errors.Is(err, objectstore.ErrConflict):
		return core.Conflict
	case errors.IsAny(err, objectstore.ErrRateLimited, objectstore.ErrRejected):
		return core.Limited
	default:
		return core.Unresolved
	}
}
