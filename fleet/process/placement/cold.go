package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// coldWindow is the span in which requests to a cold upstream are counted: its
// bound holds for any second, and requests sent a second apart may arrive
// closer together.
const coldWindow = 1100 * time.Millisecond

// coldShare is the part of a cold upstream's bound that is used; the rest is
// for VMs that do not know of each other yet.
const coldShare = 0.9

// joinTime is how long the others may take to learn that this VM has joined: the pause
// between two watches on the members, a question to a hub and a slow answer. Until then
// they share its part.
const joinTime = 3 * time.Second

// coldGate keeps this VM's part of what a cold upstream bears.
type coldGate struct {
	until time.Time
	sent  []time.Time
}

// cold reports whether the upstream is cold.
func (g *coldGate) cold(now time.Time) bool { return now.Before(g.until) }

// allows reports whether another request may be sent, if limit of them may be in
// any window.
func (g *coldGate) allows(now time.Time, limit int) bool {
	g.forget(now.Add(-coldWindow))
	return len(g.sent) < limit
}

// count notes a request that is sent. Warm upstreams are counted too, because
// they may turn cold within the window.
func (g *coldGate) count(now time.Time) {
	g.forget(now.Add(-coldWindow))
	g.sent = append(g.sent, now)
}

func (g *coldGate) forget(before time.Time) {
	old := 0
	for old < len(g.sent) && !g.sent[old].After(before) {
		old++
	}
	g.sent = g.sent[old:]
}

// coldLimit is this VM's part of what a cold upstream may get in any second.
//
// Each of the requests that may arrive in a second belongs to one VM: an even
// part to all, and what is left to those that rendezvous hashing gives for the
// upstream. So the parts of all VMs never exceed the whole.
func (p *Placer) coldLimit(now time.Time, u *upstream) int {
	if u.pool.SlowStart.PerSecond <= 0 {
		return math.MaxInt
	}
	bound := u.pool.SlowStart.PerSecond*p.options.ColdOverage + p.options.ColdSlack
	total := int(coldShare * bound)
	if p.left || p.joined.IsZero() || now.Sub(p.joined) < joinTime {
		// The others do not count on this VM yet, or not any more.
		return 0
	}
	sharers := p.sharers(now)
	even, left := total/len(sharers), total%len(sharers)
	mine, before := memberRank(p.options.VM, u.ID), 0
	for _, vm := range sharers {
		if memberRank(vm, u.ID) < mine {
			before++
		}
	}
	if before < left {
		even++
	}
	return even
}

// sharers returns the VMs over which bounds are split: the members, and those that have left
// so lately that what they sent before still counts.
func (p *Placer) sharers(now time.Time) []version.VMID {
	if now.Sub(p.departedAt) >= coldWindow {
		return p.members
	}
	return append(slices.Clip(p.members), p.departed...)
}

func memberRank(vm version.VMID, id version.UpstreamID) uint64 {
	return rendezvous(xxhash.Sum64String(string(vm)), id)
}
