package service

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// minGatherTime is how long a new home of an account collects the counts of
	// its data centre, at least, before it reports to dispatchers.
	minGatherTime = 2 * time.Second
	// maxGatherTime is how long a new home waits for the former home's handover
	// or the sums of the other data centres before it reports without them.
	maxGatherTime = 10 * time.Second
	// foldAge is how long the counts of a VM's former incarnations are kept
	// apart after a new incarnation was first seen, so that late reports still
	// count.
	foldAge = time.Minute
)

// Home sums the service of some accounts over one data centre and keeps the
// sums of the other data centres. It is not safe for concurrent use.
//
// Invariant: an account's sum never decreases.
type Home struct {
	accounts map[version.AccountID]*homeAccount
	sequence uint64
}

// homeAccount is the state kept per account.
type homeAccount struct {
	createdAt time.Time
	tally     *Tally
	// handedOver is set once the former home has handed over its state.
	handedOver bool
	// unattributed is what a restored sum contains beyond the counts that
	// sources have reported.
	unattributed Count
	// published is the sum that was last published; it never decreases.
	published Count
	// sources holds the latest incarnation of each VM, with its backlog and
	// lift.
	sources map[version.VMID]homeSource
	// remotes holds the sums of the other data centres.
	remotes map[version.DataCentreID]remoteSum
}

// homeSource is the latest incarnation of a VM that reported an account. folded
// is set once the counts of the earlier incarnations are folded.
type homeSource struct {
	incarnation uint64
	backlogged  bool
	lift        float64
	firstSeen   time.Time
	folded      bool
}

// remoteSum is the sum of another data centre, and whether the account is
// backlogged there with which lift.
type remoteSum struct {
	sum        Count
	backlogged bool
	lift       float64
}

// NewHome returns a home without accounts.
func NewHome() *Home { return &Home{accounts: make(map[version.AccountID]*homeAccount)} }

// Report merges the count that a daemon of this data centre reported. The first
// count of a source is taken out of the restored sum that no source had
// reported.
func (h *Home) Report(now time.Time, source Source, record Record) {
	a := h.account(now, record.Account)
	if a.tally.CountOf(source) == (Count{}) {
		a.unattributed = a.unattributed.Minus(record.Count)
	}
	a.tally.Add(source, record.Count)
	latest, present := a.sources[source.VM]
	switch {
	case present && source.Incarnation < latest.incarnation:
		return
	case !present || source.Incarnation > latest.incarnation:
		latest = homeSource{incarnation: source.Incarnation, firstSeen: now}
	}
	latest.backlogged, latest.lift = record.Backlogged, record.Lift
	a.sources[source.VM] = latest
}

// MergeDataCentreSum merges the sum that another data centre reported of itself.
// If that sum is less than the one known here, MergeDataCentreSum returns the
// record that restores it, and true.
func (h *Home) MergeDataCentreSum(now time.Time, dataCentre version.DataCentreID, record Record) (Record, bool) {
	a := h.account(now, record.Account)
	previous := a.remotes[dataCentre].sum
	merged := previous.Merge(record.Count)
	a.remotes[dataCentre] = remoteSum{sum: merged, backlogged: record.Backlogged, lift: record.Lift}
	if merged == record.Count {
		return Record{}, false
	}
	return Record{Account: record.Account, Count: merged}, true
}

// Restore merges the last sum of this data centre that another one knew, after
// the home here lost its state. The excess over the counts reported so far is
// kept apart; a source that reports later takes its first count out of it.
func (h *Home) Restore(now time.Time, record Record) {
	a := h.account(now, record.Account)
	a.unattributed = a.unattributed.Merge(record.Count.Minus(a.tally.Sum()))
}

// Tick folds the counts of former incarnations that are old enough.
func (h *Home) Tick(now time.Time) {
	for _, a := range h.accounts {
		a.fold(now)
	}
}

// ClearLostBacklogs clears the backlog of accounts at VMs and in data centres that
// are not alive.
func (h *Home) ClearLostBacklogs(vmAlive func(version.VMID) bool, dataCentreAlive func(version.DataCentreID) bool) {
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

// Sum returns an account's sum over this data centre.
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

// Accounts returns the accounts of this home, in order.
func (h *Home) Accounts() []version.AccountID {
	ids := make([]version.AccountID, 0, len(h.accounts))
	for id := range h.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Handover is the state of an account that a home passes to its new home.
type Handover struct {
	Account version.AccountID
	Tally   *Tally
	// Remotes holds the sums of the other data centres.
	Remotes map[version.DataCentreID]Count
}

// Handover returns the state of an account for its new home.
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

// TakeOver merges the state that a former home handed over.
func (h *Home) TakeOver(now time.Time, handover Handover) {
	a := h.account(now, handover.Account)
	a.handedOver = true
	a.tally.Merge(handover.Tally)
	for dataCentre, sum := range handover.Remotes {
		remote := a.remotes[dataCentre]
		remote.sum = remote.sum.Merge(sum)
		a.remotes[dataCentre] = remote
	}
}

// Forget drops an account whose home is now another daemon.
func (h *Home) Forget(id version.AccountID) { delete(h.accounts, id) }

// account returns the state of an account and creates it if needed.
func (h *Home) account(now time.Time, id version.AccountID) *homeAccount {
	a, present := h.accounts[id]
	if !present {
		a = &homeAccount{
			createdAt: now,
			tally:     NewTally(),
			sources:   make(map[version.VMID]homeSource),
			remotes:   make(map[version.DataCentreID]remoteSum),
		}
		h.accounts[id] = a
	}
	return a
}

// publish returns the sum over the data centre, which is never less than the
// one returned before.
func (a *homeAccount) publish() Count {
	a.published = a.published.Merge(a.tally.Sum().Plus(a.unattributed))
	return a.published
}

// fold adds the counts of former incarnations to the base counts of their VMs,
// foldAge after the present incarnation was first seen.
func (a *homeAccount) fold(now time.Time) {
	for vm, source := range a.sources {
		if !source.folded && now.Sub(source.firstSeen) >= foldAge {
			source.folded = true
			a.sources[vm] = source
			a.tally.Fold(vm, source.incarnation)
		}
	}
}

// mayReport reports whether the home has gathered enough of an account's counts
// to report to dispatchers.
func (a *homeAccount) mayReport(now time.Time, others []version.DataCentreID) bool {
	age := now.Sub(a.createdAt)
	return age >= maxGatherTime || (age >= minGatherTime && a.remotesKnown(others))
}

// remotesKnown reports whether the sums of the other data centres are known, by
// a handover or from each of them. A data centre that has counted nothing for
// the account sends no sum, and then only maxGatherTime ends the wait.
func (a *homeAccount) remotesKnown(others []version.DataCentreID) bool {
	if a.handedOver {
		return true
	}
	for _, other := range others {
		if _, present := a.remotes[other]; !present {
			return false
		}
	}
	return true
}

// localLift returns the largest lift of the account at the VMs of this data
// centre other than one, in weighted cost units.
func (a *homeAccount) localLift(except version.VMID) float64 {
	largest := 0.0
	for vm, source := range a.sources {
		if vm != except && source.backlogged {
			largest = max(largest, source.lift)
		}
	}
	return largest
}

// liftElsewhere returns the largest lift of the account in the whole fleet
// except at one VM of this data centre, in weighted cost units.
func (a *homeAccount) liftElsewhere(vm version.VMID) float64 {
	largest := a.localLift(vm)
	for _, remote := range a.remotes {
		if remote.backlogged {
			largest = max(largest, remote.lift)
		}
	}
	return largest
}

// backloggedElsewhere reports whether the account is backlogged anywhere except
// at one VM of this data centre.
func (a *homeAccount) backloggedElsewhere(vm version.VMID) bool {
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

// backloggedLocally reports whether the account is backlogged in this data
// centre.
func (a *homeAccount) backloggedLocally() bool {
	for _, source := range a.sources {
		if source.backlogged {
			return true
		}
	}
	return false
}

// sortedVMs returns the VMs of the sources, in order.
func sortedVMs(sources map[version.VMID]homeSource) []version.VMID {
	vms := make([]version.VMID, 0, len(sources))
	for vm := range sources {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}
