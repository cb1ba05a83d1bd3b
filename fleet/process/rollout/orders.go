package rollout

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// freshFor is how long after the read of an order was sent its version may get requests. An
// operator who takes an order back or replaces it reaches every VM within this time.
const freshFor = 2 * time.Second

// formerMemory is how long after its end an order in a new era of the store counts as the one that
// was lost. One that is written later is another order, although its spec is the same.
const formerMemory = time.Minute

// progress is how far an order is; a higher value replaces a lower one.
type progress uint8

const (
	progressNone progress = iota
	progressCanary
	progressShifting
	progressRolledBack
	// progressDone is the highest: once it was written, the old upstreams have stopped.
	progressDone
)

// progress returns how far the status of an order for software says that it is. A status on another
// version belongs to an earlier order.
func (s Status) progress(software string) progress {
	switch {
	case s.Software != software:
		return progressNone
	case s.State == StateDone:
		return progressDone
	case s.State == StateRolledBack:
		return progressRolledBack
	case s.State == StateRunning && s.Phase == PhaseShifting:
		return progressShifting
	case s.State == StateRunning:
		return progressCanary
	}
	return progressNone
}

// order is the state of an order in force.
type order struct {
	// Order is the order as it was read last, with the status in the store.
	Order
	// progress and reason are the furthest that is known. The store may say less after its return
	// from an older copy.
	progress progress
	reason   string
	// startedAt is when the order was given, as far as this VM knows.
	startedAt time.Time
	// shiftingAt is when this VM learned that all requests go to the new version.
	shiftingAt time.Time
	// canaryElapsed and canaryRequests are the time and the requests of all VMs until then, and
	// canaryOlds the old upstreams that served them.
	canaryElapsed  time.Duration
	canaryRequests uint64
	canaryOlds     int
	// condemned is why the version is bad; empty if it is not known to be. condemnedAt is when this
	// VM learned it, and held is set if the order may have been done at that moment.
	condemned   string
	condemnedAt time.Time
	held        bool
	// mayBeDoneAt is when another VM may last have been writing that the order is done.
	mayBeDoneAt time.Time
	// toldDrainedAt is when this VM, or one of its earlier processes, last reported that it is drained.
	toldDrainedAt time.Time
	// finalAt is when this VM learned that the order is done or rolled back, and endedAt when it was
	// no longer in the store.
	finalAt, endedAt time.Time

	// own is what this VM counted, others what the other VMs reported.
	own, others *tally.Order
	budget      budget
	// sides are the upstreams of both versions.
	sides sides
	// sidesKnown is set once upstreams of the pool were known beside the order, and sole if the order's
	// version was then the only one: there is no other that could serve meanwhile.
	sidesKnown, sole bool
	// neededOldAt is when a stream was last in need of an old upstream.
	neededOldAt time.Time
	history     history
	// doubtful is set while the version may be bad. judged is what it was judged by last: it is
	// judged again when there is another bad response.
	doubtful bool
	judged   judged
	writes   writeState
	// drainedSince is since when the order could be done; zero if it cannot.
	drainedSince time.Time
	// lackingSince is since when the version has no upstream; zero if it has one.
	lackingSince time.Time
}

// judged says when a version was judged.
type judged struct {
	bad      int
	progress progress
	lastLook bool
}

// key identifies the order in reports.
func (o *order) key() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [12]byte
	binary.BigEndian.PutUint32(number[:], uint32(o.Pool))
	binary.BigEndian.PutUint64(number[4:], o.Created)
	// Writing to a digest cannot fail.
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(o.Software)
	return digest.Sum64()
}

// elapsed returns the time since the order.
func (o *order) elapsed(now time.Time) time.Duration { return max(now.Sub(o.startedAt), 0) }

// raiseElapsed takes in that another VM, or the status, knows that the order is older.
func (o *order) raiseElapsed(now time.Time, elapsed time.Duration) {
	if started := now.Add(-elapsed); started.Before(o.startedAt) {
		o.startedAt = started
	}
}

// sameObject reports whether an order that was read is the same as this one: the same object in the
// store, or an object with the same spec in a copy to which the store has returned.
func (o *order) sameObject(read Order) bool {
	if o.Service != read.Service || o.Software != read.Software {
		return false
	}
	if read.At.Era != o.At.Era {
		return o.Duration == read.Duration
	}
	return o.Created == read.Created
}

// SetOrders sets the orders in the store: a complete list, which the store had at a position, from a
// read that was sent at readAt. It is called after each read, also if nothing has changed: that keeps
// the knowledge of the orders fresh. A list whose read was sent before that of the last one, or that is
// older than one that was shown before, is ignored.
func (c *Controller) SetOrders(now time.Time, orders []Order, at storeera.Position, readAt time.Time) {
	if !c.enabled() || readAt.Before(c.readAt) || at.Compare(c.listedAt) < 0 {
		return
	}
	c.readAt, c.listedAt = readAt, at
	read := make(map[version.PoolID]Order, len(orders))
	for _, next := range orders {
		if known, present := read[next.Pool]; !present || known.At.Compare(next.At) < 0 {
			read[next.Pool] = next
		}
	}
	maps.DeleteFunc(c.former, func(_ version.PoolID, o *order) bool { return now.Sub(o.endedAt) > formerMemory })
	for pool, o := range c.orders {
		next, present := read[pool]
		if present && next.At.Compare(o.At) < 0 {
			// A stale read may show an order that this one has replaced. update ignores it.
			continue
		}
		if !present || !o.sameObject(next) {
			c.end(now, o)
		}
	}
	for pool, next := range read {
		o := c.orders[pool]
		if o == nil {
			o = c.begin(now, next)
		}
		c.update(now, o, next)
	}
	c.confirmVersions(readAt)
	c.updateExcluded(now)
}

// end ends an order that is no longer in the store, or has been replaced.
func (c *Controller) end(now time.Time, o *order) {
	c.notice(now, o, "order has ended", string(o.state()))
	delete(c.orders, o.Pool)
	o.endedAt = now
	c.former[o.Pool] = o
	if o.progress != progressDone {
		c.versionOf(now, o.Pool, o.Software).blocked = true
	}
}

// versionOf returns the state of a version, which it creates if there is none.
func (c *Controller) versionOf(now time.Time, pool version.PoolID, software string) *versionState {
	key := poolVersion{pool, software}
	if c.versions[key] == nil {
		c.versions[key] = &versionState{goneAt: now}
	}
	return c.versions[key]
}

// begin takes in an order that was not in force. One that the store had lost goes on.
func (c *Controller) begin(now time.Time, next Order) *order {
	o := c.former[next.Pool]
	if o == nil || !o.sameObject(next) {
		o = &order{Order: next, startedAt: now, own: tally.New(), others: tally.New()}
	}
	if next.Status.progress(next.Software) == progressShifting {
		// A process of this VM that ran before may just have reported that it is drained.
		o.toldDrainedAt = now
	}
	delete(c.former, next.Pool)
	c.orders[next.Pool] = o
	state := c.versionOf(now, next.Pool, next.Software)
	state.blocked, state.retired = false, false
	c.updateSides(now, o)
	c.notice(now, o, "order is in force", "")
	return o
}

// update takes in what was read of an order in force.
func (c *Controller) update(now time.Time, o *order, next Order) {
	if next.At.Compare(o.At) < 0 {
		return
	}
	if next.At.Era > o.At.Era {
		// What was to be written on condition of a revision of the lost era is void.
		o.writes = writeState{}
	}
	key := o.key()
	o.Order = next
	if o.key() != key {
		c.updateSides(now, o)
	}
	o.raiseElapsed(now, next.Status.elapsed(o.Software))
	c.advance(now, o, next.Status.progress(o.Software), next.Status.Reason)
	o.writes.read(c.readAt, next.At)
}

// elapsed returns the time since the order that a status gives.
func (s Status) elapsed(software string) time.Duration {
	if s.Software != software {
		return 0
	}
	return s.Elapsed
}

// advance takes in how far an order is.
func (c *Controller) advance(now time.Time, o *order, reached progress, reason string) {
	if reached <= o.progress {
		return
	}
	o.progress, o.reason = reached, reason
	switch reached {
	case progressShifting:
		o.shiftingAt = now
		o.canaryElapsed, o.canaryRequests, o.canaryOlds = o.elapsed(now), o.own.Requests+o.others.Requests, o.sides.olds
	case progressRolledBack, progressDone:
		o.finalAt = now
		c.updateExcluded(now)
	}
	c.notice(now, o, "order has advanced", cmp.Or(reason, string(o.phase())))
}

// state and phase return what the status of the order says once it is written.
func (o *order) state() State {
	switch o.progress {
	case progressNone:
		return StateNone
	case progressRolledBack:
		return StateRolledBack
	case progressDone:
		return StateDone
	}
	return StateRunning
}

func (o *order) phase() Phase {
	switch o.progress {
	case progressCanary:
		return PhaseCanary
	case progressShifting:
		return PhaseShifting
	}
	return ""
}

// isFinal reports whether the order is done or rolled back.
func (o *order) isFinal() bool { return o.progress >= progressRolledBack }

// isFresh reports whether the knowledge of the orders is younger than age.
func (c *Controller) isFresh(now time.Time, age time.Duration) bool {
	return !c.readAt.IsZero() && now.Sub(c.readAt) < age
}

// SetMembers sets the VMs of the fleet, including this one.
func (c *Controller) SetMembers(now time.Time, members []version.VMID) {
	sorted := slices.Sorted(slices.Values(members))
	if !slices.Equal(sorted, c.members) {
		c.members, c.membersChangedAt = sorted, now
	}
}
