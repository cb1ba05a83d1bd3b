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

// announce tells a peer what is held here.
func (c *Core) announce(now time.Time, to version.VMID) {
	contact := uint32(math.MaxUint32)
	if !c.contact.IsZero() {
		contact = uint32(min(max(now.Sub(c.contact).Milliseconds(), 0), math.MaxUint32-1))
	}
	c.send(to, wire.Announce{
		Number:        c.Confirmed(),
		Orders:        ordersHash(c.orders),
		ContactMillis: contact,
	})
}

// heard handles an announcement: it fetches what is newer there, and answers
// if something is newer here.
func (c *Core) heard(now time.Time, from version.VMID, p *peer, m wire.Announce) {
	p.number, p.orders = m.Number, m.Orders
	if m.ContactMillis != math.MaxUint32 {
		contact := now.Add(-time.Duration(m.ContactMillis) * time.Millisecond)
		if contact.After(c.contact) {
			c.contact = contact
		}
	}
	if m.Number < c.Confirmed() || m.Orders == 0 && len(c.orders) > 0 {
		c.announce(now, from)
	}
	c.fetchNewest(now)
}

// rumour announces news to a few of the peers that may not have it.
func (c *Core) rumour(now time.Time) {
	behind := c.behind()
	c.random.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	for _, vm := range behind[:min(len(behind), fanout)] {
		c.announce(now, vm)
	}
}

// announceToOne makes one periodic announcement and returns the time until the
// next.
func (c *Core) announceToOne(now time.Time) time.Duration {
	if candidates := c.behind(); len(candidates) > 0 {
		c.announce(now, candidates[c.random.IntN(len(candidates))])
		return announceInterval
	}
	if candidates := c.linked(); len(candidates) > 0 {
		c.announce(now, candidates[c.random.IntN(len(candidates))])
	}
	return idleInterval
}

// linked returns the linked daemons, in order.
func (c *Core) linked() []version.VMID {
	linked := make([]version.VMID, 0, len(c.peers))
	for vm := range c.peers {
		linked = append(linked, vm)
	}
	slices.Sort(linked)
	return linked
}

// behind returns the linked daemons that are not known to hold all that is
// held here.
func (c *Core) behind() []version.VMID {
	orders := ordersHash(c.orders)
	return slices.DeleteFunc(c.linked(), func(vm version.VMID) bool {
		p := c.peers[vm]
		return p.number > c.Confirmed() || p.number == c.Confirmed() && p.orders == orders
	})
}

// updateWatching decides whether this daemon reads the platform: rendezvous
// hashing gives each data centre its watchers. While nobody has heard of the
// platform for long, further daemons take turns, so that one that alone can
// reach it will find out, and yet no more of them call at a time.
func (c *Core) updateWatching(now time.Time) {
	if c.held == nil && now.Sub(c.started) < startGrace {
		c.watching = false
		return
	}
	c.watching = c.chosen("")
	if c.watching {
		return
	}
	last := c.started
	if c.contact.After(last) {
		last = c.contact
	}
	if now.Sub(last) > staleAfter {
		epoch := now.UnixNano() / int64(turn)
		c.watching = c.chosen(strconv.FormatInt(epoch, 10))
	}
}

// chosen reports whether this daemon is among the watchers of its data centre
// for a key.
func (c *Core) chosen(key string) bool {
	own := watcherScore(key, c.options.VM)
	higher := 0
	for vm, p := range c.peers {
		if p.dataCentre != c.options.DataCentre || p.leaving {
			continue
		}
		if cmp.Or(cmp.Compare(watcherScore(key, vm), own), cmp.Compare(vm, c.options.VM)) > 0 {
			higher++
		}
	}
	return higher < watchersPerDataCentre
}

func watcherScore(key string, vm version.VMID) uint64 {
	return xxhash.Sum64String("watch\x00" + key + "\x00" + string(vm))
}
