package mirror

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// rolloutsHold is how long the store may hold a watch on rollouts open.
	rolloutsHold = 3 * time.Second
	// rolloutsReadInterval is the interval between reads of the rollouts while an order is carried
	// out. A VM sends to the new version only while its knowledge is younger than 2 s, which
	// leaves time for two slow answers, or for a store reader and a state request that is lost.
	rolloutsReadInterval = 600 * time.Millisecond
	// versionReadTime is how long the rollouts are read after a software version has appeared in a
	// service. Processes that leave their reads to this one may see the registration later.
	versionReadTime = 3 * time.Second
	// ownReadDelay is how long after a version has appeared a process leaves the read to its store
	// reader. A reader that has known the version for longer reads nothing.
	ownReadDelay = time.Second
)

var (
	// errReadAgain ends a watch on rollouts because a read of them is due: that a watch returns no
	// change proves nothing.
	errReadAgain = errors.New("rollouts are to be read again")
	// errStale is an answer of the store that lacks what it has shown before.
	errStale = errors.New("store served an older state than before")
)

// rolloutsCopy is the copy of the orders for rollouts.
type rolloutsCopy struct {
	*kindCopy
	// sentAt is when the last read was sent. readAt is a time at which the copy was all that the
	// store had, zero if none is known; both are by the mirror's clock.
	sentAt, readAt time.Time
	// sharedAt is when the state of another process was last applied.
	sharedAt time.Time
	// versions are the software versions that serve, by service. versionAt is when one of them
	// appeared last, and appeared is closed and replaced then.
	versions  map[serviceVersion]bool
	versionAt time.Time
	// registeredAt is the position at which the registrations are known that showed these versions.
	// An older state of the rollouts says nothing of a version that appeared with them.
	registeredAt storeera.Position
	appeared     chan struct{}
}

// serviceVersion is a software version that serves in a pool.
type serviceVersion struct {
	pool     version.PoolID
	software string
}

func newRolloutsCopy() *rolloutsCopy {
	return &rolloutsCopy{
		kindCopy: newKind(platform.KindRollout, rolloutsHold, batchPause),
		versions: make(map[serviceVersion]bool), appeared: make(chan struct{}),
	}
}

// isRollouts reports whether k is the copy of the rollouts.
func (m *Mirror) isRollouts(k *kindCopy) bool { return m.rollouts != nil && k == m.rollouts.kindCopy }

// rolloutsKnown reports whether the rollouts were listed, or are not active. Before that it is not
// known which versions may serve. m.mu must be held.
func (m *Mirror) rolloutsKnown() bool { return m.rollouts == nil || m.rollouts.listed }

// kindDelegated reports whether a store reader reads a kind instead of this process. One that is set
// up without rollouts does not read them, and one that has long known a version that has only just
// appeared here need not.
func (m *Mirror) kindDelegated(k *kindCopy) bool {
	if !m.isRollouts(k) {
		return m.readsDelegated()
	}
	if !m.options.HasStoreReaders() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	if m.rollouts.isUnread() && now.Sub(m.rollouts.versionAt) > ownReadDelay {
		return false
	}
	return !m.rollouts.sharedAt.IsZero() && now.Sub(m.rollouts.sharedAt) <= delegationTimeout
}

// startReadTime is how long after its start a process is not ready for want of a read of the rollouts.
const startReadTime = 3 * time.Second

// AwaitsRollouts reports whether this process has only just started and has not read the rollouts since
// it saw the versions that serve: it could not tell which of them may.
func (m *Mirror) AwaitsRollouts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rollouts != nil && (m.rollouts.versionAt.IsZero() || m.rollouts.isUnread()) && m.options.Clock().Sub(m.started) < startReadTime
}

// isUnread reports whether a version has appeared since the last read.
func (r *rolloutsCopy) isUnread() bool { return r.readAt.Before(r.versionAt) }

// nextRolloutsRead returns the pause until the next read of the rollouts, and whether k is their copy
// and they are read rather than watched: while an order is carried out, and after a version has
// appeared until it is read, and for a while.
func (m *Mirror) nextRolloutsRead(k *kindCopy) (time.Duration, bool) {
	if !m.isRollouts(k) {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	appeared := !m.rollouts.versionAt.IsZero() && now.Sub(m.rollouts.versionAt) <= versionReadTime
	if !appeared && !m.rollouts.isUnread() && !m.rollouts.anyUnfinished() {
		return 0, false
	}
	if m.rollouts.sentAt.Before(m.rollouts.versionAt) {
		return 0, true
	}
	return max(m.rollouts.sentAt.Add(rolloutsReadInterval).Sub(now), 0), true
}

// anyUnfinished reports whether an order is not carried out yet.
func (r *rolloutsCopy) anyUnfinished() bool {
	for entry := range maps.Values(r.entries) {
		if entry.order != nil && !isCarriedOut(*entry.order) {
			return true
		}
	}
	return false
}

// isCarriedOut reports whether an order has a final status.
func isCarriedOut(order rollout.Order) bool {
	final := order.Status.State == rollout.StateDone || order.Status.State == rollout.StateRolledBack
	return final && order.Status.Software == order.Software
}

// cancelOnRolloutsRead calls cancel once a read of the rollouts is due because a version has
// appeared, unless stop is called before.
func (m *Mirror) cancelOnRolloutsRead(k *kindCopy, cancel func()) (stop func()) {
	if !m.isRollouts(k) {
		return func() {}
	}
	m.mu.Lock()
	appeared := m.rollouts.appeared
	m.mu.Unlock()
	return wait.CancelOn(appeared, cancel)
}

// noteVersions records which software versions serve. m.mu must be held.
func (m *Mirror) noteVersions(upstreams map[version.UpstreamID]*version.Upstream) {
	if m.rollouts == nil {
		return
	}
	versions, isNew := make(map[serviceVersion]bool), false
	for _, upstream := range upstreams {
		serves := serviceVersion{pool: upstream.Pool, software: upstream.Software}
		versions[serves] = true
		isNew = isNew || !m.rollouts.versions[serves]
	}
	m.rollouts.versions = versions
	if isNew {
		m.rollouts.versionAt, m.rollouts.registeredAt = m.options.Clock(), m.upstreams.at
		close(m.rollouts.appeared)
		m.rollouts.appeared = make(chan struct{})
	}
}

// isStaleRollouts reports whether a list of the rollouts is older than what is known of them. It
// could lack an order, or have one that was removed. A store that names no era may have returned from
// an older copy. m.mu must be held.
func (m *Mirror) isStaleRollouts(k *kindCopy, snapshot platform.Snapshot) bool {
	return m.isRollouts(k) && k.listed && snapshot.Era != 0 && (storeera.Position{Era: snapshot.Era, Revision: snapshot.Revision}).Compare(k.at) < 0
}

// recordRolloutsRead records a list of the rollouts whose read was sent at sentAt, and passes them on.
// m.mu must be held.
func (m *Mirror) recordRolloutsRead(k *kindCopy, now, sentAt time.Time) {
	if !m.isRollouts(k) {
		return
	}
	m.rollouts.sentAt = sentAt
	m.readRollouts(now, sentAt)
}

// recordSharedRollouts records the rollouts of another process's response to a request that was sent
// at sentAt. m.mu must be held.
func (m *Mirror) recordSharedRollouts(k *kindCopy, now time.Time, state wire.StateKind, sentAt time.Time) {
	if !m.isRollouts(k) {
		return
	}
	m.rollouts.sharedAt = now
	if state.Read && state.Mark == k.appliedMark {
		if at := state.At.Position(); k.at.Compare(at) < 0 && k.at.Era == at.Era {
			// Nothing has changed up to that position.
			k.at = at
		}
		m.readRollouts(now, sentAt.Add(-milliseconds(state.ReadAgeMS)))
	}
}

// readRollouts records that the copy of the rollouts was all that the store had at a time, and passes
// them on. While the store lacks what was written before its return, or entries are kept that it
// lacks, that is not known.
func (m *Mirror) readRollouts(now, at time.Time) {
	if len(m.rollouts.missing) > 0 || !m.eras.Settled(now) || m.mayHaveMissedReturn(now) || !at.After(m.rollouts.readAt) ||
		m.rollouts.at.Compare(m.rollouts.registeredAt) < 0 {
		return
	}
	m.rollouts.readAt = at
	m.publishRollouts()
}

// publishRollouts passes the orders on. m.mu must be held.
func (m *Mirror) publishRollouts() {
	orders := make([]rollout.Order, 0, len(m.rollouts.entries))
	for _, name := range slices.Sorted(maps.Keys(m.rollouts.entries)) {
		if entry := m.rollouts.entries[name]; entry.order != nil {
			order := *entry.order
			order.At = storeera.Position{Era: m.rollouts.at.Era, Revision: entry.object.Revision}
			orders = append(orders, order)
		}
	}
	m.options.Rollouts(orders, m.rollouts.at, m.rollouts.readAt)
}

// decodeRollouts decodes new orders. m.mu must be held.
func (m *Mirror) decodeRollouts(source string, removed []string) {
	for _, name := range removed {
		m.options.Log.Info("rollout order removed", "rollout", name[:min(len(name), maxLoggedName)], "source", source)
	}
	for name, entry := range m.rollouts.entries {
		if entry.decoded {
			continue
		}
		entry.decoded = true
		order, err := platform.DecodeRollout(name, entry.object)
		if err != nil {
			m.options.Log.Warn("rollout order is malformed, it names no version",
				"rollout", name[:min(len(name), maxLoggedName)], "revision", entry.object.Revision, "source", source, "error", err)
			continue
		}
		entry.order = &order
		m.options.Log.Info("rollout order read", "rollout", name, "service", order.Service, "software", order.Software,
			"duration_ms", order.Duration.Milliseconds(), "state", order.Status.State, "status_software", order.Status.Software,
			"phase", order.Status.Phase, "elapsed_ms", order.Status.Elapsed.Milliseconds(),
			"revision", entry.object.Revision, "created", entry.object.Created, "era", m.rollouts.at.Era, "source", source)
	}
}
