package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// reportTotals are the totals in the last report of another VM, from which the growth of the
// next one is computed.
type reportTotals struct {
	prefill    map[version.UpstreamID]uint64
	accounts   map[version.AccountID]wire.AccountUsage
	receivedAt time.Time
}

// peerLoad is the load of another VM's requests on one upstream.
type peerLoad struct {
	running        int
	pendingPrefill int
	kvTokens       int
	receivedAt     time.Time
	// observedAt is the time that the load describes; in a sum the mean by running requests.
	observedAt time.Time
}

// Report returns the load report of this VM for the other VMs.
func (p *Placer) Report() wire.LoadReport {
	var report wire.LoadReport
	for _, pool := range p.upstreamsByPool {
		for _, u := range pool {
			if u.prefillTotal == 0 && len(u.inFlight) == 0 {
				continue
			}
			report.Upstreams = append(report.Upstreams, wire.UpstreamLoad{
				Upstream:             u.ID,
				Running:              uint32(len(u.inFlight)),
				PendingPromptTokens:  uint32(u.pendingPrefill),
				UncachedPromptTokens: u.prefillTotal,
				KVTokens:             uint32(u.kvTokens),
			})
		}
	}
	for id, usage := range p.usage.byAccount {
		if usage.requestedHere == 0 {
			continue
		}
		report.Accounts = append(report.Accounts, wire.AccountUsage{
			Account:         id,
			RequestedTokens: uint64(usage.requestedHere),
			ServedTokens:    uint64(usage.grantedHere),
		})
	}
	return report
}

// ReceiveReport processes the load report of another VM. If apply is false, the report only
// serves as the baseline for the growth of later reports.
func (p *Placer) ReceiveReport(now time.Time, from version.VMID, report wire.LoadReport, apply bool) {
	totals, applyGrowth := p.peerTotals[from], apply
	if totals == nil {
		totals = &reportTotals{
			prefill:  make(map[version.UpstreamID]uint64, len(report.Upstreams)),
			accounts: make(map[version.AccountID]wire.AccountUsage, len(report.Accounts)),
		}
		p.peerTotals[from], applyGrowth = totals, false
	}
	age := time.Duration(report.AgeMS) * time.Millisecond
	if applyGrowth {
		p.usage.recordReportLag(age + now.Sub(totals.receivedAt))
	}
	totals.receivedAt = now
	for _, entry := range report.Upstreams {
		growth := wire.CounterIncrease(totals.prefill[entry.Upstream], entry.UncachedPromptTokens)
		totals.prefill[entry.Upstream] = entry.UncachedPromptTokens
		u := p.upstreams[entry.Upstream]
		if u == nil || !apply {
			continue
		}
		u.setPeerLoad(from, peerLoad{
			running: int(entry.Running), pendingPrefill: int(entry.PendingPromptTokens), kvTokens: int(entry.KVTokens), receivedAt: now,
			observedAt: now.Add(-age),
		})
		if applyGrowth && u.pool.Engine != nil {
			p.queuePrefill(now, u, growth)
			u.peerPrefill.add(now, float64(growth), age)
			p.displacedOf(u.Pool).peerPrefill.add(now, float64(growth), age)
		}
	}
	for _, entry := range report.Accounts {
		previous := totals.accounts[entry.Account]
		totals.accounts[entry.Account] = entry
		if applyGrowth {
			p.usage.add(now, entry.Account,
				float64(wire.CounterIncrease(previous.RequestedTokens, entry.RequestedTokens)), float64(wire.CounterIncrease(previous.ServedTokens, entry.ServedTokens)))
		}
	}
}

// Forget drops the reports of a VM after its link was lost.
func (p *Placer) Forget(vm version.VMID) {
	delete(p.peerTotals, vm)
	for _, u := range p.upstreams {
		delete(u.peerLoads, vm)
		u.peerLoadSumUntil = time.Time{}
	}
}

// queuePrefill adds prompt tokens to the backlog of an engine.
func (p *Placer) queuePrefill(now time.Time, u *upstream, tokens uint64) {
	prefillTime := float64(tokens) / p.prefillRate(u.pool) * float64(time.Second) * u.slownessAt(now)
	u.prefillDoneAt = later(u.prefillDoneAt, now).Add(time.Duration(prefillTime))
}
