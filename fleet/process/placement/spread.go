package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/process/balance"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// maxSampleSize is how many upstreams of a large pool are assessed beside the affinity upstreams.
const maxSampleSize = 16

// displacedWeight is the weight of the newest prompt in the fraction of displaced ones.
const displacedWeight = 0.05

// sampleStep returns the distance between the sampled upstreams of a pool. It is a prime that does not
// divide the size of the pool, so that the sample has no upstream twice and neighbours by ID, which
// may share a machine, are not sampled together.
func sampleStep(poolSize int) int {
	if poolSize%29 == 0 {
		return 31
	}
	return 29
}

// rand returns the random source of this VM. Its seed is the VM's name, so that VMs choose differently.
func (p *Placer) rand() *rand.Rand {
	if p.random == nil {
		p.randomState = rand.NewPCG(xxhash.Sum64String(string(p.options.VM)), uint64(len(p.options.VM)))
		p.random = rand.New(p.randomState)
	}
	return p.random
}

// displaced is what a VM knows of prompts that leave the engines that hold their shared segments.
type displaced struct {
	// peerPrefill estimates the rate of prompt tokens that other VMs send to all engines of the
	// pool to prefill.
	peerPrefill rateEstimator
	// fraction is the fraction of this VM's recent prompts that found no admission at an engine
	// that holds their shared segments, or share none. The other VMs have much the same prompts.
	fraction float64
	// sample is the newest sample size.
	sample int
}

// displacedOf returns the state of a pool, creating it if needed.
func (p *Placer) displacedOf(pool version.PoolID) *displaced {
	d := p.displaced[pool]
	if d == nil {
		d = &displaced{}
		p.displaced[pool] = d
	}
	return d
}

// sampleSize returns how many upstreams of a pool are assessed for a ticket, beside the affinity upstreams
// if not all are. A prompt that leaves its affinity upstreams takes others' time, so it chooses among
// fewer engines the more such prompts have been sent to them that are not known here.
func (p *Placer) sampleSize(now time.Time, pool []*upstream, ticket request.Ticket) int {
	if len(pool) == 0 || pool[0].pool.Engine == nil {
		return maxSampleSize
	}
	d := p.displacedOf(ticket.Pool)
	unseen := d.peerPrefill.unreported(now) / float64(len(pool)) / float64(max(promptTokens(ticket), 1))
	d.sample = balance.SampleSize(unseen*d.fraction, maxSampleSize)
	return d.sample
}

// recordDisplaced records whether the best candidate for a prompt is one that holds its shared segments.
func (p *Placer) recordDisplaced(ticket request.Ticket, best candidate) {
	if best.pool.Engine == nil {
		return
	}
	holds := best.affinity || best.cachedFraction == 1 && sharedTokens(ticket.Prompt) > 0
	d := p.displacedOf(ticket.Pool)
	d.fraction -= displacedWeight * d.fraction
	if best.rank() > 0 || !holds {
		d.fraction += displacedWeight
	}
}

// spread sets the best candidate of a decision to the one that gets the request. For plain services this
// is one of those as good as the best, such that the requests of all VMs together even out their loads,
// those included that others have sent and not reported yet. For engines it stays the best.
func (p *Placer) spread(now time.Time, d *decision) {
	if d.best.pool.Engine != nil || d.best.rank() > 0 {
		return
	}
	choices, unseen := p.choices[:0], 0.0
	for i := range d.candidates {
		c := &d.candidates[i]
		if c.rank() > 0 {
			continue
		}
		duration := float64(plainServiceTime) * c.slowness
		if peers := c.peerLoad(now); peers.running > 0 {
			unseen += float64(peers.running) * float64(now.Sub(peers.observedAt)) / duration
		}
		choices = append(choices, balance.Choice{Index: i, Cost: float64(c.score), Slope: duration / float64(c.slots())})
	}
	p.choices = choices
	if unseen == 0 {
		// Nobody else is known to send requests there.
		return
	}
	d.choices, d.unseen = choices, unseen
	d.best = d.candidates[balance.Pick(choices, unseen, p.rand().Float64())]
}

// PoolSpread tells how the prompts of a pool spread over its engines.
type PoolSpread struct {
	Pool string
	// Displaced is the fraction of recent prompts that left the engines that hold their shared
	// segments, and Sample among how many engines the newest one chose beside those.
	Displaced float64
	Sample    int
}

// Spread returns how prompts spread, by pool of engines that has had any.
func (p *Placer) Spread() []PoolSpread {
	var list []PoolSpread
	for id, d := range p.displaced {
		if p.config != nil && p.config.Pools[id] != nil && d.sample > 0 {
			list = append(list, PoolSpread{Pool: p.config.Pools[id].Name, Displaced: d.fraction, Sample: d.sample})
		}
	}
	slices.SortFunc(list, func(a, b PoolSpread) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}
