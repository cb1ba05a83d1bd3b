// Package placing lets the goroutines of a daemon share one placement.Placer.
package placing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Manager owns a placer. It is safe for concurrent use.
type Manager struct {
	config atomic.Pointer[version.Config]
	nextID atomic.Uint64

	mu     sync.Mutex
	placer *placement.Placer
}

// New returns a manager of a placer that nobody else uses.
func New(placer *placement.Placer) *Manager { return &Manager{placer: placer} }

// SetMembers sets how many processes the fleet has.
func (m *Manager) SetMembers(members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.SetMembers(members)
}

// Configure takes a configuration with its upstreams.
func (m *Manager) Configure(config *version.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Configure(time.Now(), config)
	m.config.Store(config)
}

// Config returns the configuration in force, or nil.
func (m *Manager) Config() *version.Config { return m.config.Load() }

// NewID returns an unused request ID.
func (m *Manager) NewID() request.ID { return request.ID(m.nextID.Add(1)) }

// Acquire grants an upstream for the ticket or refuses it, at once.
func (m *Manager) Acquire(_ context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.Place(time.Now(), ticket)
}

// Begun notes that an answer has begun, with the load that it told or nil.
func (m *Manager) Begun(grant request.Grant, load *request.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Begun(time.Now(), grant.ID, grant.Upstream, load)
}

// Report returns what the other VMs are to know of this one's work.
func (m *Manager) Report() wire.Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.Report(time.Now())
}

// Hear takes what another VM said of its work.
func (m *Manager) Hear(from version.VMID, work wire.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Hear(time.Now(), from, work)
}

// Forget drops what a VM said.
func (m *Manager) Forget(from version.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Forget(from)
}

// Charge implements relay.Accounting: service is charged when it is granted.
func (m *Manager) Charge(request.ID, version.AccountID, request.Cost) {}

// End implements relay.Accounting.
func (m *Manager) End(finish request.Finish) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.End(time.Now(), finish)
}
