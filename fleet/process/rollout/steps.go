package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

const (
	// judgeFraction is the part of the duration after which a canary that shows no fault is good,
	// and latestJudgeFraction the part up to which one that is cold or doubtful is watched. The
	// rest is for requests in flight: most streams take 1 to 3 s.
	judgeFraction       = 0.5
	latestJudgeFraction = 0.6
	// giveUpFraction is the part of the duration up to which a canary may collect the responses
	// that a judgement needs.
	giveUpFraction = 0.75
	// warmTime is how long a canary has to be observed after its upstreams are warm.
	warmTime = 2500 * time.Millisecond
	// neededResponses is the number of responses of the canary that a judgement needs, and
	// neededFraction the fraction of the canary's share that is enough for a service with few
	// requests.
	neededResponses = 20
	neededFraction  = 0.25
	// doubtFraction is the part of the duration up to which an order with a doubtful version is not
	// done, although it could be: the old upstreams stop then.
	doubtFraction = 0.95
	// lackingTime is how long a version may have no upstream in the shift.
	lackingTime = time.Second
	// drainedFresh is the highest age of the knowledge with which a VM reports that it has nothing
	// at old upstreams: it will not go back there soon.
	drainedFresh = 1500 * time.Millisecond
	// takeUpGrace is how long after the last sign of a stream that needs an old upstream its caller
	// may take to come back.
	takeUpGrace = time.Second
	// drainedTime is for how long all VMs must have nothing at old upstreams: usually, what one of
	// them reports otherwise reaches the VM that writes in less. That no VM goes back there while its
	// report counts does not depend on it, but on countsAsDrained.
	drainedTime = 250 * time.Millisecond
	// doneWriteTime is how long after the last look at the reports a write of done is applied at the
	// latest, if the store does not stall.
	doneWriteTime = 500 * time.Millisecond
	// silenceTime is how long members have to be silent that no longer count, and isolationTime how
	// long a VM that hears less than half of the members waits for others to act.
	silenceTime   = 3 * time.Second
	isolationTime = 6 * time.Second
	// othersFresh is the highest age of what others have reported with which an order may be done.
	othersFresh = 500 * time.Millisecond
	// takeoverDelay is how long a step has to be due until a VM other than the first makes it, and
	// takeoverSpread the time over which these spread.
	takeoverDelay  = time.Second
	takeoverSpread = time.Second
	// rewriteDelay is how long the store has to lack what this VM knows until it is written again.
	rewriteDelay = 500 * time.Millisecond
	// writeTimeout is how long the outcome of a write is awaited, and writeRetry the pause after a
	// write that has failed.
	writeTimeout = 5 * time.Second
	writeRetry   = 200 * time.Millisecond
	// elapsedSteps is the number of parts of the duration after each of which the elapsed time is
	// written, for a fleet whose VMs all end.
	elapsedSteps = 3
)

// writeState is what is known of this VM's writes of the status.
type writeState struct {
	// pending is set while the outcome of a write is awaited that was sent at sentAt.
	pending bool
	sentAt  time.Time
	// usedAt is the position that the last write was conditional on. Nothing more is written on
	// condition of it until a read that was sent after awaitRead shows the object again.
	usedAt    storeera.Position
	awaitRead time.Time
	retryAt   time.Time
	// due is the step that is due since dueSince.
	due      Status
	dueSince time.Time
}

// read records that a read sent at readAt has shown the object at a position.
func (w *writeState) read(readAt time.Time, at storeera.Position) {
	if at != w.usedAt || !readAt.Before(w.awaitRead) {
		w.awaitRead = time.Time{}
	}
}

// Tick judges the versions and returns the statuses to write. It has to be called several times a
// second.
func (c *Controller) Tick(now time.Time) []StatusWrite {
	var writes []StatusWrite
	for _, pool := range slices.Sorted(maps.Keys(c.orders)) {
		o := c.orders[pool]
		total := o.total()
		if !o.isFinal() {
			present := o.history.next(now, total)
			c.judge(now, o, present)
			o.history.add(present)
		}
		if write, due := c.step(now, o, total); due {
			writes = append(writes, write)
		}
	}
	return writes
}

// judge condemns the version if the evidence of all VMs shows it to be bad.
func (c *Controller) judge(now time.Time, o *order, present snapshot) {
	by := judged{present.total.Bad(), o.progress, !o.drainedSince.IsZero()}
	if o.condemned != "" || o.isSole() || by == o.judged {
		return
	}
	o.doubtful, o.judged = false, by
	upstreams := len(o.sides.canaries)
	if o.progress == progressShifting {
		upstreams = o.sides.news
	}
	name := func(hash uint32) string { return "route " + cmp.Or(c.routeNames[hash], "unknown") }
	window := c.options.RollbackTime / 5
	// The whole time shows faults that were there from the start, the windows those that begin.
	for i, age := range []time.Duration{0, window, 2 * window, 4 * window} {
		before := snapshot{total: tally.New()}
		if age > 0 {
			before = o.history.since(now, age)
		}
		for _, k := range []criterion{failures, slowness} {
			if by.lastLook {
				k.minZ = lastLookZ
			}
			if k.name == slowness.name && i == 1 {
				// A machine is slow for most of the shortest window whatever its version.
				continue
			}
			result := k.test(before, present, upstreams, name)
			o.doubtful = o.doubtful || result.doubtful && i == 0
			if result.reason != "" {
				c.condemn(now, o, result.reason)
				return
			}
		}
	}
}

// condemn records that the version of an order is bad.
func (c *Controller) condemn(now time.Time, o *order, reason string) {
	if o.condemned != "" || o.isFinal() {
		return
	}
	o.held = c.keepsFromOld(now, o)
	o.condemned, o.condemnedAt = reason, now
	c.notice(now, o, "version is bad", reason)
}

// step returns the write of the status that this VM is to make now.
func (c *Controller) step(now time.Time, o *order, total *tally.Order) (StatusWrite, bool) {
	c.keepsFromOld(now, o)
	status, delay, due := c.dueStatus(now, o, total)
	w := &o.writes
	if w.pending && now.Sub(w.sentAt) > writeTimeout {
		c.Written(now, StatusWrite{Pool: o.Pool, At: w.usedAt}, WriteUnknown)
	}
	if !due {
		w.dueSince = time.Time{}
		return StatusWrite{}, false
	}
	if w.dueSince.IsZero() || w.due.State != status.State || w.due.Phase != status.Phase {
		w.dueSince = now
	}
	w.due = status
	if len(c.members) == 0 || c.members[0] != c.options.VM {
		delay += takeoverDelay + time.Duration(c.rounding(o)*float64(takeoverSpread))
	}
	if now.Sub(w.dueSince) < delay || w.pending || !w.awaitRead.IsZero() || now.Before(w.retryAt) {
		return StatusWrite{}, false
	}
	w.pending, w.sentAt, w.usedAt = true, now, o.At
	return StatusWrite{Pool: o.Pool, Service: o.Service, At: o.At, Status: status}, true
}

// dueStatus returns the status that is to be written next, and how long it has to be due.
func (c *Controller) dueStatus(now time.Time, o *order, total *tally.Order) (status Status, delay time.Duration, due bool) {
	elapsed := o.elapsed(now)
	running := func(phase Phase) Status {
		return Status{State: StateRunning, Software: o.Software, Phase: phase, Elapsed: elapsed}
	}
	final := func(state State, reason string) Status {
		return Status{State: state, Software: o.Software, Reason: reason}
	}
	stored := o.Status.progress(o.Software)
	drained := c.isDone(now, o)
	switch {
	case stored < o.progress && o.isFinal():
		return final(o.state(), o.reason), rewriteDelay, true
	case o.isFinal():
		return Status{}, 0, false
	case o.condemned != "":
		return final(StateRolledBack, o.condemned), 0, true
	case o.progress == progressShifting && drained && o.doubtful && elapsed < fractionOf(o.Duration, doubtFraction):
		return Status{}, 0, false
	case o.progress == progressShifting && drained:
		return final(StateDone, "all requests are served by the new version"), 0, true
	case o.progress == progressShifting && !o.lackingSince.IsZero() && now.Sub(o.lackingSince) >= lackingTime && c.isFresh(now, freshFor):
		return final(StateRolledBack, "no upstream of the version is registered any more"), 0, true
	case stored < o.progress:
		return running(o.phase()), rewriteDelay, true
	case o.progress == progressShifting:
		return Status{}, 0, false
	}
	if reason := c.failed(o, elapsed, total); reason != "" {
		return final(StateRolledBack, reason), 0, true
	}
	switch {
	case o.progress == progressNone:
		return running(PhaseCanary), 0, true
	case c.isFresh(now, freshFor) && c.isGood(now, o, elapsed, total):
		return running(PhaseShifting), 0, true
	case elapsed-o.Status.Elapsed >= o.Duration/elapsedSteps:
		return running(PhaseCanary), 0, true
	}
	return Status{}, 0, false
}

// failed returns why a canary cannot be judged good in time; empty if it may be.
func (c *Controller) failed(o *order, elapsed time.Duration, total *tally.Order) string {
	switch {
	case elapsed >= o.Duration:
		return "the time limit had passed before the version was judged"
	case elapsed < fractionOf(o.Duration, giveUpFraction):
		return ""
	case o.sides.news == 0:
		return "no upstream of the version is registered"
	case c.responses(total) < c.needed(total):
		return fmt.Sprintf("the version could not be judged: it has given %.0f responses, want %.0f", c.responses(total), c.needed(total))
	}
	return ""
}

// isGood reports whether the canary has been observed for long enough and shows no fault.
func (c *Controller) isGood(now time.Time, o *order, elapsed time.Duration, total *tally.Order) bool {
	if o.sides.news == 0 || !c.streamsMayBegin(o) || now.Before(o.sides.readyAt) || elapsed < fractionOf(o.Duration, judgeFraction) || c.responses(total) < c.needed(total) {
		return false
	}
	if elapsed >= fractionOf(o.Duration, latestJudgeFraction) {
		return true
	}
	return !o.doubtful && now.Sub(o.sides.warmAt) >= warmTime
}

// responses returns the number of responses of the new version.
func (c *Controller) responses(total *tally.Order) float64 {
	ended := 0.0
	for _, route := range total.Routes {
		ended += float64(route.New.Ended)
	}
	return ended
}

// needed returns the number of responses that a judgement needs.
func (c *Controller) needed(total *tally.Order) float64 {
	share := shareUsed * c.options.ExposureShare * float64(total.Requests)
	return min(neededResponses, float64(int(neededFraction*share)))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// isDrained reports whether this VM sends all requests to the new version, and has nothing at old
// upstreams.
func (c *Controller) isDrained(now time.Time, o *order) bool {
	lastNeed := o.shiftingAt
	if o.neededOldAt.After(lastNeed) {
		lastNeed = o.neededOldAt
	}
	return c.mode(now, o) == modeNew && c.streamsMayBegin(o) && c.isFresh(now, drainedFresh) && now.Sub(lastNeed) >= takeUpGrace && c.oldRunning(o) == 0
}

// mayBeDone reports whether another VM may be writing that the order is done.
func (c *Controller) mayBeDone(now time.Time, o *order) bool {
	if o.progress != progressShifting {
		return false
	}
	othersDrained := int(o.others.Drained) >= c.othersVMs || now.Sub(c.othersAt) > othersFresh
	return othersDrained && c.isDrained(now, o)
}

// mayHaveBeenDone reports whether a write of done that this VM has no news of may still be applied:
// nothing was read since shortly before the order may have been done.
func (c *Controller) mayHaveBeenDone(now time.Time, o *order) bool {
	return o.progress == progressShifting && !o.mayBeDoneAt.IsZero() && now.Sub(o.mayBeDoneAt) < unreadTime &&
		!c.isFresh(now, drainedFresh)
}

// countsAsDrained reports whether another VM may count this one as drained, by a report that is on its
// way or held by a hub, and write done. This VM sends nothing to old upstreams then, also if it was
// suspended since and has not heard that the others are drained.
func (c *Controller) countsAsDrained(now time.Time, o *order) bool {
	return o.progress == progressShifting && !o.toldDrainedAt.IsZero() &&
		now.Sub(o.toldDrainedAt) <= exchange.RolloutReportLifetime(len(c.members))+doneWriteTime
}

// keepsFromOld reports whether nothing may be sent to old upstreams, since the order may be done now
// or may have been. It records the former.
func (c *Controller) keepsFromOld(now time.Time, o *order) bool {
	if c.mayBeDone(now, o) {
		o.mayBeDoneAt = now
		return true
	}
	return c.mayHaveBeenDone(now, o)
}

// isDone reports whether the order can be done: every VM that is heard has nothing at old upstreams,
// and members that are not heard have been silent for long enough.
func (c *Controller) isDone(now time.Time, o *order) bool {
	heard, drained, recent := c.othersVMs, int(o.others.Drained), now.Sub(c.othersAt) <= othersFresh
	if now.Sub(c.othersAt) > silenceTime {
		heard, drained, recent = 0, 0, true
	}
	if heard+1 < len(c.members) && now.Sub(c.membersChangedAt) < silenceTime {
		recent = false
	}
	if !recent || drained < heard || !c.isDrained(now, o) {
		o.drainedSince = time.Time{}
		return false
	}
	if o.drainedSince.IsZero() {
		o.drainedSince = now
	}
	settle := drainedTime
	if 2*(heard+1) <= len(c.members) {
		settle = isolationTime
	}
	return now.Sub(o.drainedSince) >= settle
}

// Written records what came of a write.
func (c *Controller) Written(now time.Time, write StatusWrite, result WriteResult) {
	o := c.orders[write.Pool]
	if o == nil || !o.writes.pending || o.writes.usedAt != write.At {
		return
	}
	w := &o.writes
	w.pending = false
	switch result {
	case WriteApplied:
		w.awaitRead = now
		c.advance(now, o, write.Status.progress(o.Software), write.Status.Reason)
		o.Status = write.Status
	case WriteFailed:
		w.retryAt = now.Add(writeRetry)
	case WriteConflict, WriteUnknown:
		// The object as it is read next decides.
		w.awaitRead = now
	}
}
