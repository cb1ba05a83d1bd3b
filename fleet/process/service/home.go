package service

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// wordDelay is how long a new home of an account gathers counts before it
	// tells them to dispatchers.
	wordDelay = 2 * time.Second
	// foldAge is how long the counts of a VM's former incarnation are kept
	// apart after a new one is known.
	foldAge = time.Minute
)

// Home sums what some accounts were served in one data centre, and knows the
// sums of the others. It is not safe for concurrent use.
//
// Invariant: an account's sum and lift never fall.
type Home struct {
	accounts map[version.AccountID]*homed
	sequence uint64
}

// homed is what is kept per account.
type homed struct {
	since time.Time
	tally *Tally
	// gone is the part of a restored sum that no source has reported.
	gone Count
	// sum is what was last published; it only grows.
	sum  Count
	lift float64
	// sources holds the latest incarnation of each VM and whether the account
	// is backlogged there.
	sources map[version.VMID]homedSource
	// remotes holds the other data centres.
	remotes map[version.DataCentreID]homedRemote
}

type homedSource struct {
	incarnation uint64
	backlogged  bool
	since       time.Time
	folded      bool
}

type homedRemote struct {
	sum        Count
	backlogged bool
}

// NewHome returns a home of no account.
func NewHome() *Home { return &Home{accounts: make(map[version.AccountID]*homed)} }

// Report merges what a daemon of this data centre counted.
func (h *Home) Report(now time.Time, source Source, record Record) {
	a := h.account(now, record.Account)
	if a.tally.Of(source) == (Count{}) {
		a.gone = a.gone.Minus(record.Count)
	}
	a.tally.Add(source, record.Count)
	a.lift = max(a.lift, record.Lift)
	known, present := a.sources[source.VM]
	switch {
	case present && source.Incarnation < known.incarnation:
		return
	case !present || source.Incarnation > known.incarnation:
		known = homedSource{incarnation: source.Incarnation, since: now}
	}
	known.backlogged = record.Backlogged
	a.sources[source.VM] = known
}

// Exchange merges the sum of another data centre. If that data centre says less
// than is known of it, Exchange returns the record that restores it.
func (h *Home) Exchange(now time.Time, dataCentre version.DataCentreID, record Record) (Record, bool) {
	a := h.account(now, record.Account)
	a.lift = max(a.lift, record.Lift)
	known := a.remotes[dataCentre].sum
	merged := known.Merge(record.Count)
	a.remotes[dataCentre] = homedRemote{sum: merged, backlogged: record.Backlogged}
	if merged == record.Count {
		return Record{}, false
	}
	return Record{Account: record.Account, Count: merged, Lift: a.lift}, true
}

// Restore merges the last sum of this data centre that another one knew. What
// no source has reported is kept apart; a source that reports late takes its
// first count out of it.
func (h *Home) Restore(now time.Time, record Record) {
	a := h.account(now, record.Account)
	a.gone = a.gone.Merge(record.Count.Minus(a.tally.Sum()))
	a.lift = max(a.lift, record.Lift)
}

// Tick folds the counts of former incarnations.
func (h *Home) Tick(now time.Time) {
	for _, a := range h.accounts {
		a.fold(now)
	}
}

// Lapse forgets that accounts are backlogged at daemons or in data centres
// that are not alive.
func (h *Home) Lapse(vmAlive func(version.VMID) bool, dataCentreAlive func(version.DataCentreID) bool) {
	for _, a := range h.accounts {
		for vm, source := range a.sources {
			if !vmAlive(vm) {
				source.backlogged = false
				a.sources[vm] = source
			}
		}
		for id, remote := range a.remotes {
			if !dataCentreAlive(id) {
				remote.backlogged = false
				a.remotes[id] = remote
			}
		}
	}
}

// Sum returns an account's sum over the data centre.
func (h *Home) Sum(id version.AccountID) Count {
	if a, present := h.accounts[id]; present {
		return a.publish()
	}
	return Count{}
}

// Total returns an account's sum over all data centres.
func (h *Home) Total(id version.AccountID) Count {
	a, present := h.accounts[id]
	if !present {
		return Count{}
	}
	total := a.publish()
	for _, remote := range a.remotes {
		total = total.Plus(remote.sum)
	}
	return total
}

// Accounts returns the accounts that this home knows, in order.
func (h *Home) Accounts() []version.AccountID {
	ids := make([]version.AccountID, 0, len(h.accounts))
	for id := range h.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Handover returns the tally and lift of an account for its new home.
func (h *Home) Handover(id version.AccountID) (*Tally, float64) {
	a, present := h.accounts[id]
	if !present {
		return NewTally(), 0
	}
	return a.tally, a.lift
}

// TakeOver merges what a former home knew.
func (h *Home) TakeOver(now time.Time, id version.AccountID, tally *Tally, lift float64) {
	a := h.account(now, id)
	a.tally.Merge(tally)
	a.lift = max(a.lift, lift)
}

// Forget drops an account whose home is elsewhere now.
func (h *Home) Forget(id version.AccountID) { delete(h.accounts, id) }

func (h *Home) account(now time.Time, id version.AccountID) *homed {
	a, present := h.accounts[id]
	if !present {
		a = &homed{
			since:   now,
			tally:   NewTally(),
			sources: make(map[version.VMID]homedSource),
			remotes: make(map[version.DataCentreID]homedRemote),
		}
		h.accounts[id] = a
	}
	return a
}

// publish returns the sum over the data centre, never less than before.
func (a *homed) publish() Count {
	a.sum = a.sum.Merge(a.tally.Sum().Plus(a.gone))
	return a.sum
}

func (a *homed) fold(now time.Time) {
	for vm, source := range a.sources {
		if !source.folded && now.Sub(source.since) >= foldAge {
			source.folded = true
			a.sources[vm] = source
			a.tally.Fold(vm, source.incarnation)
		}
	}
}

// backloggedBeyond reports whether the account waits elsewhere than at a
// daemon of this data centre.
func (a *homed) backloggedBeyond(vm version.VMID) bool {
	for other, source := range a.sources {
		if other != vm && source.backlogged {
			return true
		}
	}
	for _, remote := range a.remotes {
		if remote.backlogged {
			return true
		}
	}
	return false
}

// backloggedHere reports whether the account waits in this data centre.
func (a *homed) backloggedHere() bool {
	for _, source := range a.sources {
		if source.backlogged {
			return true
		}
	}
	return false
}

func sortedSources(sources map[version.VMID]homedSource) []version.VMID {
	vms := make([]version.VMID, 0, len(sources))
	for vm := range sources {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}
