package ledger

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Owners names each shard's writer. An empty name stands for the daemon
// itself.
//
// The table only gathers claims into few writes: daemons whose tables differ
// stay safe, because each write is conditional.
type Owners [Shards]version.VMID

// NewOwners gives each shard to a data centre by rendezvous hashing and then
// to a VM in it. A data centre without a living member in view is passed over.
func NewOwners(dataCentres []version.DataCentreID, view membership.View) Owners {
	var owners Owners
	for shard := range owners {
		key := "ledger/" + strconv.Itoa(shard)
		for _, dataCentre := range ranked(dataCentres, key) {
			if vm, found := view.Owner(dataCentre, key); found {
				owners[shard] = vm
				break
			}
		}
	}
	return owners
}

// ranked orders the data centres by their rendezvous score for key.
func ranked(dataCentres []version.DataCentreID, key string) []version.DataCentreID {
	score := func(id version.DataCentreID) uint64 {
		return xxhash.Sum64String(key + "\x00" + string(id))
	}
	sorted := slices.Clone(dataCentres)
	slices.SortFunc(sorted, func(a, b version.DataCentreID) int {
		return cmp.Compare(score(b), score(a))
	})
	return sorted
}
