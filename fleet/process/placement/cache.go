package placement

import (
	"container/list"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// cache models which prompt segments an engine has in its prefix cache. A cached segment is
// usable only behind the same preceding segments, so an entry stands for a whole prefix,
// identified by the hash of its segments. The least recently used entries are evicted.
//
// Invariant: used is the sum of the entries' tokens and does not exceed capacity, except for a
// single larger entry.
type cache struct {
	capacity int
	used     int
	recency  *list.List
	byPrefix map[uint64]*list.Element
}

type cacheEntry struct {
	prefix uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recency: list.New(), byPrefix: make(map[uint64]*list.Element)}
}

// prefixHash extends the hash of a prefix by one segment.
func prefixHash(prefix uint64, segment request.PromptSegment) uint64 {
	// The 64-bit golden ratio spreads neighbouring identifiers.
	const spread = 0x9e3779b97f4a7c15
	h := (prefix ^ segment.ID) * spread
	return h ^ h>>29
}

// cachedTokens returns the number of tokens at the start of a prompt that are cached.
func (c *cache) cachedTokens(segments []request.PromptSegment) int {
	prefix, tokens := uint64(0), 0
	for _, segment := range segments {
		prefix = prefixHash(prefix, segment)
		if _, present := c.byPrefix[prefix]; !present {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// insert records that the engine prefills a prompt with these segments, and evicts the least
// recently used entries beyond the capacity.
func (c *cache) insert(segments []request.PromptSegment) {
	prefix := uint64(0)
	for _, segment := range segments {
		prefix = prefixHash(prefix, segment)
		if element, present := c.byPrefix[prefix]; present {
			c.recency.MoveToFront(element)
			continue
		}
		c.byPrefix[prefix] = c.recency.PushFront(cacheEntry{prefix: prefix, tokens: segment.Tokens})
		c.used += segment.Tokens
	}
	for c.used > c.capacity && c.recency.Len() > 1 {
		last := c.recency.Remove(c.recency.Back()).(cacheEntry)
		delete(c.byPrefix, last.prefix)
		c.used -= last.tokens
	}
}
