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
	// shutdownTimeout bounds the sending of the last bytes of answers whose
	// requests have ended.
	shutdownTimeout = 5 * time.Second
	// farewellTime lets the last messages to other daemons leave.
	farewellTime = 300 * time.Millisecond
)

// errDrained ends the run group of a daemon that has drained.
var errDrained = errors.New("drained")

// drainer shuts a daemon down without cutting any request.
//
// The order is: not ready and peers told; a grace for the balancer, in which
// requests are still served; new requests refused; every request ended; exit.
type drainer struct {
	app *App
	// group ends when the run group does.
	group context.Context
	stop  context.CancelFunc
}

// addDrain adds the duty that drains the daemon once ctx ends.
func (a *App) addDrain(group *run.Group, ctx context.Context) {
	d := &drainer{app: a}
	d.group, d.stop = context.WithCancel(context.Background())
	group.Add(func() error { return d.run(ctx) }, func(error) { d.stop() })
}

// run returns after the drain, or when the run group ends before.
func (d *drainer) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.group.Done():
		return d.group.Err()
	}
	d.leave()
	d.pause(time.Duration(d.app.settings.Callers.DrainGraceMS) * time.Millisecond)
	d.app.handler.Close()
	d.app.log.Info("draining, new requests are refused")
	if err := d.app.handler.Wait(d.group); err != nil {
		return errors.Wrap(err, "wait for the last request")
	}
	d.recordOutcomes()
	d.shutdown()
	d.pause(farewellTime)
	d.app.log.Info("drained")
	return errDrained
}

// leave turns readiness off and tells the other daemons.
func (d *drainer) leave() {
	d.app.log.Info("draining, not ready for new requests")
	d.app.timeline.Record(time.Now(), timeline.Event{Kind: timeline.KindDraining})
	d.app.leaving.Store(true)
	d.app.handler.Leave()
	d.app.loop.Post(node.Leave{})
}

// shutdown lets the last bytes leave and closes the callers' listener.
func (d *drainer) shutdown() {
	ctx, cancel := context.WithTimeout(d.group, shutdownTimeout)
	defer cancel()
	if err := d.app.callers.Shutdown(ctx); err != nil {
		d.app.log.Warn("callers' connections remain", "error", err)
	}
}

// recordOutcomes waits until the outcomes of claimed requests are in the store,
// so that their callers can still ask for them.
func (d *drainer) recordOutcomes() {
	ctx, cancel := context.WithTimeout(d.group, ledgerDrainTimeout)
	defer cancel()
	d.app.ledger.Drain(ctx)
}

func (d *drainer) pause(pause time.Duration) {
	// The caller looks at the group itself.
	_ = wait.Sleep(d.group, pause)
}

// addCallers adds the callers' server. After a drain it ends with the run
// group and not before, so that the drain can complete.
func addCallers(group *run.Group, server *http.Server, listener net.Listener) {
	ended := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-ended
		}
		return err
	}, func(error) {
		close(ended)
		server.Close()
	})
}
