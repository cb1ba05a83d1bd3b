package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// rolloutTickInterval is the time between two looks at whether a step of a rollout is due.
	rolloutTickInterval = 100 * time.Millisecond
	// ticksPerRolloutReport is the number of ticks for each report to the other processes. A report
	// has up to 2 KB for each order, and a verdict has seconds to spread.
	ticksPerRolloutReport = 2
	// statusWriteTimeout bounds the write of a status, and statusReadTimeout the read that settles a
	// write whose answer was lost.
	statusWriteTimeout = time.Second
	statusReadTimeout  = 500 * time.Millisecond
	// statusWriters is the number of statuses that are written at once, and maxStatusWrites the
	// number that wait. Each service has one order, and each order one write at a time.
	statusWriters   = 2
	maxStatusWrites = 16
)

// rollouts is the daemon's part of the rollouts of software versions: it carries out what the
// controller in placing decides. It implements relay.Observer.
type rollouts struct {
	daemon *Daemon
	// writes are the statuses to write to the store.
	writes chan rollout.StatusWrite
	// applied, conflicts, refused and unknown count the writes by what came of them.
	applied, conflicts, refused, unknown atomic.Uint64
}

// newRollouts returns nil where rollouts are not active.
func newRollouts(d *Daemon) *rollouts {
	settings := d.settings.Load()
	if !settings.Bounds.Rollouts() {
		return nil
	}
	d.placing.SetRollouts(rollout.New(rollout.Options{
		VM:            settings.VM,
		Incarnation:   d.incarnation,
		ExposureShare: settings.Bounds.ExposureShare,
		RollbackTime:  settings.Bounds.RollbackTime,
	}))
	return &rollouts{daemon: d, writes: make(chan rollout.StatusWrite, maxStatusWrites)}
}

// setOrders takes in the orders that the mirror has read.
func (r *rollouts) setOrders(orders []rollout.Order, at storeera.Position, readAt time.Time) {
	r.daemon.placing.SetOrders(orders, at, readAt)
}

// Send implements relay.Observer.
func (r *rollouts) Send(grant request.Grant, route string, target *version.Upstream) bool {
	return r.daemon.placing.BeginAttempt(grant, route, target)
}

// Ended implements relay.Observer.
func (r *rollouts) Ended(grant request.Grant, route string, end relay.End) {
	r.daemon.placing.EndAttempt(rollout.Sample{
		Pool:       grant.Pool,
		Route:      route,
		Upstream:   grant.Upstream,
		Failed:     end.Failed,
		Overdue:    end.Overdue,
		Unfinished: end.Unfinished,
		SentAt:     clock.Boot().Add(-end.SinceSent),
		FirstByte:  end.FirstByte,
		Expected:   grant.IdleTTFB,
		EventPace:  end.EventPace,
	})
}

// run makes the steps that are due and reports to the other processes until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	for tick := 0; ; tick++ {
		if err := wait.Sleep(ctx, rolloutTickInterval); err != nil {
			return err
		}
		writes, notices := r.daemon.placing.TickRollouts()
		r.logNotices(notices)
		for _, write := range writes {
			select {
			case r.writes <- write:
			default:
				r.finish(write, rollout.WriteFailed, storeAnswer{err: errTooManyWrites})
			}
		}
		if tick%ticksPerRolloutReport == 0 || len(notices) > 0 {
			// A verdict is told at once.
			r.report()
		}
	}
}

// errTooManyWrites is logged for a status that is not written because too many wait.
var errTooManyWrites = errors.Newf("%d statuses wait to be written", maxStatusWrites)

// report sends this process's rollout reports.
func (r *rollouts) report() {
	peers := r.daemon.peers.Load()
	if peers == nil {
		return
	}
	for _, message := range r.daemon.placing.RolloutOutbox() {
		// A process without a link gets the sums with a later report.
		peers.Send(message.To, message.Report)
	}
}

// write writes the statuses of rollouts, one at a time, until ctx ends.
func (r *rollouts) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case write := <-r.writes:
			result, answer := r.writeStatus(ctx, write)
			r.finish(write, result, answer)
		}
	}
}

// storeAnswer is what the store answered to a write, for the log.
type storeAnswer struct {
	revision uint64
	era      uint64
	err      error
}

// writeStatus writes a status on condition that the object has not changed.
func (r *rollouts) writeStatus(ctx context.Context, write rollout.StatusWrite) (rollout.WriteResult, storeAnswer) {
	if era, _ := r.daemon.mirror.Era(); era != write.At.Era {
		// Revisions of the former era are given out again, so the condition proves nothing.
		return rollout.WriteConflict, storeAnswer{era: era, err: errors.Newf("position is of era %d", write.At.Era)}
	}
	text, err := platform.EncodeRolloutStatus(write.Status)
	if err != nil {
		return rollout.WriteFailed, storeAnswer{err: err}
	}
	call, cancel := context.WithTimeout(ctx, statusWriteTimeout)
	position, err := r.daemon.store.WriteStatus(call, platform.KindRollout, write.Service, text, write.At.Revision)
	cancel()
	answer := storeAnswer{revision: position.Revision, era: position.Era, err: err}
	switch {
	case err == nil && position.Era == write.At.Era:
		return rollout.WriteApplied, answer
	case errors.IsAny(err, platform.ErrBusy, platform.ErrRateLimited, platform.ErrRejected):
		return rollout.WriteFailed, answer
	case errors.Is(err, platform.ErrNotFound):
		return rollout.WriteConflict, answer
	}
	// The answer was lost, the store has returned from an older copy, or the object has changed,
	// perhaps by an earlier write of this status whose answer was lost.
	return r.settle(ctx, write, text, err)
}

// settle reads an object again to find out what came of a write of its status. text is the status as
// written, and cause the error of the write.
func (r *rollouts) settle(ctx context.Context, write rollout.StatusWrite, text []byte, cause error) (rollout.WriteResult, storeAnswer) {
	call, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	object, err := r.daemon.store.Get(call, platform.KindRollout, write.Service)
	answer := storeAnswer{revision: object.Revision, era: object.Era, err: cause}
	conflict := errors.Is(cause, platform.ErrConflict)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return rollout.WriteConflict, answer
	case err != nil && conflict:
		return rollout.WriteConflict, answer
	case err != nil:
		answer.err = errors.CombineErrors(cause, err)
		return rollout.WriteUnknown, answer
	}
	if object.Era == write.At.Era && platform.SameStatus(object.Status, text) {
		return rollout.WriteApplied, answer
	}
	if conflict || object.Era != write.At.Era || object.Revision != write.At.Revision {
		return rollout.WriteConflict, answer
	}
	// The condition still holds, so the write may be applied later.
	return rollout.WriteUnknown, answer
}

// finish records what came of a write.
func (r *rollouts) finish(write rollout.StatusWrite, result rollout.WriteResult, answer storeAnswer) {
	name, counter := "not applied", &r.refused
	switch result {
	case rollout.WriteApplied:
		name, counter = "applied", &r.applied
	case rollout.WriteConflict:
		name, counter = "object has changed", &r.conflicts
	case rollout.WriteUnknown:
		name, counter = "not known", &r.unknown
	}
	counter.Add(1)
	r.daemon.log.Info("rollout status written", "service", write.Service, "software", write.Status.Software,
		"state", write.Status.State, "phase", write.Status.Phase, "elapsed_ms", write.Status.Elapsed.Milliseconds(),
		"reason", write.Status.Reason, "outcome", name, "at_revision", write.At.Revision, "at_era", write.At.Era,
		"revision", answer.revision, "era", answer.era, "error", answer.err)
	r.daemon.placing.WrittenStatus(write, result)
}

// logNotices logs what has happened, with the sums over all VMs that decided it.
func (r *rollouts) logNotices(notices []rollout.Notice) {
	if len(notices) == 0 {
		return
	}
	list, _ := r.daemon.placing.Rollouts()
	for _, notice := range notices {
		attributes := []any{
			"service", notice.Service, "software", notice.Software, "event", notice.Event,
			"reason", notice.Reason, "elapsed_ms", notice.Elapsed.Milliseconds(),
		}
		for _, o := range list {
			if o.Service == notice.Service && o.Software == notice.Software {
				attributes = append(attributes, "state", o.State, "phase", o.Phase, "age_ms", o.Age.Milliseconds(),
					"requests", o.Requests, "sent", o.Sent, "ended", o.Ended, "failed", o.Failed, "slow", o.Slow,
					"vms", o.VMs, "drained", o.Drained, "old_running", o.OldRunning, "canary", len(o.Canary))
			}
		}
		r.daemon.log.Info("rollout", attributes...)
	}
}

// running reports whether an order is being carried out.
func (r *rollouts) running() bool {
	if r == nil {
		return false
	}
	list, _ := r.daemon.placing.Rollouts()
	for _, o := range list {
		if o.State != rollout.StateDone && o.State != rollout.StateRolledBack {
			return true
		}
	}
	return false
}

// status returns what this process knows of the rollouts, for operators.
func (r *rollouts) status() operator.RolloutStatus {
	status := operator.RolloutStatus{VM: r.daemon.settings.Load().VM, Rollouts: []rollout.Overview{}}
	list, withdrawn := r.daemon.placing.Rollouts()
	status.Rollouts = append(status.Rollouts, list...)
	status.Withdrawn = withdrawn
	status.Writes = operator.RolloutWrites{
		Applied: r.applied.Load(), Conflicts: r.conflicts.Load(), Refused: r.refused.Load(), Unknown: r.unknown.Load(),
	}
	return status
}

// rolloutStatus returns what this process knows of the rollouts; nothing where they are not active.
func (d *Daemon) rolloutStatus() operator.RolloutStatus {
	if d.rollouts == nil {
		return operator.RolloutStatus{VM: d.settings.Load().VM, Inactive: true, Rollouts: []rollout.Overview{}}
	}
	return d.rollouts.status()
}

var _ relay.Observer = (*rollouts)(nil)
