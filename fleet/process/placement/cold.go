package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// coldWindow is the window in which requests to a cold upstream are counted. The limit holds
// for any second, but requests sent a second apart may arrive closer together.
const coldWindow = 1100 * time.Millisecond

// coldFraction is the fraction of a cold upstream's limit that is used. The rest is for VMs
// that do not know of each other yet.
const coldFraction = 0.9

// joinDelay is how long the other VMs may take to learn that this VM has joined: the pause
// between two watches of the member list, a query to a hub and a slow answer. Until then they
// share this VM's fraction of the limits among themselves.
const joinDelay = 3 * time.Second

// coldState tells whether an upstream is cold.
type coldState struct {
	until time.Time
	// onReturn is set from a crash until the first answer after it, when the time begins for
	// which the upstream is cold.
	onReturn bool
}

// isCold reports whether the upstream is cold.
func (s *coldState) isCold(now time.Time) bool { return s.onReturn || now.Before(s.until) }

// coldLimit returns how many requests this VM may send to a cold upstream in any window.
//
// The requests that the upstream may get from all VMs are divided evenly; the remainder goes
// to the VMs that rendezvous hashing selects for the upstream. So the limits of all VMs never
// add up to more than the upstream's limit.
func (p *Placer) coldLimit(now time.Time, u *upstream) int {
	if u.pool.SlowStart.RequestsPerSecond <= 0 {
		return math.MaxInt
	}
	limit := u.pool.SlowStart.RequestsPerSecond*p.options.ColdOverage + p.options.ColdSlack
	total := int(coldFraction * limit)
	if p.hasLeft || p.joinedAt.IsZero() || now.Sub(p.joinedAt) < joinDelay {
		// The other VMs do not count on this VM yet, or no longer do.
		return 0
	}
	sharers := p.sharers(now)
	own, remainder := total/len(sharers), total%len(sharers)
	// The name stays over a restart, so that the remainder does too.
	name := version.NewUpstreamID(u.Name)
	ownRank, lowerRanked := memberRank(p.options.VM, name), 0
	for _, vm := range sharers {
		if memberRank(vm, name) < ownRank {
			lowerRanked++
		}
	}
	if lowerRanked < remainder {
		own++
	}
	return own
}

// sharers returns the VMs among which the limits are divided: the members, and the VMs that
// have left so recently that the requests they sent still count.
func (p *Placer) sharers(now time.Time) []version.VMID {
	if now.Sub(p.departedAt) >= coldWindow {
		return p.members
	}
	return append(slices.Clip(p.members), p.departed...)
}

// memberRank returns the rank of a VM for an upstream by rendezvous hashing.
func memberRank(vm version.VMID, id version.UpstreamID) uint64 {
	return rendezvous(xxhash.Sum64String(string(vm)), id)
}
