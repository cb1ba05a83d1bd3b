package mirror

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// delegationTimeout is how long after a state response the process does without reads
	// of its own: enough for one state request that is lost and another to the next store
	// reader. Together with maxConfigAge it leaves 1 s of the shortest bound in a fleet
	// with hubs, 4 s, to the request itself.
	delegationTimeout = time.Second
	// maxConfigAge is the highest age of a store reader's confirmation of the configuration
	// that is accepted: the interval between two reads and a slow answer.
	maxConfigAge = 1600 * time.Millisecond
)

// maxAge returns the highest accepted age of a store reader's last answer for a kind: the
// pause after a change, a watch without changes and a slow answer.
func (k *kindCopy) maxAge() time.Duration { return k.batchPause + k.hold + watchSlack }

// kinds returns the copies of the watched kinds.
func (m *Mirror) kinds() []*kindCopy {
	kinds := []*kindCopy{m.upstreams, m.evacuations, m.members}
	if m.rollouts != nil {
		kinds = append(kinds, m.rollouts.kindCopy)
	}
	return kinds
}

// kindNamed returns the copy of the kind called name, or nil.
func (m *Mirror) kindNamed(name string) *kindCopy {
	for _, k := range m.kinds() {
		if k.name == name {
			return k
		}
	}
	return nil
}

// StateRequest returns the state request for what this mirror lacks.
func (m *Mirror) StateRequest() wire.StateRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := wire.StateRequest{Config: wire.FromPosition(m.at)}
	for _, k := range m.kinds() {
		request.Marks = append(request.Marks, wire.StateMark{Kind: k.name, Mark: k.appliedMark, At: wire.FromPosition(k.at)})
	}
	return request
}

// AnswerStateRequest returns the response to another process's state request, from what
// this mirror itself has read from the store. It reports false if it has read nothing yet,
// its state comes from another process, or it may be older than what others know.
func (m *Mirror) AnswerStateRequest(request wire.StateRequest) (wire.StateResponse, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	if m.base == nil || m.freshResponseAt(now) || m.mayHaveMissedReturn(now) {
		return wire.StateResponse{}, false
	}
	response := wire.StateResponse{
		Seq: request.Seq, ConfigAgeMS: ageMS(now.Sub(m.confirmed)), Era: m.eras.Era(), ConfigAt: wire.FromPosition(m.at),
	}
	if request.Config != response.ConfigAt {
		response.Config = &wire.StoredObject{Name: platform.ConfigName, Revision: m.at.Revision, Spec: m.spec}
	}
	requesterMarks := make(map[string]wire.StateMark, len(request.Marks))
	for _, mark := range request.Marks {
		requesterMarks[mark.Kind] = mark
	}
	for _, k := range m.kinds() {
		if k.lastAnswer.IsZero() {
			return wire.StateResponse{}, false
		}
		state := wire.StateKind{Kind: k.name, Mark: k.mark, At: wire.FromPosition(k.at), AgeMS: ageMS(now.Sub(k.lastAnswer))}
		if mark := requesterMarks[k.name]; mark.Mark != k.mark && mark.At.Position().Compare(k.at) <= 0 {
			k.fillState(&state)
		}
		if m.isRollouts(k) && !m.rollouts.readAt.IsZero() {
			state.Read, state.ReadAgeMS = true, ageMS(now.Sub(m.rollouts.readAt))
		}
		response.Kinds = append(response.Kinds, state)
	}
	return response, true
}

// ApplyStateResponse applies the state response of another process to a request that was
// sent at sentAt, by the mirror's clock. The configuration counts as confirmed ConfigAgeMS
// before sentAt, so that the network latency of the response does not matter.
//
// It reports whether the response replaces reads of the store by this process. It does not
// if the other process has lost contact with the store.
func (m *Mirror) ApplyStateResponse(from version.VMID, response wire.StateResponse, sentAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.learnConfig(response)
	if !m.isFresh(response) || m.observeEra(string(from), response.Era, response.ConfigAt.Revision) == storeera.Outdated {
		return false
	}
	if confirmed := sentAt.Add(-milliseconds(response.ConfigAgeMS)); known && confirmed.After(m.confirmed) {
		m.confirmed = confirmed
	}
	now := m.options.Clock()
	for _, state := range response.Kinds {
		k := m.kindNamed(state.Kind)
		if k == nil {
			continue
		}
		changed := false
		if at := state.At.Position(); state.Changed && at.Compare(k.at) >= 0 {
			changed = m.enterEra(k, now, at.Era)
			k.appliedMark = state.Mark
			if lastAnswer := sentAt.Add(-milliseconds(state.AgeMS)); lastAnswer.After(k.lastAnswer) {
				k.lastAnswer = lastAnswer
			}
			keep, until := missingOf(state), now.Add(reregistrationTime)
			if now.Before(k.settledAt) {
				keep, until = keepAll, k.settledAt
			}
			changed = k.replace(now, snapshotOf(state), keep, until) || changed
			if m.responseApplied.IsZero() {
				changed = k.adoptMissing(now, objectsOf(state.Missing)) || changed
			}
		}
		m.finishUpdate(k, now, changed, string(from))
		if state.Mark == k.appliedMark {
			// The other process sent the call that was answered then up to a hold before.
			m.recordComplete(k, now, sentAt.Add(-milliseconds(state.AgeMS)-k.hold-watchSlack))
		}
		m.recordSharedRollouts(k, now, state, sentAt)
	}
	m.responseApplied = now
	m.publishFirst()
	return true
}

// learnConfig applies the configuration that another process has in force, and reports whether it is
// the one in force here. It counts also if that process cannot confirm it: an operator wrote it, so
// that no older version may be used, whatever the store has.
func (m *Mirror) learnConfig(response wire.StateResponse) bool {
	if response.Config == nil {
		return true
	}
	m.applyConfig(platform.Object{
		Name: response.Config.Name, Revision: response.ConfigAt.Revision, Era: response.ConfigAt.Era, Spec: response.Config.Spec,
	})
	return bytes.Equal(response.Config.Spec, m.spec)
}

// missingOf selects the entries that are missing at the process that sent a state. They are kept
// until that process removes them.
func missingOf(state wire.StateKind) func(name string) bool {
	return func(name string) bool {
		return slices.ContainsFunc(state.Missing, func(object wire.StoredObject) bool { return object.Name == name })
	}
}

// isFresh reports whether the process that sent the response is in contact with the store.
func (m *Mirror) isFresh(response wire.StateResponse) bool {
	if milliseconds(response.ConfigAgeMS) > maxConfigAge {
		return false
	}
	return !slices.ContainsFunc(response.Kinds, func(state wire.StateKind) bool {
		k := m.kindNamed(state.Kind)
		return k != nil && milliseconds(state.AgeMS) > k.maxAge()
	})
}

// unreachableAfter is how long the configuration must have been unconfirmed before this
// process asks others for their copy of the store: one read that failed and its retry.
const unreachableAfter = 1500 * time.Millisecond

// StoreUnreachable reports whether the store has not answered this process for
// unreachableAfter.
func (m *Mirror) StoreUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	return !m.available && now.Sub(m.confirmed) > unreachableAfter
}

// answerTime is how long after a confirmation of the configuration the store counts as answering:
// the interval between two reads and a slow answer.
const answerTime = configReadInterval + 400*time.Millisecond

// Answers reports whether the store answers this process, or the one that reads it for this process,
// as far as is known.
func (m *Mirror) Answers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	if m.freshResponseAt(now) {
		return now.Sub(m.confirmed) <= maxConfigAge+delegationTimeout
	}
	return m.available && now.Sub(m.confirmed) <= answerTime
}

// readsDelegated reports whether a store reader reads the store instead of this process.
func (m *Mirror) readsDelegated() bool { return m.options.HasStoreReaders() && m.HasFreshResponse() }

// freshResponseAt reports whether a state response was applied within delegationTimeout
// before now.
func (m *Mirror) freshResponseAt(now time.Time) bool {
	return !m.responseApplied.IsZero() && now.Sub(m.responseApplied) <= delegationTimeout
}

// HasFreshResponse reports whether a state response of another process was applied within
// delegationTimeout.
func (m *Mirror) HasFreshResponse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshResponseAt(m.options.Clock())
}

func snapshotOf(state wire.StateKind) platform.Snapshot {
	return platform.Snapshot{Revision: state.At.Revision, Era: state.At.Era, Objects: objectsOf(state.Objects)}
}

func objectsOf(stored []wire.StoredObject) []platform.Object {
	var objects []platform.Object
	for _, object := range stored {
		objects = append(objects, platform.Object{
			Name: object.Name, Revision: object.Revision, Spec: object.Spec, Status: object.Status, Created: object.Created,
		})
	}
	return objects
}

func ageMS(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
