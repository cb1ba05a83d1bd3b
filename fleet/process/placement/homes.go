package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// homeCount is how many upstreams are the home of a part, the first one
	// before the others.
	homeCount = 3
	// homeTrustTime is how long an engine must have had work until the home of a
	// part is taken to keep it: by then other VMs have sent most parts once.
	homeTrustTime = 2 * time.Second
)

// homes returns the upstreams whose caches are to hold the prompt's shared parts,
// by rendezvous hashing, best first; nil where there is none.
func (p *Placer) homes(ticket request.Ticket) [homeCount]*upstream {
	var best [homeCount]*upstream
	var scores [homeCount]uint64
	if ticket.Prompt == nil || len(ticket.Prompt.Parts) < 2 {
		return best
	}
	shared := ticket.Prompt.Parts[len(ticket.Prompt.Parts)-2].ID
	for _, u := range p.byPool[ticket.Pool] {
		if u.Draining || p.config.UpstreamOut(u.Upstream) || u.declined != nil && u.declined.leaving {
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

func rendezvous(part uint64, id version.UpstreamID) uint64 {
	var key [12]byte
	for i := range 8 {
		key[i] = byte(part >> (8 * i))
	}
	for i := range 4 {
		key[8+i] = byte(uint32(id) >> (8 * i))
	}
	return xxhash.Sum64(key[:])
}
