package mirror

import (
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// mayHaveMissedReturn reports whether this process has started and is no witness yet: the store may
// have returned from an older copy without its knowledge, and lack what was in force. It becomes one
// by a read of the store in an era that it has followed for storeera.SettleTime, or by the state of
// another process that has read the store. Until then it uses no configuration, and none of its reads
// confirms one.
func (m *Mirror) mayHaveMissedReturn(now time.Time) bool {
	if m.witness || m.eras.Era() <= firstEra || m.options.FirstStart || !m.responseApplied.IsZero() {
		return false
	}
	followedSince := m.firstRead
	if since := m.eras.Since(); since.After(followedSince) {
		followedSince = since
	}
	return now.Sub(followedSince) < storeera.SettleTime
}

// firstEra is the era of a store that has never returned from an older copy.
const firstEra = 1

// NeedsPeers reports whether this process has only just started and knows only what the store
// says, which may lack what other processes know.
func (m *Mirror) NeedsPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	return m.eras.Era() > firstEra && !m.options.FirstStart && m.responseApplied.IsZero() &&
		(!m.witness || now.Sub(m.started) < readerWaitTime)
}

// LacksMember reports whether the store lacks the entry of a member.
func (m *Mirror) LacksMember(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.listed && (m.members.entries[name] == nil || m.members.missing[name])
}

// Era returns the store's era that this process follows and when it was first observed; zero if
// no other one is known.
func (m *Mirror) Era() (era uint64, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.eras.Era(), m.eras.Since()
}

// observeEra takes in the era of an answer. m.mu must be held.
func (m *Mirror) observeEra(call string, era, revision uint64) storeera.Verdict {
	before := m.eras.Era()
	verdict := m.eras.Observe(m.options.Clock(), era)
	switch {
	case verdict == storeera.Advanced:
		close(m.newEra)
		m.newEra = make(chan struct{})
		m.options.Log.Warn("store returned from an older copy", "call", call, "era", era, "before", before, "revision", revision)
	case verdict == storeera.Outdated:
		m.options.Log.Warn("answer of an older era of the store", "call", call, "era", era, "followed", before, "revision", revision)
	case before == 0 && era != 0:
		m.options.Log.Info("store's era", "era", era, "revision", revision)
	}
	return verdict
}

// enterEra lets the copy of a kind enter an era and reports whether it is a newer one than that
// of its state.
func (m *Mirror) enterEra(k *kindCopy, now time.Time, era uint64) bool {
	if !k.listed {
		k.at.Era = era
		return false
	}
	if era <= k.at.Era {
		return false
	}
	k.enterEra(now, era)
	return true
}

// eraIsNewerThan reports whether a newer era than the given one is followed.
func (m *Mirror) eraIsNewerThan(era uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.eras.Era() > era
}

// cancelOnNewEra calls cancel once a newer era than the given one is followed, unless stop is
// called before. A watch may stay silent for long, while other calls show that the store returned.
func (m *Mirror) cancelOnNewEra(era uint64, cancel func()) (stop func()) {
	m.mu.Lock()
	newEra, newer := m.newEra, m.eras.Era() > era
	m.mu.Unlock()
	if newer {
		cancel()
		return func() {}
	}
	return wait.CancelOn(newEra, cancel)
}
