package distribute

import (
	"encoding/hex"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// partsAtOnce bounds the parts that are requested at the same time.
const partsAtOnce = 4

// fetch is a head, and then its parts, that a peer was asked for. There is at
// most one.
type fetch struct {
	source version.VMID
	// deadline is when the source is given up on.
	deadline time.Time
	// next is nil until the head has come.
	next *snapshot
	// open holds what has come of the parts that were requested, by digest.
	open map[string][]byte
}

// fetchNewest asks the best peer that holds something newer, unless a fetch is
// under way.
func (c *Core) fetchNewest(now time.Time) {
	if c.fetch != nil {
		return
	}
	source, found := c.bestSource()
	if !found {
		return
	}
	c.fetch = &fetch{source: source, deadline: now.Add(fetchTimeout), open: make(map[string][]byte)}
	request := wire.HeadRequest{}
	if c.held != nil {
		request.Known = c.held.encoded.hash
	}
	c.send(source, request)
}

// bestSource returns the peer with the newest head, one in the same data centre
// if there is a choice, else one whose orders differ.
func (c *Core) bestSource() (version.VMID, bool) {
	newest := max(c.Confirmed(), c.refused)
	var near, far, differing []version.VMID
	for _, vm := range c.linked() {
		p := c.peers[vm]
		if p.number > newest {
			newest, near, far = p.number, nil, nil
		}
		switch {
		case p.number == newest && newest > max(c.Confirmed(), c.refused):
			if p.dataCentre == c.options.DataCentre {
				near = append(near, vm)
			} else {
				far = append(far, vm)
			}
		case c.held != nil && p.orders != 0 && p.orders != ordersHash(c.orders):
			differing = append(differing, vm)
		}
	}
	for _, candidates := range [][]version.VMID{near, far, differing} {
		if len(candidates) > 0 {
			return candidates[c.random.IntN(len(candidates))], true
		}
	}
	return "", false
}

// takeHead handles the answer to a HeadRequest.
func (c *Core) takeHead(now time.Time, from version.VMID, m wire.HeadOffer) {
	if c.fetch == nil || c.fetch.source != from || c.fetch.next != nil {
		return
	}
	next, err := c.decodeOffer(m)
	if err != nil {
		c.giveUp(now, err)
		return
	}
	if next == nil || next.head.Number <= max(c.Confirmed(), c.refused) {
		c.endFetch(now, m.Orders)
		return
	}
	next.adopt(c.held)
	next.adopt(c.spare)
	c.fetch.next = next
	c.fetch.deadline = now.Add(fetchTimeout)
	c.addOrders(now, versions(m.Orders))
	c.requestParts(now)
}

// decodeOffer returns the offered head, or nil if it is the one held.
func (c *Core) decodeOffer(m wire.HeadOffer) (*snapshot, error) {
	if len(m.Head) == 0 {
		return nil, nil
	}
	var base []byte
	if m.Base != 0 {
		if c.held == nil || c.held.encoded.hash != m.Base {
			return nil, nil
		}
		base = c.held.encoded.bytes
	}
	encoded, err := inflate(m.Head, base, part.MaxBytes)
	if err != nil {
		return nil, err
	}
	return newSnapshot(encoded)
}

// requestParts keeps up to partsAtOnce requests open, and installs the head
// once all its parts are there.
func (c *Core) requestParts(now time.Time) {
	missing := c.fetch.next.missing()
	if len(missing) == 0 {
		next := c.fetch.next
		c.fetch = nil
		c.install(now, next)
		c.fetchNewest(now)
		return
	}
	for _, ref := range missing {
		if len(c.fetch.open) >= partsAtOnce {
			return
		}
		if _, open := c.fetch.open[ref.SHA256]; !open {
			c.fetch.open[ref.SHA256] = nil
			c.requestChunk(ref.SHA256)
		}
	}
}

// requestChunk asks for what follows the bytes that have come of a part.
func (c *Core) requestChunk(digest string) {
	binary, err := hex.DecodeString(digest)
	if err != nil {
		return
	}
	c.send(c.fetch.source, wire.PartRequest{SHA256: binary, Offset: uint32(len(c.fetch.open[digest]))})
}

// takeChunk handles the answer to a PartRequest. One that was not asked for, or
// comes twice, is ignored.
func (c *Core) takeChunk(now time.Time, from version.VMID, m wire.PartChunk) {
	if c.fetch == nil || c.fetch.source != from {
		return
	}
	digest := hex.EncodeToString(m.SHA256)
	have, open := c.fetch.open[digest]
	if !open || int(m.Offset) != len(have) {
		return
	}
	if m.Total == 0 || m.Total > part.MaxBytes {
		// The source has moved on to a newer head.
		c.fetch, c.spare = nil, c.fetch.next
		c.fetchNewest(now)
		return
	}
	data, err := inflate(m.Data, nil, chunkBytes)
	if err != nil || len(data) == 0 {
		c.giveUp(now, err)
		return
	}
	have = append(have, data...)
	c.fetch.open[digest] = have
	c.fetch.deadline = now.Add(fetchTimeout)
	if len(have) < int(m.Total) {
		c.requestChunk(digest)
		return
	}
	if part.Digest(have) != digest {
		c.giveUp(now, part.ErrCorrupt)
		return
	}
	delete(c.fetch.open, digest)
	c.fetch.next.parts[digest] = have
	c.requestParts(now)
}

// endFetch ends a fetch that brought at most orders.
func (c *Core) endFetch(now time.Time, orders []wire.Order) {
	// What the source holds is no news until it announces anew.
	if p, linked := c.peers[c.fetch.source]; linked {
		p.number, p.orders = min(p.number, c.Confirmed()), ordersHash(c.orders)
	}
	c.fetch = nil
	c.addOrders(now, versions(orders))
	c.fetchNewest(now)
}

// giveUp ends a fetch whose source sent something broken.
func (c *Core) giveUp(now time.Time, err error) {
	c.act(Refuse{Err: err})
	c.changeSource(now)
}

// expireFetch turns to another source if the present one does not answer.
func (c *Core) expireFetch(now time.Time) {
	if c.fetch != nil && now.After(c.fetch.deadline) {
		c.changeSource(now)
	}
}

// changeSource goes on with another peer. Complete parts are kept; the old
// source counts again once it announces itself.
func (c *Core) changeSource(now time.Time) {
	old := c.fetch
	if p, linked := c.peers[old.source]; linked {
		p.number, p.orders = 0, 0
	}
	c.fetch = nil
	if old.next != nil {
		c.spare = old.next
	}
	source, found := c.bestSource()
	if !found {
		return
	}
	if old.next == nil || c.peers[source].number != old.next.head.Number {
		c.fetchNewest(now)
		return
	}
	c.fetch = &fetch{source: source, deadline: now.Add(fetchTimeout), next: old.next, open: make(map[string][]byte)}
	c.requestParts(now)
}

func versions(encoded []wire.Order) []version.Order {
	orders := make([]version.Order, 0, len(encoded))
	for _, o := range encoded {
		orders = append(orders, o.Version())
	}
	return orders
}
