// Package mirror keeps a copy of what the metadata store says: the operators'
// configuration, the registered upstreams, the data centres that are emptied
// and the processes of the fleet.
//
// The configuration is read again and again, because a read that the store
// answers proves that nothing newer existed when it was asked; a watch that
// brings nothing proves nothing. The other kinds are watched.
package mirror

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// readInterval is how often the configuration is read. It leaves more than
	// half of the shortest bound on a change, 2.5 s, to a slow store.
	readInterval = 900 * time.Millisecond
	// firstInterval is how often it is read before the first one is known.
	firstInterval = 150 * time.Millisecond
	// callTimeout bounds a call. A store that is slow by a factor of a hundred
	// answers in 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// upstreamsWait is how long the store may hold a watch on upstreams, and
	// evacuationsWait one on data centres that are emptied. A connection that has gone
	// silent is noticed after this and watchSlack. With a pause, a list and a question
	// that is below the shortest bounds on either, 2.5 s and 5 s.
	upstreamsWait   = 1400 * time.Millisecond
	evacuationsWait = 3 * time.Second
	// watchSlack is how much longer than it was held a watch may take.
	watchSlack = 600 * time.Millisecond
	// membersWait is how long it may hold one on the members, whose changes are
	// less urgent.
	membersWait = 12 * time.Second
	// gatherTime is the pause between two watches on upstreams and on data
	// centres, in which changes gather: each watch is a call that is paid for.
	gatherTime = 200 * time.Millisecond
	// membersGatherTime is the same for the members.
	membersGatherTime = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that failed.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// servedRetryFactor lengthens that pause where other processes read the store for
	// this one and tell it, within half a second, when the store is back; it doubles
	// with each failure in a row up to servedRetryMax times as much. Keys hold for 4.5 s
	// without the store, which leaves three tries.
	servedRetryFactor = 3
	servedRetryMax    = 4
	// expectTime is how long after its start a process waits for those that read the
	// store for it before it reads upstreams and evacuations itself: twice what
	// linking to them took when 69 processes started together.
	expectTime = 3 * time.Second
	// membersTime is how long after its start it waits to learn who they are.
	membersTime = time.Second
	// returnTime is how long after an outage registrations that lapsed in it may
	// take to come back.
	returnTime = 1800 * time.Millisecond
)

// Store is the metadata store.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.Snapshot, error)
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (platform.Snapshot, error)
}

// Options set up a Mirror.
type Options struct {
	Store Store
	// Clock must run while the VM is suspended.
	Clock clock.Clock
	// Apply is given each new configuration with its upstreams, in order.
	Apply func(config *version.Config)
	// Members is given the processes of the fleet, by VM, each time that they
	// change, with what each wrote of itself.
	Members func(members map[version.VMID][]byte)
	// Served reports whether there are processes that read the store for this one
	// while they can; default none.
	Served func() bool
	// Settle is how long to wait before the members are first listed, so that those
	// that start together are listed at once; default 0.
	Settle time.Duration
	// Lost is told that a call failed, so that the next one takes a new
	// connection.
	Lost func()
	Log  *slog.Logger
}

// Mirror follows the store. It is safe for concurrent use.
type Mirror struct {
	options Options

	mu sync.Mutex
	// base is the newest configuration, without upstreams; nil before the
	// first.
	base     *version.Config
	spec     []byte
	revision uint64
	// confirmed is when the newest read of the configuration that succeeded was
	// begun; zero before the first.
	confirmed time.Time
	available bool
	// longer is how many times as long the next pause after a failed call is, where
	// others read the store for this process.
	longer time.Duration
	// shared is when another process last told what it has read.
	shared time.Time
	// started is when the mirror was made, by its clock.
	started   time.Time
	upstreams *kind
	evacuated *kind
	members   *kind
}

// New returns a mirror that knows nothing.
func New(options Options) *Mirror {
	if options.Served == nil {
		options.Served = func() bool { return false }
	}
	m := &Mirror{options: options, available: true, started: options.Clock(), longer: 1}
	m.upstreams = newKind(platform.KindUpstream, upstreamsWait, gatherTime)
	m.evacuated = newKind(platform.KindEvacuation, evacuationsWait, gatherTime)
	m.members = newKind(platform.KindMember, membersWait, membersGatherTime)
	return m
}

// Confirmed returns when the configuration in force was certainly the newest,
// by the mirror's clock.
func (m *Mirror) Confirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// FollowConfig reads the configuration until ctx ends.
func (m *Mirror) FollowConfig(ctx context.Context) error {
	if err := m.awaitReaders(ctx, nil); err != nil {
		return err
	}
	relieved := false
	for {
		pause := sharedPause
		if now := m.relieved(); now != relieved {
			relieved = now
			m.options.Log.Info("who reads the store changed", "other", relieved,
				"config_age_ms", m.options.Clock().Sub(m.Confirmed()).Milliseconds())
		}
		if !relieved {
			pause = m.readConfig(ctx)
		}
		if err := wait.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// readConfig reads the configuration once and returns the pause until the next
// time.
func (m *Mirror) readConfig(ctx context.Context) time.Duration {
	began := m.options.Clock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	object, err := m.options.Store.Get(call, platform.KindConfig, platform.ConfigName)
	cancel()
	if errors.Is(err, platform.ErrNotFound) {
		m.reached()
		return firstInterval
	}
	if err != nil {
		m.failed("configuration", err)
		return m.retryPause()
	}
	m.reached()
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.After(m.confirmed) {
		m.confirmed = began
	}
	if object.Revision == m.revision && bytes.Equal(object.Spec, m.spec) {
		return readInterval
	}
	m.takeConfig(object)
	return readInterval
}

// takeConfig takes a configuration that differs from the one in force, unless
// it is older or malformed.
func (m *Mirror) takeConfig(object platform.Object) {
	m.spec, m.revision = object.Spec, object.Revision
	config, err := platform.DecodeConfig(object.Spec)
	if err != nil {
		m.options.Log.Error("configuration is malformed, the last one stays in force",
			"revision", object.Revision, "error", err)
		return
	}
	if m.base != nil && config.Number <= m.base.Number {
		m.options.Log.Warn("configuration is older than the one in force",
			"version", config.Number, "in_force", m.base.Number)
		return
	}
	m.base = config
	m.options.Log.Info("configuration in force", "version", config.Number,
		"revision", object.Revision, "accounts", len(config.Accounts), "services", len(config.Pools))
	m.publish()
}

// FollowUpstreams watches the registered upstreams until ctx ends.
func (m *Mirror) FollowUpstreams(ctx context.Context) error { return m.follow(ctx, m.upstreams) }

// FollowEvacuations watches the data centres that are emptied until ctx ends.
func (m *Mirror) FollowEvacuations(ctx context.Context) error { return m.follow(ctx, m.evacuated) }

// FollowMembers watches the processes of the fleet until ctx ends.
func (m *Mirror) FollowMembers(ctx context.Context) error { return m.follow(ctx, m.members) }

// follow keeps a kind up to date: it lists it, watches it from there, and lists
// it again when a watch fails.
func (m *Mirror) follow(ctx context.Context, k *kind) error {
	outage, failures := false, 0
	if k == m.members {
		if err := wait.Sleep(ctx, m.options.Settle); err != nil {
			return err
		}
	}
	for {
		if err := m.awaitReaders(ctx, k); err != nil {
			return err
		}
		for m.relieved() {
			// That the other process ceased to tell does not mean that the store was
			// away: what the next list lacks has left.
			outage = false
			if err := wait.Sleep(ctx, sharedPause); err != nil {
				return err
			}
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		snapshot, err := m.options.Store.List(call, k.name)
		cancel()
		if err == nil {
			failures = 0
			m.replace(k, snapshot, outage)
			err = m.watch(ctx, k, snapshot.Revision)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errShared) {
			continue
		}
		// A forgotten history only means that changes were missed.
		outage = !errors.Is(err, platform.ErrHistoryGone)
		if !outage {
			continue
		}
		failures++
		m.failed(k.name, err)
		if err := m.pause(ctx, failures); err != nil {
			return err
		}
	}
}

// pause waits after a call that failed. After a second failure in a row the reads
// of the configuration find out for all kinds when the store answers again.
func (m *Mirror) pause(ctx context.Context, failures int) error {
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

// expectPause is how often it is looked whether another process reads the store.
const expectPause = 50 * time.Millisecond

// awaitReaders waits while a kind, or the configuration for nil, is left to another process.
func (m *Mirror) awaitReaders(ctx context.Context, k *kind) error {
	for m.expects(k) {
		if err := wait.Sleep(ctx, expectPause); err != nil {
			return err
		}
	}
	return nil
}

// expects reports whether a kind, or the configuration for nil, is left to another
// process, which is to read the store for this one, since this one has only just started.
func (m *Mirror) expects(k *kind) bool {
	m.mu.Lock()
	age, known, taken := m.options.Clock().Sub(m.started), m.members.listed, !m.shared.IsZero()
	m.mu.Unlock()
	switch {
	case k == m.members || taken:
		return false
	case !known:
		return age < membersTime
	}
	return age < expectTime && m.options.Served()
}

// errShared ends a watch because another process reads the store for this one.
var errShared = errors.New("another process reads the store")

// sharedPause is how often it is looked whether that is still so.
const sharedPause = 250 * time.Millisecond

// watch takes the changes of a kind until a call fails.
func (m *Mirror) watch(ctx context.Context, k *kind, revision uint64) error {
	for {
		if m.relieved() {
			return errShared
		}
		hold := m.hold(k)
		call, cancel := context.WithTimeout(ctx, hold+watchSlack)
		changes, err := m.options.Store.Watch(call, k.name, revision, hold)
		cancel()
		if err != nil {
			return err
		}
		m.change(k, changes)
		revision = max(revision, changes.Revision)
		if len(changes.Objects) > 0 {
			if err := wait.Sleep(ctx, m.gatherOf(k)); err != nil {
				return err
			}
		}
	}
}

// gatherOf returns the pause after a change of a kind. While the fleet starts for the first
// time, the members are told soon: links wait for them.
func (m *Mirror) gatherOf(k *kind) time.Duration {
	if m.options.Settle > 0 && m.options.Clock().Sub(m.started) < expectTime {
		return min(k.gather, gatherTime)
	}
	return k.gather
}

// hold returns how long the next watch may wait: not past the time when missing
// entries are given up.
func (m *Mirror) hold(k *kind) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(k.missing) == 0 {
		return k.wait
	}
	return min(max(k.missingUntil.Sub(m.options.Clock()), retryMin), k.wait)
}

func (m *Mirror) replace(k *kind, snapshot platform.Snapshot, outage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	k.heard = now
	missing := len(k.missing)
	keep := keepNone
	if outage && k.name == platform.KindUpstream {
		keep = keepAll
	}
	changed := k.replace(snapshot, keep, now.Add(returnTime))
	if len(k.missing) > missing {
		m.options.Log.Warn("registrations are missing after an outage and may come back",
			"count", len(k.missing), "revision", snapshot.Revision, "for_ms", returnTime.Milliseconds())
	}
	m.settle(k, now, changed, sourceStore)
}

func (m *Mirror) change(k *kind, changes platform.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k.heard = m.options.Clock()
	m.settle(k, k.heard, k.change(changes), sourceStore)
}

// sourceStore is the source of what the store itself told.
const sourceStore = "store"

// settle decodes what is new and publishes the result. The source is who told it.
func (m *Mirror) settle(k *kind, now time.Time, changed bool, source string) {
	if k.dropMissing(now) {
		changed = true
	}
	if !changed {
		return
	}
	k.mark = rand.Uint64()
	gone := k.gone
	k.gone = nil
	switch k.name {
	case platform.KindMember:
		m.publishMembers()
		return
	case platform.KindUpstream:
		for _, name := range gone {
			m.options.Log.Info("upstream unregistered", "upstream", name, "source", source)
		}
		m.decodeUpstreams(k, source)
	}
	m.publish()
}

func (m *Mirror) publishMembers() {
	members := make(map[version.VMID][]byte, len(m.members.entries))
	for name, entry := range m.members.entries {
		members[version.VMID(name)] = entry.object.Spec
	}
	m.options.Members(members)
}

func (m *Mirror) decodeUpstreams(k *kind, source string) {
	for name, entry := range k.entries {
		if entry.decoded {
			continue
		}
		entry.decoded = true
		upstream, err := platform.DecodeUpstream(name, entry.object.Spec, time.Now())
		if err != nil {
			m.options.Log.Warn("registration is malformed, the upstream gets no work",
				"upstream", name, "revision", entry.object.Revision, "source", source, "error", err)
			continue
		}
		entry.upstream = upstream
		m.options.Log.Info("upstream registered", "upstream", name, "address", upstream.Address,
			"data_centre", upstream.DataCentre, "draining", upstream.Draining,
			"cold", !upstream.ColdUntil.IsZero(), "revision", entry.object.Revision, "source", source)
	}
}

// publish hands the present state to Apply.
func (m *Mirror) publish() {
	if m.base == nil || !m.upstreams.listed || !m.evacuated.listed {
		// Without all of them, requests would be refused for want of upstreams, or
		// sent to a data centre that is emptied.
		return
	}
	upstreams := make(map[version.UpstreamID]*version.Upstream)
	for entry := range maps.Values(m.upstreams.entries) {
		if entry.upstream != nil {
			upstreams[entry.upstream.ID] = entry.upstream
		}
	}
	var out version.OutOfService
	for name := range m.evacuated.entries {
		out.DataCentres = append(out.DataCentres, version.DataCentreID(name))
	}
	m.options.Apply(m.base.WithUpstreams(upstreams, out))
}

// reached notes that the store told the configuration.
func (m *Mirror) reached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longer = 1
	if !m.available {
		m.available = true
		m.options.Log.Info("store answers again")
	}
}

// failed notes a call without success.
func (m *Mirror) failed(what string, err error) {
	m.options.Lost()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.available {
		m.available = false
		m.options.Log.Warn("store does not answer", "call", what, "error", err)
	}
}

func (m *Mirror) retryPause() time.Duration {
	pause := retryMin + rand.N(retryMax-retryMin)
	if !m.options.Served() {
		return pause
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pause *= servedRetryFactor * m.longer
	m.longer = min(2*m.longer, servedRetryMax)
	return pause
}
