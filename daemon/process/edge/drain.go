package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// noticeTime is how long the balancer may take to send no new connections:
	// it asks once a second and acts on the second failure.
	noticeTime = 2800 * time.Millisecond
	// noticeShare bounds noticeTime by a part of the grace, if that is short.
	noticeShare = 0.4
	// killShare is the part of the platform's grace that is kept back for the last
	// answers and the exit. A small VM with many connections takes over half a second.
	killShare = 0.125
	// pollInterval is how often the drain looks for requests.
	pollInterval = 50 * time.Millisecond
	// lastBytesTime bounds the sending of the last bytes of answers.
	lastBytesTime = 300 * time.Millisecond
	// leaveTimeout bounds the removal of the registration.
	leaveTimeout = 500 * time.Millisecond
)

// errDrained ends the run group of a daemon that has drained.
var errDrained = errors.New("drained")

// addDrain adds the duty that drains the daemon once ctx ends: not ready and
// every answer the last of its connection, while requests are still served;
// then new requests are refused; when none is left, or the grace is over, no connection
// is taken any more and idle ones end.
func (e *Edge) addDrain(group *run.Group, ctx context.Context) {
	over, stop := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			return e.drain(over)
		case <-over.Done():
			return over.Err()
		}
	}, func(error) { stop() })
}

func (e *Edge) drain(over context.Context) error {
	began := time.Now()
	e.leaving.Store(true)
	e.handler.Leave()
	e.placing.Leave()
	e.log.Info("stopping", "requests", e.handler.Held())
	e.unregister(over)
	grace := e.settings.Load().Bounds.Grace
	if err := wait.Sleep(over, min(noticeTime, time.Duration(noticeShare*float64(grace)))); err != nil {
		return err
	}
	e.handler.Close()
	e.callers.http.SetKeepAlivesEnabled(false)
	last := began.Add(time.Duration((1 - killShare) * float64(grace)))
	for time.Now().Before(last) && e.handler.Held() > 0 {
		if err := wait.Sleep(over, pollInterval); err != nil {
			return err
		}
	}
	left := e.handler.Held()
	// What has been accepted is known to the server after a moment, and is then waited
	// for; what comes later is turned away until the listener closes.
	e.gate.close()
	if err := wait.Sleep(over, pollInterval); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(over, lastBytesTime)
	defer cancel()
	if err := e.callers.http.Shutdown(ctx); err != nil {
		e.log.Warn("requests are cut off at the end of the grace", "requests", left)
	}
	for ctx.Err() == nil && e.desk.Waiting() > 0 {
		if err := wait.Sleep(ctx, pollInterval); err != nil {
			break
		}
	}
	return errDrained
}

// unregister removes this process from the members. If the store does not
// answer, a successor with the same name takes the entry over.
func (e *Edge) unregister(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	name := string(e.settings.Load().VM)
	err := e.store.Delete(call, platform.KindMember, name, 0)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		e.log.Warn("registration remains", "error", err)
	}
}
