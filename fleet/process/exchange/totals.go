package exchange

import (
	"maps"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// tokens are what an account asked for and got.
type tokens struct{ asked, served uint64 }

func (t tokens) plus(more tokens) tokens {
	return tokens{asked: t.asked + more.asked, served: t.served + more.served}
}

// totals are the parts of a report that only grow.
type totals struct {
	read     map[version.UpstreamID]uint64
	accounts map[version.AccountID]tokens
}

func newTotals() totals {
	return totals{
		read:     make(map[version.UpstreamID]uint64),
		accounts: make(map[version.AccountID]tokens),
	}
}

// advance takes newer totals and adds what they grew by to sums. A total that is
// lower than before belongs to a process that started anew.
func (t *totals) advance(work wire.Work, sums ...*totals) {
	for _, entry := range work.Upstreams {
		grown := wire.Growth(t.read[entry.Upstream], entry.Read)
		t.read[entry.Upstream] = entry.Read
		for _, sum := range sums {
			sum.read[entry.Upstream] += grown
		}
	}
	for _, entry := range work.Accounts {
		before := t.accounts[entry.Account]
		t.accounts[entry.Account] = tokens{asked: entry.Asked, served: entry.Served}
		grown := tokens{asked: wire.Growth(before.asked, entry.Asked), served: wire.Growth(before.served, entry.Served)}
		for _, sum := range sums {
			sum.accounts[entry.Account] = sum.accounts[entry.Account].plus(grown)
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

// subtract takes away a part of what was added.
func (t *totals) subtract(part totals) {
	for id, n := range part.read {
		t.read[id] -= n
	}
	for id, n := range part.accounts {
		sum := t.accounts[id]
		sum.asked -= n.asked
		sum.served -= n.served
		t.accounts[id] = sum
	}
}

func (t *totals) clone() totals {
	return totals{read: maps.Clone(t.read), accounts: maps.Clone(t.accounts)}
}

// work returns the report of these totals with loads.
func (t *totals) work(loads map[version.UpstreamID]wire.UpstreamWork) wire.Work {
	var work wire.Work
	for id, read := range t.read {
		entry := loads[id]
		entry.Upstream, entry.Read = id, read
		work.Upstreams = append(work.Upstreams, entry)
	}
	for id, n := range t.accounts {
		work.Accounts = append(work.Accounts, wire.AccountWork{Account: id, Asked: n.asked, Served: n.served})
	}
	return work
}
