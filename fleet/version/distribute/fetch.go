package distribute

import (
	"encoding/hex"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// maxOpenParts is the maximum number of parts that are requested concurrently.
const maxOpenParts = 4

// fetch is the state of a fetch of a head, and then of its parts, from a peer. At
// most one fetch is in progress.
type fetch struct {
	source version.VMID
	// deadline is when the source must have sent its next response.
	deadline time.Time
	// next is the fetched head; nil until it has been received.
	next *snapshot
	// openParts holds the data received so far of each part that was requested
	// and is incomplete, by digest.
	openParts map[string][]byte
}

// fetchNewest starts a fetch from the best source, if a peer has a newer head or
// other orders and no fetch is in progress.
func (c *Core) fetchNewest(now time.Time) {
	if c.fetch != nil {
		return
	}
	source, found := c.bestSource()
	if !found {
		return
	}
	c.fetch = &fetch{source: source, deadline: now.Add(fetchTimeout), openParts: make(map[string][]byte)}
	request := wire.HeadRequest{}
	if c.current != nil {
		request.Known = c.current.encoded.hash
	}
	c.send(source, request)
}

// bestSource returns a random peer among those with the newest head, if that is
// newer than the current and the rejected heads; peers in the same data centre are
// preferred. If there is none, it returns a random peer whose orders differ from
// the orders here.
func (c *Core) bestSource() (version.VMID, bool) {
	newest := max(c.HeadNumber(), c.rejectedNumber)
	var local, remote, otherOrders []version.VMID
	for _, vm := range c.linkedPeers() {
		p := c.peers[vm]
		if p.headNumber > newest {
			newest, local, remote = p.headNumber, nil, nil
		}
		switch {
		case p.headNumber == newest && newest > max(c.HeadNumber(), c.rejectedNumber):
			if p.dataCentre == c.options.DataCentre {
				local = append(local, vm)
			} else {
				remote = append(remote, vm)
			}
		case c.current != nil && p.ordersHash != 0 && p.ordersHash != ordersHash(c.orders):
			otherOrders = append(otherOrders, vm)
		}
	}
	for _, candidates := range [][]version.VMID{local, remote, otherOrders} {
		if len(candidates) > 0 {
			return candidates[c.random.IntN(len(candidates))], true
		}
	}
	return "", false
}

// receiveHeadOffer handles the response to a HeadRequest.
func (c *Core) receiveHeadOffer(now time.Time, from version.VMID, m wire.HeadOffer) {
	if c.fetch == nil || c.fetch.source != from || c.fetch.next != nil {
		return
	}
	next, err := c.decodeOffer(m)
	if err != nil {
		c.rejectSource(now, err)
		return
	}
	if next == nil || next.head.Number <= max(c.HeadNumber(), c.rejectedNumber) {
		c.finishFetch(now, m.Orders)
		return
	}
	next.reuseParts(c.current)
	next.reuseParts(c.partial)
	c.fetch.next = next
	c.fetch.deadline = now.Add(fetchTimeout)
	c.addOrders(now, ordersFromWire(m.Orders))
	c.requestParts(now)
}

// decodeOffer returns the offered head without parts. It returns nil if the offer
// contains no head, because the source has the same head, or if the head is
// compressed against a head that is no longer the current one.
func (c *Core) decodeOffer(m wire.HeadOffer) (*snapshot, error) {
	if len(m.Head) == 0 {
		return nil, nil
	}
	var dictionary []byte
	if m.Base != 0 {
		if c.current == nil || c.current.encoded.hash != m.Base {
			return nil, nil
		}
		dictionary = c.current.encoded.bytes
	}
	encoded, err := inflate(m.Head, dictionary, part.MaxBytes)
	if err != nil {
		return nil, err
	}
	return newSnapshot(encoded)
}

// requestParts requests missing parts, up to maxOpenParts concurrently, and
// installs the head once all its parts are present.
func (c *Core) requestParts(now time.Time) {
	missing := c.fetch.next.missingParts()
	if len(missing) == 0 {
		next := c.fetch.next
		c.fetch = nil
		c.install(now, next)
		c.fetchNewest(now)
		return
	}
	for _, ref := range missing {
		if len(c.fetch.openParts) >= maxOpenParts {
			return
		}
		if _, requested := c.fetch.openParts[ref.SHA256]; !requested {
			c.fetch.openParts[ref.SHA256] = nil
			c.requestChunk(ref.SHA256)
		}
	}
}

// requestChunk requests the chunk of a part that follows the data received so far.
func (c *Core) requestChunk(digest string) {
	binaryDigest, err := hex.DecodeString(digest)
	if err != nil {
		return
	}
	c.send(c.fetch.source, wire.PartRequest{SHA256: binaryDigest, Offset: uint32(len(c.fetch.openParts[digest]))})
}

// receiveChunk handles the response to a PartRequest. A chunk that was not
// requested, or is received again, is ignored.
func (c *Core) receiveChunk(now time.Time, from version.VMID, m wire.PartChunk) {
	if c.fetch == nil || c.fetch.source != from {
		return
	}
	digest := hex.EncodeToString(m.SHA256)
	received, requested := c.fetch.openParts[digest]
	if !requested || int(m.Offset) != len(received) {
		return
	}
	if m.Total == 0 || m.Total > part.MaxBytes {
		// The source has replaced the head by a newer head without this part.
		c.fetch, c.partial = nil, c.fetch.next
		c.fetchNewest(now)
		return
	}
	data, err := inflate(m.Data, nil, maxChunkBytes)
	if err != nil || len(data) == 0 {
		c.rejectSource(now, err)
		return
	}
	received = append(received, data...)
	c.fetch.openParts[digest] = received
	c.fetch.deadline = now.Add(fetchTimeout)
	if len(received) < int(m.Total) {
		c.requestChunk(digest)
		return
	}
	if part.Digest(received) != digest {
		c.rejectSource(now, part.ErrCorrupt)
		return
	}
	delete(c.fetch.openParts, digest)
	c.fetch.next.parts[digest] = received
	c.requestParts(now)
}

// finishFetch ends a fetch that returned no newer head that can be used, and adds
// the orders of the source.
func (c *Core) finishFetch(now time.Time, orders []wire.Order) {
	// Don't fetch from the source again until it makes another announcement.
	if p, linked := c.peers[c.fetch.source]; linked {
		p.headNumber, p.ordersHash = min(p.headNumber, c.HeadNumber()), ordersHash(c.orders)
	}
	c.fetch = nil
	c.addOrders(now, ordersFromWire(orders))
	c.fetchNewest(now)
}

// rejectSource reports a source that sent invalid data and changes to another
// source.
func (c *Core) rejectSource(now time.Time, err error) {
	c.addAction(ReportRejectedHead{Err: err})
	c.changeSource(now)
}

// expireFetch changes to another source if the source missed its deadline.
func (c *Core) expireFetch(now time.Time) {
	if c.fetch != nil && now.After(c.fetch.deadline) {
		c.changeSource(now)
	}
}

// changeSource continues the fetch with another peer, if there is one, and keeps
// the complete parts. The old source is not used until it makes another
// announcement.
func (c *Core) changeSource(now time.Time) {
	old := c.fetch
	if p, linked := c.peers[old.source]; linked {
		p.headNumber, p.ordersHash = 0, 0
	}
	c.fetch = nil
	if old.next != nil {
		c.partial = old.next
	}
	source, found := c.bestSource()
	if !found {
		return
	}
	if old.next == nil || c.peers[source].headNumber != old.next.head.Number {
		c.fetchNewest(now)
		return
	}
	c.fetch = &fetch{source: source, deadline: now.Add(fetchTimeout), next: old.next, openParts: make(map[string][]byte)}
	c.requestParts(now)
}

// ordersFromWire converts orders from their wire form.
func ordersFromWire(encoded []wire.Order) []version.Order {
	orders := make([]version.Order, 0, len(encoded))
	for _, o := range encoded {
		orders = append(orders, o.Version())
	}
	return orders
}
