package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
)

const (
	// shutdownTimeout bounds the time to send the last bytes of the answers to
	// completed requests.
	shutdownTimeout = 5 * time.Second
	// peerFlushTime is how long the process stays up after the drain, so that the last
	// messages to other daemons are sent.
	peerFlushTime = 300 * time.Millisecond
)

// errDrained stops the run group of a daemon that has drained.
var errDrained = errors.New("drained")

// drainer shuts a daemon down without cutting off any request.
//
// The steps are: report not ready and notify the peers; serve requests for a grace period,
// until the load balancer has noticed; refuse new requests; wait until every request has
// completed; exit.
type drainer struct {
	app *App
	// groupContext ends when the run group stops.
	groupContext context.Context
	stop         context.CancelFunc
}

// addDrain adds the actor that drains the daemon once ctx ends.
func (a *App) addDrain(group *run.Group, ctx context.Context) {
	d := &drainer{app: a}
	d.groupContext, d.stop = context.WithCancel(context.Background())
	group.Add(func() error { return d.run(ctx) }, func(error) { d.stop() })
}

// run returns errDrained after the drain, or an error if the run group stops before.
func (d *drainer) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.groupContext.Done():
		return d.groupContext.Err()
	}
	d.leave()
	d.sleep(time.Duration(d.app.settings.Callers.DrainGraceMS) * time.Millisecond)
	d.app.handler.Close()
	d.app.log.Info("draining, new requests are refused")
	if err := d.app.handler.Wait(d.groupContext); err != nil {
		return errors.Wrap(err, "drain: wait for running requests")
	}
	d.recordOutcomes()
	d.shutdown()
	d.sleep(peerFlushTime)
	d.app.log.Info("drained")
	return errDrained
}

// leave reports the daemon as not ready and notifies the other daemons.
func (d *drainer) leave() {
	d.app.log.Info("draining, not ready for new requests")
	d.app.timeline.Record(time.Now(), timeline.Event{Kind: timeline.KindDraining})
	d.app.leaving.Store(true)
	d.app.handler.Leave()
	d.app.loop.Post(node.Leave{})
}

// shutdown closes the callers' listener and waits until the last bytes of the answers are
// sent.
func (d *drainer) shutdown() {
	ctx, cancel := context.WithTimeout(d.groupContext, shutdownTimeout)
	defer cancel()
	if err := d.app.callersServer.Shutdown(ctx); err != nil {
		d.app.log.Warn("callers' connections are still open", "error", err)
	}
	if err := d.app.unread.Drain(ctx); err != nil {
		d.app.log.Warn("answers are cut off", "error", err)
	}
}

// recordOutcomes waits until the outcomes of claimed requests are in the store, so that
// callers who repeat a request can still get its outcome.
func (d *drainer) recordOutcomes() {
	ctx, cancel := context.WithTimeout(d.groupContext, ledgerDrainTimeout)
	defer cancel()
	d.app.ledger.Drain(ctx)
}

// sleep waits for duration, or until the run group stops.
func (d *drainer) sleep(duration time.Duration) {
	// The steps of the drain check the context of the group themselves.
	_ = wait.Sleep(d.groupContext, duration)
}

// addCallersServer adds the callers' server to the run group. When a drain shuts the server
// down, its actor returns only after the run group has been stopped, since the first actor
// to return stops the group and would cut the drain short.
func addCallersServer(group *run.Group, server *http.Server, listener net.Listener) {
	groupStopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-groupStopped
		}
		return err
	}, func(error) {
		close(groupStopped)
		server.Close()
	})
}
