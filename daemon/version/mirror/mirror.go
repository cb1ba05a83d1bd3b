// Package mirror keeps a local copy of the metadata store: the operators' configuration,
// the registered upstreams, the evacuated data centres, the members, which are the processes
// of the fleet, and the orders for rollouts, where they are active.
//
// The configuration is polled, because a read that the store answers proves that no newer
// version existed when the read was sent; a watch that returns no change proves nothing.
// The other kinds of objects are watched.
//
// A process may leave the reading to a store reader: another process of the fleet that
// reads the store and answers state requests from its own copy.
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// configReadInterval is the interval between reads of the configuration. It leaves more
	// than half of the shortest bound on applying a change, 2.5 s, to a slow store.
	configReadInterval = 900 * time.Millisecond
	// initialConfigReadInterval is the interval between reads while the store has no
	// configuration.
	initialConfigReadInterval = 150 * time.Millisecond
	// unsettledConfigReadInterval is the interval between reads of the configuration until the
	// store has caught up after its return from an older copy.
	unsettledConfigReadInterval = 300 * time.Millisecond
	// callTimeout bounds a call of the store. A store that is slower by a factor of a
	// hundred answers in 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// upstreamsHold is how long the store may hold a watch on upstreams open,
	// evacuationsHold a watch on evacuated data centres. A connection that has become
	// silent is detected after the hold plus watchSlack. Together with a pause, a list and
	// a state request this is below the shortest bounds on applying a change: 2.5 s for
	// upstreams and 5 s for evacuations.
	upstreamsHold   = 1400 * time.Millisecond
	evacuationsHold = 3 * time.Second
	// watchSlack is how much longer than its hold a watch may take before it times out.
	watchSlack = 600 * time.Millisecond
	// membersHold is the hold of a watch on the members, whose changes are less urgent.
	membersHold = 12 * time.Second
	// batchPause is the pause between two watches on upstreams or on evacuated data centres
	// after a change. Changes in the pause arrive in one batch, because each call of the
	// store has a cost.
	batchPause = 200 * time.Millisecond
	// membersBatchPause is the same for the members.
	membersBatchPause = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that failed.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// delegatedRetryFactor multiplies the retry pause where store readers serve this
	// process, since they report within half a second that the store answers again. The
	// pause also doubles with each failure in a row, up to maxDelegatedBackoff times. API
	// keys remain valid for 4.5 s without the store, which leaves time for three attempts.
	delegatedRetryFactor = 3
	maxDelegatedBackoff  = 4
	// readerWaitTime is how long after its start a process waits for an answer of its store
	// readers before it reads upstreams and evacuations itself. It is twice the time that
	// linking to them took when 69 processes started together.
	readerWaitTime = 3 * time.Second
	// membersWaitTime is how long after its start a process waits for the list of members,
	// which says who the store readers are.
	membersWaitTime = time.Second
	// reregistrationTime is how long after an outage of the store upstreams whose
	// registrations expired in it may take to register again.
	reregistrationTime = 1800 * time.Millisecond
)

// Store is the client of the metadata store.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.Snapshot, error)
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (platform.Snapshot, error)
}

// Options configure a Mirror.
type Options struct {
	Store Store
	// Clock must include the time in which the VM is suspended.
	Clock clock.Clock
	// Apply receives each new configuration with its upstreams, in order.
	Apply func(config *version.Config)
	// Members receives the members by VM whenever they change, each with the content of its
	// own member object.
	Members func(members map[version.VMID][]byte)
	// HasStoreReaders reports whether there are store readers for this process; nil means
	// that there are none.
	HasStoreReaders func() bool
	// InitialListDelay is the delay before the members are first listed, so that processes
	// which start together appear in one list; default 0.
	InitialListDelay time.Duration
	// FirstStart is set while the whole fleet starts for the first time: then the store cannot
	// lack what a process before this one knew.
	FirstStart bool
	// Rollouts receives the orders for rollouts, in order with Apply, whenever they change or were
	// read in full. at is the position of the store that they are of, and readAt a time of the clock at
	// which they were all that the store had; zero if that is not known. Without it the kind is not
	// read.
	Rollouts func(orders []rollout.Order, at storeera.Position, readAt time.Time)
	// UpstreamsRead is called, in order with Apply, with a time of the clock at which the registered
	// upstreams that were passed to Apply were all that the store had; nil does nothing.
	UpstreamsRead func(at time.Time)
	// OnCallFailure is called after a call that failed, so that the next call opens a new
	// connection.
	OnCallFailure func()
	Log           *slog.Logger
}

// Mirror keeps a copy of the store up to date. It is safe for concurrent use.
type Mirror struct {
	options Options

	mu sync.Mutex
	// base is the configuration in force, without upstreams; nil before the first one. spec is
	// its text, and at its newest position in the store.
	base *version.Config
	spec []byte
	at   storeera.Position
	// seen is the text of the configuration that was judged last, and seenAt its position.
	seen   []byte
	seenAt storeera.Position
	// published is set once a configuration was passed to Apply.
	published bool
	// firstRead is when the store first answered a read of the configuration.
	firstRead time.Time
	// witness is set once what this process has read of the store cannot lack what was in force
	// before its start.
	witness bool
	// confirmed is the time at which the newest successful read of the configuration was
	// sent; zero before the first one.
	confirmed time.Time
	available bool
	// backoff is the factor of the next pause after a failed call where store readers serve
	// this process.
	backoff time.Duration
	// responseApplied is when a state response of another process was last applied.
	responseApplied time.Time
	// eras follows the era of the store, by the answers to this process and to those that read
	// the store for it. newEra is closed and replaced when it advances.
	eras   storeera.Tracker
	newEra chan struct{}
	// started is when the mirror was created, by its clock.
	started     time.Time
	upstreams   *kindCopy
	evacuations *kindCopy
	members     *kindCopy
	// rollouts is nil without Options.Rollouts.
	rollouts *rolloutsCopy
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	if options.HasStoreReaders == nil {
		options.HasStoreReaders = func() bool { return false }
	}
	if options.UpstreamsRead == nil {
		options.UpstreamsRead = func(time.Time) {}
	}
	m := &Mirror{options: options, available: true, started: options.Clock(), backoff: 1, newEra: make(chan struct{})}
	m.upstreams = newKind(platform.KindUpstream, upstreamsHold, batchPause)
	m.evacuations = newKind(platform.KindEvacuation, evacuationsHold, batchPause)
	m.members = newKind(platform.KindMember, membersHold, membersBatchPause)
	if options.Rollouts != nil {
		m.rollouts = newRolloutsCopy()
	}
	return m
}

// FollowUpstreams keeps the registered upstreams up to date until ctx ends.
func (m *Mirror) FollowUpstreams(ctx context.Context) error { return m.follow(ctx, m.upstreams) }

// FollowEvacuations keeps the evacuated data centres up to date until ctx ends.
func (m *Mirror) FollowEvacuations(ctx context.Context) error { return m.follow(ctx, m.evacuations) }

// FollowMembers keeps the members of the fleet up to date until ctx ends.
func (m *Mirror) FollowMembers(ctx context.Context) error { return m.follow(ctx, m.members) }

// FollowRollouts keeps the orders for rollouts up to date until ctx ends. Options.Rollouts is
// required.
func (m *Mirror) FollowRollouts(ctx context.Context) error { return m.follow(ctx, m.rollouts.kindCopy) }

// follow keeps a kind of objects up to date: it lists them, watches them from the revision
// of the list, and lists them again when a watch fails.
func (m *Mirror) follow(ctx context.Context, k *kindCopy) error {
	outage, failures := false, 0
	if k == m.members {
		if err := wait.Sleep(ctx, m.options.InitialListDelay); err != nil {
			return err
		}
	}
	for {
		if err := m.awaitReaders(ctx, k); err != nil {
			return err
		}
		for m.kindDelegated(k) {
			// The loss of the store reader's responses does not mean that the store was
			// down, so an object which is missing from the next list has been removed.
			outage = false
			if err := wait.Sleep(ctx, delegationCheckInterval); err != nil {
				return err
			}
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		sentAt := m.options.Clock()
		snapshot, err := m.options.Store.List(call, k.name)
		cancel()
		if err == nil {
			err = m.applySnapshot(k, snapshot, outage, sentAt)
		}
		if err == nil {
			failures = 0
			err = m.watch(ctx, k, snapshot)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errStale) {
			if err := wait.Sleep(ctx, m.retryPause()); err != nil {
				return err
			}
		}
		if errors.IsAny(err, errReadsDelegated, errReadAgain, errStale) {
			continue
		}
		// The store has discarded the history since that revision, or returned from an older
		// copy: changes were missed, but there was no outage.
		outage = !errors.IsAny(err, platform.ErrHistoryGone, errEraChanged)
		if !outage {
			continue
		}
		failures++
		m.callFailed(k.name, err)
		if err := m.pauseAfterFailure(ctx, failures); err != nil {
			return err
		}
	}
}

// pauseAfterFailure waits after a call that failed. After a second failure in a row it
// waits until the store answers again, which the reads of the configuration detect for all
// kinds. This keeps the number of calls to a store that is down low.
func (m *Mirror) pauseAfterFailure(ctx context.Context, failures int) error {
	for {
		if err := wait.Sleep(ctx, m.retryPause()); err != nil {
			return err
		}
		m.mu.Lock()
		available := m.available
		m.mu.Unlock()
		if failures < 2 || available {
			return nil
		}
	}
}

// readerCheckInterval is how often a starting process checks whether it still has to wait
// for its store readers.
const readerCheckInterval = 50 * time.Millisecond

// awaitReaders waits while a kind, or the configuration if k is nil, is left to the store
// readers at the start of the process.
func (m *Mirror) awaitReaders(ctx context.Context, k *kindCopy) error {
	for m.shouldAwaitReaders(k) {
		if err := wait.Sleep(ctx, readerCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// shouldAwaitReaders reports whether this process has only just started and leaves a kind,
// or the configuration if k is nil, to its store readers.
func (m *Mirror) shouldAwaitReaders(k *kindCopy) bool {
	m.mu.Lock()
	age, membersListed, answered := m.options.Clock().Sub(m.started), m.members.listed, !m.responseApplied.IsZero()
	m.mu.Unlock()
	switch {
	case k == m.members || answered:
		return false
	case !membersListed:
		return age < membersWaitTime
	}
	return age < readerWaitTime && m.options.HasStoreReaders()
}

// errReadsDelegated ends a watch because a store reader reads the store for this process.
var errReadsDelegated = errors.New("another process reads the store")

// delegationCheckInterval is how often a process checks whether a store reader still reads
// the store for it.
const delegationCheckInterval = 250 * time.Millisecond

// errEraChanged ends a watch whose answer is of another era than the list before it.
var errEraChanged = errors.New("store returned from an older copy")

// watch applies the changes of a kind since a list until a call fails, the era changes or the
// reading is delegated.
func (m *Mirror) watch(ctx context.Context, k *kindCopy, list platform.Snapshot) error {
	revision := list.Revision
	for {
		if m.kindDelegated(k) {
			return errReadsDelegated
		}
		if pause, due := m.nextRolloutsRead(k); due {
			if err := wait.Sleep(ctx, pause); err != nil {
				return err
			}
			return errReadAgain
		}
		hold := m.nextHold(k)
		call, cancel := context.WithTimeout(ctx, hold+watchSlack)
		sentAt := m.options.Clock()
		stop, stopRead := m.cancelOnNewEra(list.Era, cancel), m.cancelOnRolloutsRead(k, cancel)
		changes, err := m.options.Store.Watch(call, k.name, revision, hold)
		stop()
		stopRead()
		cancel()
		if changes.Era != list.Era && err == nil || ctx.Err() == nil && m.eraIsNewerThan(list.Era) {
			return errEraChanged
		}
		if _, due := m.nextRolloutsRead(k); due && err != nil && ctx.Err() == nil {
			return errReadAgain
		}
		if err != nil {
			return err
		}
		m.applyChanges(k, changes, sentAt)
		revision = max(revision, changes.Revision)
		if len(changes.Objects) > 0 {
			if err := wait.Sleep(ctx, m.batchPauseOf(k)); err != nil {
				return err
			}
		}
	}
}

// batchPauseOf returns the pause after a change of a kind. While the whole fleet starts for
// the first time it is shorter for the members, since links between processes depend on
// them.
func (m *Mirror) batchPauseOf(k *kindCopy) time.Duration {
	if m.options.InitialListDelay > 0 && m.options.Clock().Sub(m.started) < readerWaitTime {
		return min(k.batchPause, batchPause)
	}
	return k.batchPause
}

// nextHold returns the hold of the next watch of a kind. It is shortened so that the watch
// ends when missing or revived entries are due.
func (m *Mirror) nextHold(k *kindCopy) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := k.due()
	if due.IsZero() {
		return k.hold
	}
	return min(max(due.Sub(m.options.Clock()), retryMin), k.hold)
}

// applySnapshot applies a list of a kind. It returns errOutdated for one of an older era.
func (m *Mirror) applySnapshot(k *kindCopy, snapshot platform.Snapshot, outage bool, sentAt time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.observeEra(k.name, snapshot.Era, snapshot.Revision) == storeera.Outdated {
		return errOutdated
	}
	now := m.options.Clock()
	k.lastAnswer = now
	advanced := m.enterEra(k, now, snapshot.Era)
	if m.isStaleRollouts(k, snapshot) {
		return errStale
	}
	missingBefore := len(k.missing)
	keep, until := keepNone, now.Add(reregistrationTime)
	switch {
	case now.Before(k.settledAt):
		keep, until = keepAll, k.settledAt
	case outage && k.name == platform.KindUpstream:
		keep = keepAll
	}
	changed := k.replace(now, snapshot, keep, until) || advanced
	if len(k.missing) > missingBefore {
		m.options.Log.Warn("registrations are missing after an outage and may come back",
			"count", len(k.missing), "kind", k.name, "revision", snapshot.Revision, "era", snapshot.Era, "for_ms", until.Sub(now).Milliseconds())
	}
	m.finishUpdate(k, now, changed, sourceStore)
	m.recordComplete(k, now, sentAt)
	m.recordRolloutsRead(k, now, sentAt)
	return nil
}

func (m *Mirror) applyChanges(k *kindCopy, changes platform.Snapshot, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k.lastAnswer = m.options.Clock()
	m.finishUpdate(k, k.lastAnswer, k.change(k.lastAnswer, changes), sourceStore)
	m.recordComplete(k, k.lastAnswer, sentAt)
}

// sourceStore is the logged source of changes that this process read from the store itself.
const sourceStore = "store"

// finishUpdate decodes new objects and publishes the result if the kind changed. The
// source, for the log, is the store or the process that sent the state.
func (m *Mirror) finishUpdate(k *kindCopy, now time.Time, changed bool, source string) {
	if k.expire(now) {
		changed = true
	}
	if !changed {
		return
	}
	k.mark = rand.Uint64()
	removed := k.removed
	k.removed = nil
	switch k.name {
	case platform.KindMember:
		m.publishMembers()
		return
	case platform.KindRollout:
		m.decodeRollouts(source, removed)
		m.publishRollouts()
	case platform.KindUpstream:
		for _, name := range removed {
			m.options.Log.Info("upstream unregistered", "upstream", name[:min(len(name), maxLoggedName)], "source", source)
		}
		m.decodeUpstreams(k, source)
	}
	m.publish()
}

// storeAnswered records that the store answered a read of the configuration.
func (m *Mirror) storeAnswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backoff = 1
	if !m.available {
		m.available = true
		m.options.Log.Info("store answers again")
	}
}

// callFailed records a call that failed.
func (m *Mirror) callFailed(call string, err error) {
	m.options.OnCallFailure()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.available {
		m.available = false
		m.options.Log.Warn("store does not answer", "call", call, "error", err)
	}
}

func (m *Mirror) retryPause() time.Duration {
	pause := retryMin + rand.N(retryMax-retryMin)
	if !m.options.HasStoreReaders() {
		return pause
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pause *= delegatedRetryFactor * m.backoff
	m.backoff = min(2*m.backoff, maxDelegatedBackoff)
	return pause
}
