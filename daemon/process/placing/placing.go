// Package placing lets the goroutines of a process share one placement.Placer and its
// exchange of load reports with other processes.
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

// Placer guards a placer and an exchange with one mutex. It is safe for concurrent use.
type Placer struct {
	// lag returns the scheduling lag of the process.
	lag    func() time.Duration
	log    *slog.Logger
	config atomic.Pointer[version.Config]
	nextID atomic.Uint64

	mu       sync.Mutex
	placer   *placement.Placer
	exchange *exchange.Reporter
}

// New returns a manager that owns placer and exchange: no other code may use them. lag
// returns the scheduling lag of the process.
func New(placer *placement.Placer, exchange *exchange.Reporter, lag func() time.Duration, log *slog.Logger) *Placer {
	return &Placer{placer: placer, exchange: exchange, lag: lag, log: log}
}

// SetMembers sets the processes of the fleet and returns the VMs to keep links with.
func (m *Placer) SetMembers(members []exchange.Member) []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]version.VMID, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	m.placer.SetMembers(time.Now(), vms)
	m.exchange.SetMembers(members)
	return m.exchange.Peers()
}

// Leave gives up this process's fraction of the limits of cold upstreams, which the other
// processes take over once they know that it has left.
func (m *Placer) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Leave()
}

// Configure applies a configuration with its upstreams.
func (m *Placer) Configure(config *version.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Configure(time.Now(), config)
	m.config.Store(config)
}

// Config returns the active configuration, or nil before the first one.
func (m *Placer) Config() *version.Config { return m.config.Load() }

// NewID returns a request ID that this process has not used before.
func (m *Placer) NewID() request.ID { return request.ID(m.nextID.Add(1)) }

// Acquire grants an upstream for the ticket or refuses it, without waiting.
func (m *Placer) Acquire(_ context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.logNotices("")
	return m.placer.Place(time.Now(), ticket)
}

// RecordAdvice records the advice (drain or pause) in an upstream's answer. requestID is the
// identifier that the caller gave to the request, for the log.
func (m *Placer) RecordAdvice(upstream version.UpstreamID, requestID string, advice request.Advice) {
	if advice.Invalid != "" {
		m.log.Warn("upstream's advice is odd", "upstream", m.name(upstream), "request", requestID,
			"value", advice.Invalid, "pause_ms", advice.Pause.Milliseconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.RecordAdvice(time.Now(), upstream, advice)
	m.logNotices(requestID)
}

// UpstreamDeclines reports whether the advice of an upstream keeps requests away from it now.
func (m *Placer) UpstreamDeclines(id version.UpstreamID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.UpstreamDeclines(time.Now(), id)
}

// logNotices logs which upstreams are avoided or used again since the last call. requestID
// identifies the request whose answer caused it; empty if there is none.
// mu must be held, which is safe since the log does not block.
func (m *Placer) logNotices(requestID string) {
	for _, notice := range m.placer.Notices() {
		if notice.Leaving || notice.Pause > 0 {
			m.log.Info("upstream is left alone", "upstream", m.name(notice.Upstream), "request", requestID,
				"source", "its answer", "leaving", notice.Leaving, "pause_ms", notice.Pause.Milliseconds())
			continue
		}
		m.log.Info("upstream is used again", "upstream", m.name(notice.Upstream),
			"source", "its pause is over", "age_ms", notice.Age.Milliseconds())
	}
}

// name returns the name of an upstream; empty if it is no longer registered.
func (m *Placer) name(id version.UpstreamID) string {
	if config := m.Config(); config != nil && config.Upstreams[id] != nil {
		return config.Upstreams[id].Name
	}
	return ""
}

// RecordFirstByte records the first byte of an answer, with the load that the upstream reported in
// it, or nil if it reported none.
func (m *Placer) RecordFirstByte(grant request.Grant, load *request.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.RecordFirstByte(time.Now(), grant.ID, grant.Upstream, load, m.lag())
}

// Readers returns the VMs that read the platform's store on behalf of this one, the
// preferred one first.
func (m *Placer) Readers() []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exchange.StoreReaders()
}

// Lenders returns the VMs that read the platform's store for themselves and may pass what
// they read on to this one.
func (m *Placer) Lenders() []version.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exchange.StoreSources()
}

// Outbox returns the load reports to send to other VMs.
func (m *Placer) Outbox() []exchange.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.exchange.Outbox(now, m.placer.Report())
}

// ReceiveReport records a load report of another VM.
func (m *Placer) ReceiveReport(from version.VMID, work wire.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.placer.ReceiveReport(now, from, work, m.exchange.Receive(now, from, work))
}

// UpstreamCount returns the number of upstreams that the placer keeps state of.
func (m *Placer) UpstreamCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placer.UpstreamCount()
}

// ForgetReports drops the load reports of a VM.
func (m *Placer) ForgetReports(from version.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Forget(from)
}

// Charge implements relay.Accounting. It does nothing: service is charged when a request
// is granted.
func (m *Placer) Charge(request.ID, version.AccountID, request.Cost) {}

// End implements relay.Accounting: it records the outcome of an attempt.
func (m *Placer) End(finish request.Finish) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.RecordOutcome(time.Now(), finish)
}
