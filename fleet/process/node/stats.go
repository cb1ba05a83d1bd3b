package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Stats is a snapshot of one daemon. It shares no memory with its node.
type Stats struct {
	// At is when the snapshot was taken, by the local clock.
	At          time.Time
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	// Version is the active configuration version; 0 if there is none.
	Version version.Number
	Entry   EntryStats
	// Pools lists the pools that this daemon dispatches, by ID.
	Pools []PoolStats
	// Service lists what this daemon's dispatchers counted for each account.
	Service []ServiceStats
	// Members lists the VMs of the own data centre, by name.
	Members []membership.Member
	// CrossRegionBytes counts the bytes of request bodies and estimated answers
	// that crossed a region's border for requests held here.
	CrossRegionBytes uint64
	// Sent and Received count messages to and from other daemons.
	Sent     uint64
	Received uint64
}

// EntryStats describes the requests that callers sent to this daemon.
type EntryStats struct {
	// Waiting and Running count requests.
	Waiting int
	Running int
}

// ServiceStats describes the service of one account.
type ServiceStats struct {
	Account version.AccountID
	// Level is the account's service level as known here: its service over the
	// whole fleet divided by its weight, in cost units.
	Level float64
	// Counted is what this daemon's dispatchers contributed to it, in weighted
	// cost units.
	Counted float64
}

// PoolStats describes one dispatcher.
type PoolStats struct {
	Pool version.PoolID
	// Entries counts the registered daemons.
	Entries int
	// Waiting counts queued tickets, and Offered those on offer to other data
	// centres, which are not queued.
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

// AccountStats describes an account's waiting tickets at one dispatcher.
type AccountStats struct {
	Account version.AccountID
	Waiting int
	// Oldest is how long the oldest of the tickets has waited.
	Oldest time.Duration
}

// UpstreamStats describes an upstream's slots as one dispatcher sees them.
type UpstreamStats struct {
	Upstream version.UpstreamID
	// Used counts the slots that are held, or busy according to the upstream's
	// load report.
	Used int
	// Limit is the number of slots that the upstream has earned, of which this
	// dispatcher may use Usable.
	Limit  int
	Usable int
	Cold   bool
	// Ejected is set while the upstream gets no work after it refused some.
	Ejected bool
	// NamedLimit is the request rate that the upstream takes from the whole fleet, and Sent
	// the number of requests granted within the window of limits.
	NamedLimit ratelimit.Limit
	Sent       int
}

// Stats returns a snapshot of the node. It must be called by the goroutine that
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

// poolStats returns the statistics of a pool's dispatcher.
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

// serviceStats returns the service of each account that this daemon's meter
// knows.
func (n *Node) serviceStats() []ServiceStats {
	var all []ServiceStats
	for _, id := range n.accounting.meter.Accounts() {
		own := n.accounting.meter.OwnCount(id)
		all = append(all, ServiceStats{
			Account: id,
			Level:   n.accounting.meter.Level(id),
			Counted: own.Charged - own.Returned,
		})
	}
	return all
}
