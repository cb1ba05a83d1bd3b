// Package follow keeps a daemon's configuration up to date: it runs the
// decisions of fleet/version/distribute, reads the platform where they say so
// and writes orders that came past the platform into it.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/distribute"
)

// unreachableAfter is how long calls to the platform must have failed before it
// is reported as unreachable.
const unreachableAfter = 2 * time.Second

// Sender carries messages to linked daemons.
type Sender interface {
	// Send reports false if the message cannot be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Options set up a Follower.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	Seed       uint64
	Store      objectstore.Store
	Sender     Sender
	// Apply takes each configuration to put in force; numbers only grow. It
	// must not call the Follower.
	Apply    func(*version.Config)
	Timeline *timeline.Ring
	Log      *slog.Logger
}

// Follower follows the configuration. It is safe for concurrent use.
type Follower struct {
	options Options
	changer *change.Changer

	mu   sync.Mutex
	core *distribute.Core
	// failingSince is when calls to the platform began to fail; zero while they
	// succeed.
	failingSince time.Time
	// unreachable is set once that has been reported.
	unreachable bool
}

// Status is what a Follower holds.
type Status struct {
	// Confirmed is the number of the platform's head.
	Confirmed version.Number
	// Orders are in force over it.
	Orders []version.Order
	// Watching is set if this daemon reads the platform itself.
	Watching bool
}

// New returns a follower that holds nothing.
func New(options Options) *Follower {
	return &Follower{
		options: options,
		changer: change.New(change.Options{Store: options.Store}),
		core: distribute.New(time.Now(), distribute.Options{
			VM:         options.VM,
			DataCentre: options.DataCentre,
			Seed:       options.Seed,
		}),
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties.Go(func() { f.absorb(ctx) })
	watch := watching{follower: f}
	defer watch.stop()
	ticker := time.NewTicker(distribute.TickInterval)
	defer ticker.Stop()
	for {
		f.tick()
		watch.set(ctx, f.Status().Watching)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Status returns what is held at present.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Confirmed: f.core.Confirmed(), Orders: f.core.Orders(), Watching: f.core.Watching()}
}

// Peer returns the number that a linked daemon last announced; 0 is none.
func (f *Follower) Peer(vm version.VMID) version.Number {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Peer(vm)
}

// Order puts an operator's order in force and passes it on. It returns the
// number in force, distribute.ErrNoHead, distribute.ErrTooManyOrders or
// version.ErrInvalid.
func (f *Follower) Order(order version.Order) (version.Number, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, err := f.core.GiveOrder(time.Now(), order)
	f.carryOut()
	return number, err
}

// LinkUp is called when a link to another daemon came up.
func (f *Follower) LinkUp(hello wire.Hello) {
	f.step(distribute.PeerUp{VM: hello.VM, DataCentre: hello.DataCentre, Leaving: hello.Leaving})
}

// LinkDown is called when a link went down.
func (f *Follower) LinkDown(vm version.VMID) { f.step(distribute.PeerDown{VM: vm}) }

// Receive handles one message of a linked daemon.
func (f *Follower) Receive(from version.VMID, message wire.Message) {
	f.step(distribute.Receive{From: from, Message: message})
}

// Observe is told the outcome of each call to the platform. It reports a
// platform that has failed for unreachableAfter, and its return.
func (f *Follower) Observe(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if err != nil && !errors.Is(err, objectstore.ErrRateLimited) {
		f.failed(now, err)
		return
	}
	// A platform that limits the rate answers, too.
	f.failingSince = time.Time{}
	f.core.Step(now, distribute.PlatformContact{})
	f.carryOut()
	if f.unreachable {
		f.unreachable = false
		f.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindPlatform, Detail: "reachable"})
		f.options.Log.Info("platform reachable")
	}
}

// failed notes a call that the platform did not answer.
func (f *Follower) failed(now time.Time, err error) {
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	if f.unreachable || now.Sub(f.failingSince) < unreachableAfter {
		return
	}
	f.unreachable = true
	f.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindPlatform, Detail: "unreachable"})
	f.options.Log.Warn("platform unreachable", "error", err)
}

func (f *Follower) step(event distribute.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Step(time.Now(), event)
	f.carryOut()
}

func (f *Follower) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Tick(time.Now())
	f.carryOut()
}

// carryOut does what the core decided. It holds the lock, so that versions are
// applied in order.
func (f *Follower) carryOut() {
	for _, action := range f.core.Ready() {
		switch a := action.(type) {
		case distribute.Send:
			f.options.Sender.Send(a.To, a.Message)
		case distribute.Apply:
			f.options.Apply(a.Config)
		case distribute.Refuse:
			f.options.Log.Error("configuration refused", "version", a.Number, "error", a.Err)
		}
	}
}
