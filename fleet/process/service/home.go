package service

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// gatherTime is how long a new home of an account waits at least for what
	// its data centre counted before it tells dispatchers.
	gatherTime = 2 * time.Second
	// wordDelay is how long it waits for what it was not handed over, or told
	// by the other data centres.
	wordDelay = 10 * time.Second
	// foldAge is how long the counts of a VM's former incarnation are kept
	// apart after a new one is known.
	foldAge = time.Minute
)

// Home sums what some accounts were served in one data centre, and knows the
// sums of the others. It is not safe for concurrent use.
//
// Invariant: an account's sum never falls.
type Home struct {
	accounts map[version.AccountID]*homed
	sequence uint64
}

// homed is what is kept per account.
type homed struct {
	since time.Time
	tally *Tally
	// handed is set once the former home has handed over what it knew.
	handed bool
	// gone is the part of a restored sum that no source has reported.
	gone Count
	// sum is what was last published; it only grows.
	sum Count
	// sources holds the latest incarnation of each VM and whether the account
	// is backlogged there.
	sources map[version.VMID]homedSource
	// remotes holds the other data centres.
	remotes map[version.DataCentreID]homedRemote
}

type homedSource struct {
	incarnation uint64
	backlogged  bool
	lift        float64
	since       time.Time
	folded      bool
}

type homedRemote struct {
	sum        Count
	backlogged bool
	lift       float64
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
	known, present := a.sources[source.VM]
	switch {
	case present && source.Incarnation < known.incarnation:
		return
	case !present || source.Incarnation > known.incarnation:
		known = homedSource{incarnation: source.Incarnation, since: now}
	}
	known.backlogged, known.lift = record.Backlogged, record.Lift
	a.sources[source.VM] = known
}

// Exchange merges the sum of another data centre. If that data centre says less
// than is known of it, Exchange returns the record that restores it.
func (h *Home) Exchange(now time.Time, dataCentre version.DataCentreID, record Record) (Record, bool) {
	a := h.account(now, record.Account)
	known := a.remotes[dataCentre].sum
	merged := known.Merge(record.Count)
	a.remotes[dataCentre] = homedRemote{sum: merged, backlogged: record.Backlogged, lift: record.Lift}
	if merged == record.Count {
		return Record{}, false
	}
	return Record{Account: record.Account, Count: merged}, true
}

// Restore merges the last sum of this data centre that another one knew. What
// no source has reported is kept apart; a source that reports late takes its
// first count out of it.
func (h *Home) Restore(now time.Time, record Record) {
	a := h.account(now, record.Account)
	a.gone = a.gone.Merge(record.Count.Minus(a.tally.Sum()))
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

// Handover is what a home knows of an account, for its new home.
type Handover struct {
	Account version.AccountID
	Tally   *Tally
	// Remotes holds the sums of the other data centres.
	Remotes map[version.DataCentreID]Count
}

// Handover returns what is known of an account.
func (h *Home) Handover(id version.AccountID) Handover {
	handover := Handover{Account: id, Tally: NewTally(), Remotes: make(map[version.DataCentreID]Count)}
	a, present := h.accounts[id]
	if !present {
		return handover
	}
	handover.Tally = a.tally
	for dataCentre, remote := range a.remotes {
		handover.Remotes[dataCentre] = remote.sum
	}
	return handover
}

// TakeOver merges what a former home knew.
func (h *Home) TakeOver(now time.Time, handover Handover) {
	a := h.account(now, handover.Account)
	a.handed = true
	a.tally.Merge(handover.Tally)
	for dataCentre, sum := range handover.Remotes {
		remote := a.remotes[dataCentre]
		remote.sum = remote.sum.Merge(sum)
		a.remotes[dataCentre] = remote
	}
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

// speaks reports whether the home knows enough of an account to tell it to
// dispatchers.
func (a *homed) speaks(now time.Time, others []version.DataCentreID) bool {
	age := now.Sub(a.since)
	return age >= wordDelay || (age >= gatherTime && a.told(others))
}

// told reports whether the sums of other data centres are known, as far as they
// counted anything.
func (a *homed) told(others []version.DataCentreID) bool {
	if a.handed {
		return true
	}
	for _, other := range others {
		if _, heard := a.remotes[other]; !heard {
			return false
		}
	}
	return true
}

// liftHere returns the largest lift in this data centre but at one VM.
func (a *homed) liftHere(but version.VMID) float64 {
	largest := 0.0
	for vm, source := range a.sources {
		if vm != but && source.backlogged {
			largest = max(largest, source.lift)
		}
	}
	return largest
}

// liftBeyond returns the largest lift elsewhere than at one VM.
func (a *homed) liftBeyond(vm version.VMID) float64 {
	largest := a.liftHere(vm)
	for _, remote := range a.remotes {
		if remote.backlogged {
			largest = max(largest, remote.lift)
		}
	}
	return largest
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
