// Package placing lets the goroutines of a daemon share one placement.Placer and
// its exchange with other daemons.
package placing

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Manager owns a placer. It is safe for concurrent use.
type Manager struct {
	lag    func() time.Duration
	log    *slog.Logger
	config atomic.Pointer[version.Config]
	nextID atomic.Uint64

	mu       sync.Mutex
	placer   *placement.Placer
	exchange *exchange.Exchange
}

// New returns a manager of a placer and an exchange that nobody else uses.
// lag tells how late the process is with its own work.
func New(placer *placement.Placer, exchange *exchange.Exchange, lag func() time.Duration, log *slog.Logger) *Manager {
	return &Manager{placer: placer, exchange: exchange, lag: lag, log: log}
}

// SetMembers takes the processes of the fleet and returns those to keep links
// with.
func (m *Manager) SetMembers(members []exchange.Member) []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]version.VMID, 0, len(members))
	for _, member := range members {
		names = append(names, member.VM)
	}
	m.placer.SetMembers(time.Now(), names)
	m.exchange.SetMembers(members)
	return m.exchange.Peers()
}

// Leave gives up what this process has of bounds that are shared with others.
func (m *Manager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Leave()
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
	defer m.logNotices("")
	return m.placer.Place(time.Now(), ticket)
}

// Advised takes what an upstream said of itself in its answer to a request, which the
// caller identified so.
func (m *Manager) Advised(at version.UpstreamID, requestID string, advice request.Advice) {
	if advice.Odd != "" {
		m.log.Warn("upstream's advice is odd", "upstream", m.name(at), "request", requestID,
			"value", advice.Odd, "pause_ms", advice.Pause.Milliseconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Advise(time.Now(), at, advice)
	m.logNotices(requestID)
}

// Declines reports whether an upstream has said that it wants nothing now.
func (m *Manager) Declines(id version.UpstreamID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.Declines(time.Now(), id)
}

// logNotices logs what changed by a request; its identifier is empty if it is not known.
// It is called with mu held: the log does not block.
func (m *Manager) logNotices(requestID string) {
	for _, n := range m.placer.Notices() {
		if n.Leaving || n.Pause > 0 {
			m.log.Info("upstream is left alone", "upstream", m.name(n.Upstream), "request", requestID,
				"source", "its answer", "leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds())
			continue
		}
		m.log.Info("upstream is used again", "upstream", m.name(n.Upstream),
			"source", "its pause is over", "age_ms", n.Age.Milliseconds())
	}
}

// name returns an upstream's name for the log; empty if it is not registered any more.
func (m *Manager) name(id version.UpstreamID) string {
	if config := m.Config(); config != nil && config.Upstreams[id] != nil {
		return config.Upstreams[id].Name
	}
	return ""
}

// Begun notes that an answer has begun, with the load that it told or nil.
func (m *Manager) Begun(grant request.Grant, load *request.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Begun(time.Now(), grant.ID, grant.Upstream, load, m.lag())
}

// Readers returns the processes that read the platform's store for this one.
func (m *Manager) Readers() []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exchange.Readers()
}

// Lenders returns the processes that may tell this one what they read of the
// platform's store.
func (m *Manager) Lenders() []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exchange.Lenders()
}

// Outbox returns what other processes are to be told.
func (m *Manager) Outbox() []exchange.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.exchange.Outbox(now, m.placer.Report())
}

// Hear takes what another VM said of its work.
func (m *Manager) Hear(from version.VMID, work wire.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.placer.Hear(now, from, work, m.exchange.Hear(now, from, work))
}

// Upstreams returns how many upstreams something is kept of.
func (m *Manager) Upstreams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.Upstreams()
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
