package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

// ErrUnconfirmed is returned by Settle if it cannot be told whether the write
// took effect.
var ErrUnconfirmed = errors.New("platform did not confirm the write")

// Write is a conditional write that can be recognised when it is read back.
type Write struct {
	Key   string
	Value []byte
	// Expected is the version that the write replaces; 0 is no object.
	Expected ObjectVersion
	// Mine reports whether an object holds this very write. It must tell it
	// from every other writer's, by an identifier in the value.
	Mine func(Object) bool
}

// Settle makes a write and resolves lost answers by reading back. It returns
// the object's version once the platform has confirmed the write, ErrConflict
// if another write was first, and ErrUnconfirmed if the platform could not be
// asked within the attempts of retry or until ctx ended.
func Settle(ctx context.Context, store Store, write Write, retry Retry) (ObjectVersion, error) {
	lost := false
	pauses := retry.pauses()
	for n := 1; ; n++ {
		version, err := store.Put(ctx, write.Key, write.Value, write.Expected)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, ErrConflict) && !lost:
			return 0, err
		case !lost && !errors.IsAny(err, ErrUnavailable, context.Canceled, context.DeadlineExceeded):
			return 0, err
		}
		lost = true
		object, readErr := store.Get(ctx, write.Key)
		switch {
		case readErr == nil && write.Mine(object):
			return object.Version, nil
		case readErr == nil && object.Version != write.Expected,
			errors.Is(readErr, ErrNotFound) && write.Expected != 0:
			return 0, errors.Wrap(ErrConflict, "another write was first")
		}
		// The write may still be under way, so its absence proves nothing.
		if n >= retry.Attempts || wait.Sleep(ctx, pauses.after(err)) != nil {
			return 0, errors.Mark(errors.Wrap(err, "write not confirmed"), ErrUnconfirmed)
		}
	}
}
