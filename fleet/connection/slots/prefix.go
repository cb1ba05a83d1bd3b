package slots

import "github.com/trefoilwell/trefoilwell/fleet/version"

// maxPrefixes bounds the prefixes remembered in each of two generations.
const maxPrefixes = 16_384

// prefixes remembers which upstream last served a prompt prefix. It keeps two
// generations: when the newer is full, the older is forgotten.
type prefixes struct {
	recent map[uint64]version.UpstreamID
	older  map[uint64]version.UpstreamID
}

func (p *prefixes) remember(prefix uint64, upstream version.UpstreamID) {
	if prefix == 0 {
		return
	}
	if p.recent == nil || len(p.recent) >= maxPrefixes {
		p.older = p.recent
		p.recent = make(map[uint64]version.UpstreamID)
	}
	p.recent[prefix] = upstream
}

// lookup returns the upstream that last served the prefix, or 0.
func (p *prefixes) lookup(prefix uint64) version.UpstreamID {
	if prefix == 0 {
		return 0
	}
	if upstream, present := p.recent[prefix]; present {
		return upstream
	}
	return p.older[prefix]
}
