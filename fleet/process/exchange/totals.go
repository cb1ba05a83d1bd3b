package exchange

import (
	"maps"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// tokens are the token totals of an account: requested (asked) and served.
type tokens struct{ asked, served uint64 }

func (t tokens) plus(more tokens) tokens {
	return tokens{asked: t.asked + more.asked, served: t.served + more.served}
}

// totals holds the fields of reports that only grow while the sender runs.
type totals struct {
	// read is the number of prompt tokens sent to each upstream that its prefix cache
	// did not hold.
	read     map[version.UpstreamID]uint64
	accounts map[version.AccountID]tokens
}

func newTotals() totals {
	return totals{
		read:     make(map[version.UpstreamID]uint64),
		accounts: make(map[version.AccountID]tokens),
	}
}

// advance records newer totals and adds their growth to sums. A total that is lower
// than the previous one comes from a restarted process and counts from 0.
func (t *totals) advance(work wire.LoadReport, sums ...*totals) {
	for _, entry := range work.Upstreams {
		growth := wire.CounterIncrease(t.read[entry.Upstream], entry.UncachedPromptTokens)
		t.read[entry.Upstream] = entry.UncachedPromptTokens
		for _, sum := range sums {
			sum.read[entry.Upstream] += growth
		}
	}
	for _, entry := range work.Accounts {
		previous := t.accounts[entry.Account]
		t.accounts[entry.Account] = tokens{asked: entry.RequestedTokens, served: entry.ServedTokens}
		growth := tokens{asked: wire.CounterIncrease(previous.asked, entry.RequestedTokens), served: wire.CounterIncrease(previous.served, entry.ServedTokens)}
		for _, sum := range sums {
			sum.accounts[entry.Account] = sum.accounts[entry.Account].plus(growth)
		}
	}
}

func (t *totals) add(other totals) {
	for id, n := range other.read {
		t.read[id] += n
	}
	for id, n := range other.accounts {
		t.accounts[id] = t.accounts[id].plus(n)
	}
}

// subtract removes totals that were added before.
func (t *totals) subtract(other totals) {
	for id, n := range other.read {
		t.read[id] -= n
	}
	for id, n := range other.accounts {
		sum := t.accounts[id]
		sum.asked -= n.asked
		sum.served -= n.served
		t.accounts[id] = sum
	}
}

func (t *totals) clone() totals {
	return totals{read: maps.Clone(t.read), accounts: maps.Clone(t.accounts)}
}

// work returns a report with these totals and the current loads of upstreams.
func (t *totals) work(loads map[version.UpstreamID]wire.UpstreamLoad) wire.LoadReport {
	var work wire.LoadReport
	for id, read := range t.read {
		entry := loads[id]
		entry.Upstream, entry.UncachedPromptTokens = id, read
		work.Upstreams = append(work.Upstreams, entry)
	}
	for id, n := range t.accounts {
		work.Accounts = append(work.Accounts, wire.AccountUsage{Account: id, RequestedTokens: n.asked, ServedTokens: n.served})
	}
	return work
}
