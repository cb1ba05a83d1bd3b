package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Stats is a picture of one daemon at one moment. It shares no memory with the
// node that made it.
type Stats struct {
	// At is when the picture was taken, by the local clock.
	At          time.Time
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	// Version is the configuration version in force; 0 is none.
	Version version.Number
	Entry   EntryStats
	// Pools lists the pools dispatched here, by ID.
	Pools []PoolStats
	// Service lists what this daemon's dispatchers counted for each account.
	Service []ServiceStats
	// Members lists the VMs of the own data centre, by name.
	Members []membership.Member
	// CrossRegionBytes counts request bodies and estimated answers that
	// crossed a region's border for requests held here.
	CrossRegionBytes uint64
	// Sent and Received count messages from and to other daemons.
	Sent     uint64
	Received uint64
}

// EntryStats describes the requests that callers gave to this daemon.
type EntryStats struct {
	// Waiting and Running count requests.
	Waiting int
	Running int
}

// ServiceStats describes the service of one account.
type ServiceStats struct {
	Account version.AccountID
	// Level is the account's service over the whole fleet divided by its
	// weight, as known here, in cost units.
	Level float64
	// Counted is the part of it that was granted here.
	Counted float64
}

// PoolStats describes one dispatcher.
type PoolStats struct {
	Pool version.PoolID
	// Entries counts the registered daemons.
	Entries int
	// Waiting counts queued tickets, of which Offered are on offer to other
	// data centres.
	Waiting   int
	Offered   int
	Accounts  []AccountStats
	Upstreams []UpstreamStats
	// Granted, HandedBack, Spilled and Refused count since the dispatcher
	// started.
	Granted    uint64
	HandedBack uint64
	Spilled    uint64
	Refused    uint64
}

// AccountStats describes an account's tickets in one dispatcher.
type AccountStats struct {
	Account version.AccountID
	Waiting int
	// Oldest is how long the oldest of them has waited.
	Oldest time.Duration
}

// UpstreamStats describes an upstream's slots as one dispatcher sees them.
type UpstreamStats struct {
	Upstream version.UpstreamID
	// Used counts the slots that are held or reported as busy.
	Used int
	// Limit is the number of slots earned, of which Usable may be used by
	// this dispatcher.
	Limit  int
	Usable int
	Cold   bool
	// Ejected is set while the upstream gets no work because it refused.
	Ejected bool
}

// Stats returns a picture of the node. It must be called by the goroutine that
// steps the node.
func (n *Node) Stats(now time.Time) Stats {
	stats := Stats{
		At:               now,
		VM:               n.options.VM,
		DataCentre:       n.options.DataCentre,
		Incarnation:      n.options.Incarnation,
		CrossRegionBytes: n.crossRegionBytes,
		Sent:             n.sent,
		Received:         n.received,
	}
	if n.config != nil {
		stats.Version = n.config.Number
	}
	stats.Entry.Waiting, stats.Entry.Running = n.entry.Count()
	for _, pool := range n.ownedPools() {
		stats.Pools = append(stats.Pools, n.poolStats(now, pool))
	}
	stats.Service = n.serviceStats()
	for _, member := range n.view.Members {
		if member.DataCentre == n.options.DataCentre {
			stats.Members = append(stats.Members, member)
		}
	}
	return stats
}

func (n *Node) poolStats(now time.Time, pool version.PoolID) PoolStats {
	d := n.dispatchers[pool]
	counts := d.Counts()
	stats := PoolStats{
		Pool:       pool,
		Entries:    d.Entries(),
		Waiting:    d.Waiting(),
		Offered:    d.Offered(),
		Granted:    counts.Granted,
		HandedBack: counts.HandedBack,
		Spilled:    counts.Spilled,
		Refused:    counts.Refused,
	}
	for _, a := range d.Accounts(now) {
		stats.Accounts = append(stats.Accounts, AccountStats(a))
	}
	for _, u := range d.Upstreams(now) {
		stats.Upstreams = append(stats.Upstreams, UpstreamStats(u))
	}
	return stats
}

func (n *Node) serviceStats() []ServiceStats {
	var all []ServiceStats
	for _, id := range n.sums.meter.Accounts() {
		own := n.sums.meter.Own(id)
		all = append(all, ServiceStats{
			Account: id,
			Level:   n.sums.meter.Level(id),
			Counted: own.Charged - own.Returned,
		})
	}
	return all
}
