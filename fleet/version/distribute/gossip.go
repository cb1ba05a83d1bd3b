package distribute

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// announce sends a peer the number of the current head, the hash of the pending
// orders and the time since the last known contact with the platform.
func (c *Core) announce(now time.Time, to version.VMID) {
	contactMillis := uint32(math.MaxUint32)
	if !c.lastContact.IsZero() {
		contactMillis = uint32(min(max(now.Sub(c.lastContact).Milliseconds(), 0), math.MaxUint32-1))
	}
	c.send(to, wire.Announce{
		Number:        c.HeadNumber(),
		Orders:        ordersHash(c.orders),
		ContactMillis: contactMillis,
	})
}

// receiveAnnounce handles an announcement. It announces in return if this daemon
// has a newer head, or has orders and the peer has none, and starts a fetch if the
// peer has a newer head or other orders.
func (c *Core) receiveAnnounce(now time.Time, from version.VMID, p *peer, m wire.Announce) {
	p.headNumber, p.ordersHash = m.Number, m.Orders
	if m.ContactMillis != math.MaxUint32 {
		contact := now.Add(-time.Duration(m.ContactMillis) * time.Millisecond)
		if contact.After(c.lastContact) {
			c.lastContact = contact
		}
	}
	if m.Number < c.HeadNumber() || m.Orders == 0 && len(c.orders) > 0 {
		c.announce(now, from)
	}
	c.fetchNewest(now)
}

// announceToSome announces a change to announceFanout random peers that may be
// behind.
func (c *Core) announceToSome(now time.Time) {
	behind := c.peersBehind()
	c.random.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	for _, vm := range behind[:min(len(behind), announceFanout)] {
		c.announce(now, vm)
	}
}

// announceToOne makes a periodic announcement to a random peer, if possible one
// that may be behind, and returns the time until the next announcement.
func (c *Core) announceToOne(now time.Time) time.Duration {
	if candidates := c.peersBehind(); len(candidates) > 0 {
		c.announce(now, candidates[c.random.IntN(len(candidates))])
		return announceInterval
	}
	if candidates := c.linkedPeers(); len(candidates) > 0 {
		c.announce(now, candidates[c.random.IntN(len(candidates))])
	}
	return idleAnnounceInterval
}

// linkedPeers returns the linked daemons, sorted.
func (c *Core) linkedPeers() []version.VMID {
	linked := make([]version.VMID, 0, len(c.peers))
	for vm := range c.peers {
		linked = append(linked, vm)
	}
	slices.Sort(linked)
	return linked
}

// peersBehind returns the linked daemons that are not known to have the current
// head, or a newer one, and the same orders.
func (c *Core) peersBehind() []version.VMID {
	orders := ordersHash(c.orders)
	return slices.DeleteFunc(c.linkedPeers(), func(vm version.VMID) bool {
		p := c.peers[vm]
		return p.headNumber > c.HeadNumber() || p.headNumber == c.HeadNumber() && p.ordersHash == orders
	})
}

// updateWatching decides whether this daemon reads the platform. Rendezvous hashing
// selects the watchers of each data centre. If no answer of the platform to any
// daemon is known for contactTimeout, further daemons take turns at reading it, so
// that a daemon that alone can reach the platform gets its turn, while only
// watchersPerDataCentre additional daemons of a data centre call it at a time.
func (c *Core) updateWatching(now time.Time) {
	if c.current == nil && now.Sub(c.started) < startGrace {
		c.watching = false
		return
	}
	c.watching = c.isWatcher("")
	if c.watching {
		return
	}
	contactOrStart := c.started
	if c.lastContact.After(contactOrStart) {
		contactOrStart = c.lastContact
	}
	if now.Sub(contactOrStart) > contactTimeout {
		epoch := now.UnixNano() / int64(watchTurn)
		c.watching = c.isWatcher(strconv.FormatInt(epoch, 10))
	}
}

// isWatcher reports whether rendezvous hashing with a key selects this daemon as a
// watcher of its data centre.
func (c *Core) isWatcher(key string) bool {
	ownScore := watcherScore(key, c.options.VM)
	higher := 0
	for vm, p := range c.peers {
		if p.dataCentre != c.options.DataCentre || p.leaving {
			continue
		}
		if cmp.Or(cmp.Compare(watcherScore(key, vm), ownScore), cmp.Compare(vm, c.options.VM)) > 0 {
			higher++
		}
	}
	return higher < watchersPerDataCentre
}

// watcherScore returns the score of a daemon for a key. The daemons of a data
// centre with the highest scores are selected.
func watcherScore(key string, vm version.VMID) uint64 {
	return xxhash.Sum64String("watch\x00" + key + "\x00" + string(vm))
}
