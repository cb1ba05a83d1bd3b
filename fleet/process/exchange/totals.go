package exchange

import (
	"maps"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// tokens are the totals of tokens that an account requested and was served.
type tokens struct{ requested, served uint64 }

func (t tokens) plus(more tokens) tokens {
	return tokens{requested: t.requested + more.requested, served: t.served + more.served}
}

// totals holds the fields of reports that only grow while the sender runs.
type totals struct {
	// uncached is the number of prompt tokens sent to each upstream that its prefix
	// cache did not hold.
	uncached map[version.UpstreamID]uint64
	accounts map[version.AccountID]tokens
}

func newTotals() totals {
	return totals{
		uncached: make(map[version.UpstreamID]uint64),
		accounts: make(map[version.AccountID]tokens),
	}
}

// advance records newer totals and adds their growth to sums. A total that is lower
// than the previous one comes from a restarted process and counts from 0.
func (t *totals) advance(report wire.LoadReport, sums ...*totals) {
	for _, entry := range report.Upstreams {
		growth := wire.CounterIncrease(t.uncached[entry.Upstream], entry.UncachedPromptTokens)
		t.uncached[entry.Upstream] = entry.UncachedPromptTokens
		for _, sum := range sums {
			sum.uncached[entry.Upstream] += growth
		}
	}
	for _, entry := range report.Accounts {
		previous := t.accounts[entry.Account]
		t.accounts[entry.Account] = tokens{requested: entry.RequestedTokens, served: entry.ServedTokens}
		growth := tokens{requested: wire.CounterIncrease(previous.requested, entry.RequestedTokens), served: wire.CounterIncrease(previous.served, entry.ServedTokens)}
		for _, sum := range sums {
			sum.accounts[entry.Account] = sum.accounts[entry.Account].plus(growth)
		}
	}
}

func (t *totals) add(other totals) {
	for id, n := range other.uncached {
		t.uncached[id] += n
	}
	for id, n := range other.accounts {
		t.accounts[id] = t.accounts[id].plus(n)
	}
}

// subtract removes totals that were added before.
func (t *totals) subtract(other totals) {
	for id, n := range other.uncached {
		t.uncached[id] -= n
	}
	for id, n := range other.accounts {
		sum := t.accounts[id]
		sum.requested -= n.requested
		sum.served -= n.served
		t.accounts[id] = sum
	}
}

func (t *totals) clone() totals {
	return totals{uncached: maps.Clone(t.uncached), accounts: maps.Clone(t.accounts)}
}

// report returns a report with these totals and the current loads of upstreams.
func (t *totals) report(loads map[version.UpstreamID]wire.UpstreamLoad) wire.LoadReport {
	var report wire.LoadReport
	for id, uncached := range t.uncached {
		entry := loads[id]
		entry.Upstream, entry.UncachedPromptTokens = id, uncached
		report.Upstreams = append(report.Upstreams, entry)
	}
	for id, n := range t.accounts {
		report.Accounts = append(report.Accounts, wire.AccountUsage{Account: id, RequestedTokens: n.requested, ServedTokens: n.served})
	}
	return report
}
