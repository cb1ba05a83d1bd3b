// Package duty supervises the background tasks that run for the lifetime of a daemon, so
// that a panic in one of them does not crash the process and abort all requests.
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

// ErrPanicked is the error of a task that panicked.
var ErrPanicked = errors.New("duty panicked")

// restartDelay is the time before a task that panicked is restarted.
const restartDelay = time.Second

// panics counts the panics of all tasks of the process.
var panics atomic.Uint64

// Panics returns the number of panics in tasks of this process.
func Panics() uint64 { return panics.Load() }

// Run runs a task once and returns its error. A panic is logged, counted and returned as an
// ErrPanicked.
func Run(name string, log *slog.Logger, task func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		panics.Add(1)
		log.Error("duty panicked", "duty", name, "panic", cause, "stack", string(debug.Stack()))
		err = errors.Wrapf(ErrPanicked, "%s: %v", name, cause)
	}()
	return task()
}

// RunRestarting runs a task and restarts it after each panic, until it returns without a
// panic or ctx ends. The task must be safe to restart at any time.
func RunRestarting(ctx context.Context, name string, log *slog.Logger, task func(context.Context) error) error {
	for {
		err := Run(name, log, func() error { return task(ctx) })
		if !errors.Is(err, ErrPanicked) {
			return err
		}
		if err := wait.Sleep(ctx, restartDelay); err != nil {
			return err
		}
	}
}

// Add adds a task to a group that is restarted after a panic. The task must be safe to
// restart at any time.
func Add(group *run.Group, ctx context.Context, name string, log *slog.Logger, task func(context.Context) error) {
	add(group, ctx, func(ctx context.Context) error { return RunRestarting(ctx, name, log, task) })
}

// AddVital adds a task to a group that is not restarted after a panic, because the panic may
// have corrupted its state. The panic stops the group, and so shuts the process down in
// order.
func AddVital(group *run.Group, ctx context.Context, name string, log *slog.Logger, task func(context.Context) error) {
	add(group, ctx, func(ctx context.Context) error {
		return Run(name, log, func() error { return task(ctx) })
	})
}

// add adds a task to a group; its context ends when the group stops.
func add(group *run.Group, ctx context.Context, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}
