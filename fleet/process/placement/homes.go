package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// affinityCount is how many upstreams are affinity upstreams of a prompt segment, in order
	// of preference.
	affinityCount = 3
	// affinityTrustTime is how long an engine must have had work until the segments for which
	// it is the affinity upstream are assumed to be cached: by then other VMs have sent most
	// segments once.
	affinityTrustTime = 2 * time.Second
)

// affinityUpstreams returns the upstreams whose caches are to hold the prompt's shared
// segments, by rendezvous hashing, the preferred one first; nil where there is none.
func (p *Placer) affinityUpstreams(ticket request.Ticket) [affinityCount]*upstream {
	var best [affinityCount]*upstream
	var scores [affinityCount]uint64
	if ticket.Prompt == nil || len(ticket.Prompt.Segments) < 2 {
		return best
	}
	shared := ticket.Prompt.Segments[len(ticket.Prompt.Segments)-2].ID
	for _, u := range p.upstreamsByPool[ticket.Pool] {
		if !ticket.Rule.Permits(u.Software, u.ID) || u.Draining || p.config.UpstreamOut(u.Upstream) || u.advice != nil && u.advice.leaving {
			continue
		}
		score := rendezvous(shared, u.ID)
		for i := range best {
			if best[i] == nil || score > scores[i] {
				copy(best[i+1:], best[i:])
				copy(scores[i+1:], scores[i:])
				best[i], scores[i] = u, score
				break
			}
		}
	}
	return best
}

// rendezvous returns the score of an upstream in rendezvous hashing for the given hash, which
// is that of a prompt segment or a VM.
func rendezvous(hash uint64, id version.UpstreamID) uint64 {
	var key [12]byte
	for i := range 8 {
		key[i] = byte(hash >> (8 * i))
	}
	for i := range 4 {
		key[8+i] = byte(uint32(id) >> (8 * i))
	}
	return xxhash.Sum64(key[:])
}
