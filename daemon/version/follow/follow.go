// Package follow keeps a daemon's configuration up to date. It carries out the decisions of
// fleet/version/distribute: it reads the platform when they ask for it. It also writes into
// the platform those orders that daemons accepted directly from operators.
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

// unreachableAfter is how long calls to the platform must have failed before it is reported
// as unreachable.
const unreachableAfter = 2 * time.Second

// Sender sends messages to linked daemons.
type Sender interface {
	// Send reports false if the message cannot be sent.
	Send(to version.VMID, message wire.Message) bool
}

// Options configure a Follower.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	Seed       uint64
	Store      objectstore.Store
	Sender     Sender
	// Apply receives each configuration to apply; version numbers only grow. It must not
	// call the Follower.
	Apply    func(*version.Config)
	Timeline *timeline.Ring
	Log      *slog.Logger
}

// Follower keeps the configuration up to date. It is safe for concurrent use.
type Follower struct {
	options Options
	changer *change.Changer

	mu   sync.Mutex
	core *distribute.Core
	// failingSince is when calls to the platform began to fail; zero while they succeed.
	failingSince time.Time
	// unreachable is set once the failure has been reported.
	unreachable bool
}

// Status is the state of a Follower.
type Status struct {
	// Confirmed is the number of the platform's configuration head.
	Confirmed version.Number
	// Orders are the operators' orders applied on top of the head.
	Orders []version.Order
	// Watching is set if this daemon reads the platform itself.
	Watching bool
}

// New returns a follower without a configuration.
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

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks.Go(func() { f.absorb(ctx) })
	watch := headWatch{follower: f}
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

// Status returns the present state.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Confirmed: f.core.HeadNumber(), Orders: f.core.Orders(), Watching: f.core.Watching()}
}

// AnnouncedNumber returns the version number that a linked daemon last announced; 0 if
// none.
func (f *Follower) AnnouncedNumber(vm version.VMID) version.Number {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.PeerHeadNumber(vm)
}

// ApplyOrder applies an operator's order and passes it on to other daemons. It returns the
// active version number, or distribute.ErrNoHead, distribute.ErrTooManyOrders or
// version.ErrInvalid.
func (f *Follower) ApplyOrder(order version.Order) (version.Number, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, err := f.core.ApplyOrder(time.Now(), order)
	f.carryOut()
	return number, err
}

// LinkUp is called when a link to another daemon was established.
func (f *Follower) LinkUp(hello wire.Hello) {
	f.step(distribute.PeerUp{VM: hello.VM, DataCentre: hello.DataCentre, Leaving: hello.Leaving})
}

// LinkDown is called when the link to a daemon was lost.
func (f *Follower) LinkDown(vm version.VMID) { f.step(distribute.PeerDown{VM: vm}) }

// Receive handles a message from a linked daemon.
func (f *Follower) Receive(from version.VMID, message wire.Message) {
	f.step(distribute.Receive{From: from, Message: message})
}

// Observe is called with the outcome of each call to the platform. It reports that the
// platform is unreachable once calls have failed for unreachableAfter, and that it is
// reachable again.
func (f *Follower) Observe(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if err != nil && !errors.Is(err, objectstore.ErrRateLimited) {
		f.callFailed(now, err)
		return
	}
	// A platform that rejects calls over its rate limit is reachable.
	f.failingSince = time.Time{}
	f.core.Step(now, distribute.PlatformContact{})
	f.carryOut()
	if f.unreachable {
		f.unreachable = false
		f.options.Timeline.Record(now, timeline.Event{Kind: timeline.KindPlatform, Detail: "reachable"})
		f.options.Log.Info("platform reachable")
	}
}

// callFailed records a call that the platform did not answer.
func (f *Follower) callFailed(now time.Time, err error) {
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

// carryOut executes the actions that the core decided on. It is called with the lock held,
// so that versions are applied in order.
func (f *Follower) carryOut() {
	for _, action := range f.core.Ready() {
		switch a := action.(type) {
		case distribute.Send:
			f.options.Sender.Send(a.To, a.Message)
		case distribute.Apply:
			f.options.Apply(a.Config)
		case distribute.ReportRejectedHead:
			f.options.Log.Error("configuration refused", "version", a.Number, "error", a.Err)
		}
	}
}
