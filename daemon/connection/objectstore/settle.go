package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

// ErrUnconfirmed is returned by PutConfirmed if it could not determine whether the write
// took effect.
var ErrUnconfirmed = errors.New("platform did not confirm the write")

// Write is a conditional write that can be recognised when the object is read back.
type Write struct {
	Key   string
	Value []byte
	// Expected is the version that the write replaces; 0 means that the object
	// must not exist.
	Expected ObjectVersion
	// Matches reports whether an object was written by this Write. It must
	// distinguish this Write from those of all other writers, by an identifier
	// in the value.
	Matches func(Object) bool
}

// PutConfirmed makes a write. If an answer is lost, it reads the object back to find out
// whether the write took effect, and repeats the write if it has not yet. It returns
// the object's version once the platform has confirmed the write, ErrConflict if
// another write came first, and ErrUnconfirmed if the outcome is still unknown after
// the attempts of retry or when ctx ends.
func PutConfirmed(ctx context.Context, store Store, write Write, retry Retry) (ObjectVersion, error) {
	answerLost := false
	pauses := retry.backoff()
	for n := 1; ; n++ {
		version, err := store.Put(ctx, write.Key, write.Value, write.Expected)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, ErrConflict) && !answerLost:
			return 0, err
		case !answerLost && !errors.IsAny(err, ErrUnavailable, context.Canceled, context.DeadlineExceeded):
			return 0, err
		}
		answerLost = true
		object, readErr := store.Get(ctx, write.Key)
		switch {
		case readErr == nil && write.Matches(object):
			return object.Version, nil
		case readErr == nil && object.Version != write.Expected,
			errors.Is(readErr, ErrNotFound) && write.Expected != 0:
			return 0, errors.Wrap(ErrConflict, "another write came first")
		}
		// The write may still be in progress, so its absence does not show that it
		// had no effect.
		if n >= retry.Attempts || wait.Sleep(ctx, pauses.after(err)) != nil {
			return 0, errors.Mark(errors.Wrap(err, "write not confirmed"), ErrUnconfirmed)
		}
	}
}
