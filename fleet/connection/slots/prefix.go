package slots

import "github.com/trefoilwell/trefoilwell/fleet/version"

// maxPrefixesPerGeneration bounds the prefixes kept in each of the two generations.
const maxPrefixesPerGeneration = 16_384

// prefixAffinity maps each prompt prefix to the upstream that last served it. It keeps
// two generations of entries; when the recent one is full, the older one is discarded.
type prefixAffinity struct {
	recent map[uint64]version.UpstreamID
	older  map[uint64]version.UpstreamID
}

// record stores the upstream that now serves the prefix. Prefix 0 means that there is
// none and is ignored.
func (p *prefixAffinity) record(prefix uint64, upstream version.UpstreamID) {
	if prefix == 0 {
		return
	}
	if p.recent == nil || len(p.recent) >= maxPrefixesPerGeneration {
		p.older = p.recent
		p.recent = make(map[uint64]version.UpstreamID)
	}
	p.recent[prefix] = upstream
}

// lookup returns the upstream that last served the prefix, or 0 if it is not known.
func (p *prefixAffinity) lookup(prefix uint64) version.UpstreamID {
	if prefix == 0 {
		return 0
	}
	if upstream, present := p.recent[prefix]; present {
		return upstream
	}
	return p.older[prefix]
}
