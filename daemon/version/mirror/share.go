package mirror

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// sharedTime is how long what another process told replaces own reads: a question
	// that is lost and one to another reader. With configAgeMax it leaves a second of
	// the shortest bound in a fleet with hubs, 4 s, to the request itself.
	sharedTime = time.Second
	// configAgeMax is how old the other's confirmation of the configuration may
	// be: the time between two reads and a slow answer.
	configAgeMax = 1600 * time.Millisecond
)

// ageMax is how long ago another process may have heard of a kind: the pause after a
// change, a watch that brought nothing and a slow answer.
func (k *kind) ageMax() time.Duration { return k.gather + k.wait + watchSlack }

// kinds returns the watched kinds.
func (m *Mirror) kinds() []*kind { return []*kind{m.upstreams, m.evacuated, m.members} }

// kind returns the kind with a name, or nil.
func (m *Mirror) kind(name string) *kind {
	for _, k := range m.kinds() {
		if k.name == name {
			return k
		}
	}
	return nil
}

// Ask returns the question that fills what this mirror lacks.
func (m *Mirror) Ask() wire.StateAsk {
	m.mu.Lock()
	defer m.mu.Unlock()
	ask := wire.StateAsk{Config: m.revision}
	for _, k := range m.kinds() {
		ask.Marks = append(ask.Marks, wire.StateMark{Kind: k.name, Mark: k.taken, Revision: k.revision})
	}
	return ask
}

// Tell answers another process's question from what this mirror itself has read
// of the store. It reports false while that is nothing, or old.
func (m *Mirror) Tell(ask wire.StateAsk) (wire.StateTell, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	if m.base == nil || m.sharedAt(now) {
		return wire.StateTell{}, false
	}
	tell := wire.StateTell{Seq: ask.Seq, ConfigAgeMS: ageMS(now.Sub(m.confirmed))}
	if ask.Config != m.revision {
		tell.Config = &wire.Stored{Name: platform.ConfigName, Revision: m.revision, Spec: m.spec}
	}
	known := make(map[string]wire.StateMark, len(ask.Marks))
	for _, mark := range ask.Marks {
		known[mark.Kind] = mark
	}
	for _, k := range m.kinds() {
		if k.heard.IsZero() {
			return wire.StateTell{}, false
		}
		state := wire.StateKind{Kind: k.name, Mark: k.mark, Revision: k.revision, AgeMS: ageMS(now.Sub(k.heard))}
		if mark := known[k.name]; mark.Mark != k.mark && mark.Revision <= k.revision {
			k.tell(&state)
		}
		tell.Kinds = append(tell.Kinds, state)
	}
	return tell, true
}

// Take takes the answer of another process to a question that was asked at a time
// of the mirror's clock. The configuration counts as confirmed as long before that
// as the other process says, which does not depend on how long the answer was on its
// way.
//
// It reports whether the answer replaces own reads: not if the other process has lost
// its way to the store.
func (m *Mirror) Take(from version.VMID, tell wire.StateTell, asked time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fresh(tell) {
		return false
	}
	if tell.Config != nil {
		object := platform.Object{Name: tell.Config.Name, Revision: tell.Config.Revision, Spec: tell.Config.Spec}
		if object.Revision > m.revision && !bytes.Equal(object.Spec, m.spec) {
			m.takeConfig(object)
		}
	} else if confirmed := asked.Add(-milliseconds(tell.ConfigAgeMS)); confirmed.After(m.confirmed) {
		m.confirmed = confirmed
	}
	now := m.options.Clock()
	for _, state := range tell.Kinds {
		k := m.kind(state.Kind)
		if k == nil || !state.Changed || state.Revision < k.revision {
			continue
		}
		k.taken = state.Mark
		if heard := asked.Add(-milliseconds(state.AgeMS)); heard.After(k.heard) {
			k.heard = heard
		}
		// What is missing for the other process stays until that one gives it up.
		missing := func(name string) bool { return slices.Contains(state.Missing, name) }
		changed := k.replace(snapshotOf(state), missing, now.Add(returnTime))
		m.settle(k, now, changed, string(from))
	}
	m.shared = now
	return true
}

// fresh reports whether the process that told this hears of the store.
func (m *Mirror) fresh(tell wire.StateTell) bool {
	if milliseconds(tell.ConfigAgeMS) > configAgeMax {
		return false
	}
	return !slices.ContainsFunc(tell.Kinds, func(state wire.StateKind) bool {
		k := m.kind(state.Kind)
		return k != nil && milliseconds(state.AgeMS) > k.ageMax()
	})
}

// starvedAfter is how long the configuration must not have been confirmed for this
// process to ask others for what they read: a read that failed and its repetition.
const starvedAfter = 1500 * time.Millisecond

// Starved reports whether the store has not answered this process for a while.
func (m *Mirror) Starved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	return !m.available && now.Sub(m.confirmed) > starvedAfter
}

// relieved reports whether another process reads the store instead of this one.
func (m *Mirror) relieved() bool { return m.options.Served() && m.Shared() }

// sharedAt reports whether another process reads the store for this one.
func (m *Mirror) sharedAt(now time.Time) bool {
	return !m.shared.IsZero() && now.Sub(m.shared) <= sharedTime
}

// Shared reports whether another process reads the store for this one.
func (m *Mirror) Shared() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sharedAt(m.options.Clock())
}

func snapshotOf(state wire.StateKind) platform.Snapshot {
	snapshot := platform.Snapshot{Revision: state.Revision}
	for _, stored := range state.Objects {
		snapshot.Objects = append(snapshot.Objects, platform.Object{
			Name: stored.Name, Revision: stored.Revision, Spec: stored.Spec,
		})
	}
	return snapshot
}

func ageMS(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
