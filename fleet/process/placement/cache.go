package placement

import (
	"container/list"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// cache models which prompt parts an engine keeps. A part is usable only behind
// the same parts, so an entry stands for a whole chain of parts. The least
// recently used entries yield.
//
// Invariant: used is the sum of the entries' tokens and does not exceed
// capacity, but for a single larger entry.
type cache struct {
	capacity int
	used     int
	order    *list.List
	byChain  map[uint64]*list.Element
}

type cacheEntry struct {
	chain  uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), byChain: make(map[uint64]*list.Element)}
}

// chainHash extends the hash of a chain of parts by one part.
func chainHash(before uint64, part request.Part) uint64 {
	// The constant spreads neighbouring identifiers (the 64-bit golden ratio).
	const spread = 0x9e3779b97f4a7c15
	h := (before ^ part.ID) * spread
	return h ^ h>>29
}

// kept returns how many tokens at the prompt's beginning are kept.
func (c *cache) kept(parts []request.Part) int {
	chain, tokens := uint64(0), 0
	for _, part := range parts {
		chain = chainHash(chain, part)
		if _, present := c.byChain[chain]; !present {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// read notes that the engine reads a prompt with these parts.
func (c *cache) read(parts []request.Part) {
	chain := uint64(0)
	for _, part := range parts {
		chain = chainHash(chain, part)
		if element, present := c.byChain[chain]; present {
			c.order.MoveToFront(element)
			continue
		}
		c.byChain[chain] = c.order.PushFront(cacheEntry{chain: chain, tokens: part.Tokens})
		c.used += part.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(cacheEntry)
		delete(c.byChain, last.chain)
		c.used -= last.tokens
	}
}
