// Package duty runs the goroutines that a daemon has for its whole life, so that an
// unexpected error in one of them does not end the process with all requests.
package duty

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

// ErrPanicked is a duty that panicked.
var ErrPanicked = errors.New("duty panicked")

// restartPause is the time before a duty that panicked begins again.
const restartPause = time.Second

// panics counts the panics of all duties of the process.
var panics atomic.Uint64

// Panics returns how often duties of this process have panicked.
func Panics() uint64 { return panics.Load() }

// Try runs do. A panic in it is logged and counted, and becomes an ErrPanicked.
func Try(name string, log *slog.Logger, do func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		panics.Add(1)
		log.Error("duty panicked", "duty", name, "panic", cause, "stack", string(debug.Stack()))
		err = errors.Wrapf(ErrPanicked, "%s: %v", name, cause)
	}()
	return do()
}

// Keep runs a duty that may begin again at any time, until it ends without a panic.
func Keep(ctx context.Context, name string, log *slog.Logger, do func(context.Context) error) error {
	for {
		err := Try(name, log, func() error { return do(ctx) })
		if !errors.Is(err, ErrPanicked) {
			return err
		}
		if err := wait.Sleep(ctx, restartPause); err != nil {
			return err
		}
	}
}

// Add adds a duty that may begin again at any time to a group.
func Add(group *run.Group, ctx context.Context, name string, log *slog.Logger, do func(context.Context) error) {
	add(group, ctx, func(ctx context.Context) error { return Keep(ctx, name, log, do) })
}

// AddVital adds a duty to a group whose state a panic may have spoilt: it ends the group,
// and so the process, in order.
func AddVital(group *run.Group, ctx context.Context, name string, log *slog.Logger, do func(context.Context) error) {
	add(group, ctx, func(ctx context.Context) error {
		return Try(name, log, func() error { return do(ctx) })
	})
}

func add(group *run.Group, ctx context.Context, do func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return do(ctx) }, func(error) { cancel() })
}
