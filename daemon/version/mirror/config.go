package mirror

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
	"github.com/trefoilwell/trefoilwell/platform"
)

// FollowConfig polls the configuration until ctx ends.
func (m *Mirror) FollowConfig(ctx context.Context) error {
	if err := m.awaitReaders(ctx, nil); err != nil {
		return err
	}
	delegated := false
	for {
		pause := delegationCheckInterval
		if now := m.readsDelegated(); now != delegated {
			delegated = now
			m.options.Log.Info("who reads the store changed", "other", delegated,
				"config_age_ms", m.options.Clock().Sub(m.Confirmed()).Milliseconds())
		}
		if !delegated {
			pause = m.readConfig(ctx)
		}
		if err := wait.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// readConfig reads the configuration once and returns the pause until the next read.
func (m *Mirror) readConfig(ctx context.Context) time.Duration {
	sentAt := m.options.Clock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	object, err := m.options.Store.Get(call, platform.KindConfig, platform.ConfigName)
	cancel()
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		m.callFailed("configuration", err)
		return m.retryPause()
	}
	if !m.takeConfig(sentAt, object, err == nil) {
		m.callFailed("configuration", errOutdated)
		return m.retryPause()
	}
	m.storeAnswered()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil:
		return initialConfigReadInterval
	case !m.eras.Settled(m.options.Clock()):
		return unsettledConfigReadInterval
	}
	return configReadInterval
}

// errOutdated is an answer of the store of an older era than one known before, or of none.
var errOutdated = errors.New("answer of an older era of the store")

// takeConfig takes in the answer to a read of the configuration that was sent at sentAt. It
// returns false if the answer is outdated.
func (m *Mirror) takeConfig(sentAt time.Time, object platform.Object, found bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.observeEra("configuration", object.Era, object.Revision) == storeera.Outdated {
		return false
	}
	if !found {
		return true
	}
	now := m.options.Clock()
	if m.firstRead.IsZero() {
		m.firstRead = now
	}
	m.applyConfig(object)
	// While the store lacks what was written before its return, no version in it proves that
	// there is no newer one.
	if m.eras.Settled(now) && !m.mayHaveMissedReturn(now) {
		m.witness = true
		if sentAt.After(m.confirmed) {
			m.confirmed = sentAt
		}
	}
	m.publishFirst()
	return true
}

// publishFirst publishes the state if that was put off until now.
func (m *Mirror) publishFirst() {
	if !m.published {
		m.publish()
	}
}

// applyConfig applies a configuration that differs from the active one, unless its version
// is older or it is malformed.
func (m *Mirror) applyConfig(object platform.Object) {
	at := storeera.Position{Era: object.Era, Revision: object.Revision}
	if m.base != nil && bytes.Equal(object.Spec, m.spec) {
		if at.Compare(m.at) > 0 {
			m.at = at
		}
		return
	}
	if at == m.seenAt && bytes.Equal(object.Spec, m.seen) {
		return
	}
	m.seen, m.seenAt = object.Spec, at
	config, err := platform.DecodeConfig(object.Spec)
	if err != nil {
		m.options.Log.Error("configuration is malformed, the last one stays in force",
			"revision", object.Revision, "era", object.Era, "error", err)
		return
	}
	if m.base != nil && config.Number <= m.base.Number {
		m.options.Log.Warn("configuration ignored: its version is not newer than the active one",
			"version", config.Number, "in_force", m.base.Number, "revision", object.Revision, "era", object.Era)
		return
	}
	if config.Keyless && (m.base == nil || !m.base.Keyless) {
		m.options.Log.Warn("configuration has no section of accounts: API keys are not checked, requests without one run",
			"version", config.Number, "revision", object.Revision, "era", object.Era)
	}
	m.base, m.spec, m.at = config, object.Spec, at
	m.options.Log.Info("configuration in force", "version", config.Number,
		"revision", object.Revision, "era", object.Era, "accounts", len(config.Accounts), "keyless", config.Keyless, "services", len(config.Pools))
	m.publish()
}

// Confirmed returns the latest time, by the mirror's clock, at which the active
// configuration was certainly the newest one; zero if that is not certain yet.
func (m *Mirror) Confirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mayHaveMissedReturn(m.options.Clock()) {
		return time.Time{}
	}
	return m.confirmed
}
