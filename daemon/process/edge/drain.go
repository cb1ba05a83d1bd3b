package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/request/grace"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// balancerNoticeTime is how long the load balancer may take to stop sending new
	// connections: it probes readiness once a second and acts on the second failure.
	balancerNoticeTime = 2800 * time.Millisecond
	// maxNoticeFraction bounds balancerNoticeTime to a fraction of the grace period, for
	// short grace periods.
	maxNoticeFraction = 0.4
	// exitReserveFraction is the fraction of the platform's grace period that is reserved
	// for the last responses and the exit. A small VM with many connections takes over
	// half a second for these.
	exitReserveFraction = 0.125
	// pollInterval is the time between two checks for remaining requests or connections.
	pollInterval = 50 * time.Millisecond
	// shutdownTimeout bounds the sending of the last bytes of responses.
	shutdownTimeout = 300 * time.Millisecond
	// deregisterTimeout bounds the call that removes the registration.
	deregisterTimeout = 500 * time.Millisecond
)

// errDrained ends the run group of a daemon that has drained.
var errDrained = errors.New("drained")

// addDrain adds the actor that drains the daemon once ctx ends. First the daemon reports
// not ready and closes each connection after its response, while it still serves requests.
// Then it refuses new requests. Once no request is left, or the grace period is nearly over,
// it rejects all connections and closes the idle ones.
func (d *Daemon) addDrain(group *run.Group, ctx context.Context) {
	groupCtx, cancelGroup := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			return d.drain(groupCtx)
		case <-groupCtx.Done():
			return groupCtx.Err()
		}
	}, func(error) { cancelGroup() })
}

// drain performs the steps that addDrain describes. It returns errDrained, or the error of
// groupCtx if that ends during a wait before the server is shut down.
func (d *Daemon) drain(groupCtx context.Context) error {
	start := time.Now()
	d.leaving.Store(true)
	period := d.settings.Load().Bounds.TerminationGrace
	deadline := start.Add(time.Duration((1 - exitReserveFraction) * float64(period)))
	d.handler.Leave(grace.Stop{Cut: deadline})
	d.placing.Leave()
	d.log.Info("stopping", "requests", d.handler.HeldRequests())
	// Other processes must know what this one has at old upstreams while a rollout goes on. They
	// drop the link to a process that is no member any more.
	stayMember := d.rollouts.running()
	if !stayMember {
		d.deregister(groupCtx)
	}
	if err := wait.Sleep(groupCtx, noticeLeft(time.Since(start), period)); err != nil {
		return err
	}
	d.handler.Close()
	d.callerServer.http.SetKeepAlivesEnabled(false)
	for time.Now().Before(deadline) && d.handler.HeldRequests() > 0 {
		if err := wait.Sleep(groupCtx, pollInterval); err != nil {
			return err
		}
	}
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		if stayMember {
			d.deregister(groupCtx)
		}
	}()
	// Reject connections until the listener closes. Those already accepted reach the
	// server within a poll interval, and Shutdown then waits for them.
	d.callerListener.stop()
	if err := wait.Sleep(groupCtx, pollInterval); err != nil {
		return err
	}
	d.shutDown(groupCtx)
	<-deregistered
	return errDrained
}

// noticeLeft returns how much longer the load balancer may send new connections, a time after the
// signal to stop, with a grace period.
func noticeLeft(sinceSignal, period time.Duration) time.Duration {
	notice := min(balancerNoticeTime, time.Duration(maxNoticeFraction*float64(period)))
	return max(notice-sinceSignal, 0)
}

// shutDown closes the listener and the callers' connections, once the last bytes of responses are
// sent and the connections that were queued at the listener are rejected.
func (d *Daemon) shutDown(groupCtx context.Context) {
	ctx, cancel := context.WithTimeout(groupCtx, shutdownTimeout)
	defer cancel()
	if err := d.callerServer.http.Shutdown(ctx); err != nil {
		d.log.Warn("grace period is over, requests are cut off", "requests", d.handler.HeldRequests())
		d.handler.LogCut()
	}
	if err := d.unread.Drain(ctx); err != nil {
		d.log.Warn("grace period is over, answers are cut off", "error", err)
	}
	ctx, cancel = context.WithTimeout(groupCtx, shutdownTimeout)
	defer cancel()
	for !d.callerListener.ended.Load() || d.rejecter.Waiting() > 0 {
		if err := wait.Sleep(ctx, pollInterval); err != nil {
			return
		}
	}
}

// deregister removes this process's entry from the members. If the store does not answer, the
// entry remains until a successor with the same name overwrites it.
func (d *Daemon) deregister(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	name := string(d.settings.Load().VM)
	err := d.store.Delete(callCtx, platform.KindMember, name, 0)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		d.log.Warn("cannot remove this process's registration", "error", err)
	}
}
