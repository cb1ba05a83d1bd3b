package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// candidate is an upstream that could execute a request.
type candidate struct {
	*upstream
	// slowness is how long the upstream takes relative to a usual one.
	slowness float64
	// ttfb is the predicted time to first byte at the upstream.
	ttfb time.Duration
	// queueTime is the time within ttfb in which the engine prefills the prompts before this
	// one, and prefillTime the time in which it prefills this prompt.
	queueTime   time.Duration
	prefillTime time.Duration
	// minTTFB is the ttfb at an idle engine that has cached all shared segments.
	minTTFB time.Duration
	// idleTTFB is the ttfb at an idle upstream that is not slowed down.
	idleTTFB time.Duration
	// uncachedTokens is the number of prompt tokens that the engine has to prefill.
	uncachedTokens int
	// score is ttfb plus penalties; the candidate with the lowest score is chosen.
	score time.Duration
	// atCapacity is set if the upstream has no capacity for the request.
	atCapacity bool
	// affinity is set for the first affinity upstream of the prompt's shared segments.
	affinity bool
	// cachedFraction is the fraction of the prompt's shared segments that the engine has
	// cached, 0 to 1. It is 1 at the first affinity upstream, because that is where they are
	// prefilled first.
	cachedFraction float64
	// ttfbLimit is the highest ttfb with which the request is admitted at the upstream.
	ttfbLimit time.Duration
}

// choose returns the best upstream for a ticket, or the refusal. A ticket for the canary of a
// software version goes to another version if no canary takes it.
func (p *Placer) choose(now time.Time, ticket request.Ticket) (candidate, *request.Refusal) {
	if fallback, present := ticket.Rule.Fallback(); present {
		if best, refusal := p.chooseByRule(now, ticket); refusal == nil && !best.atCapacity {
			return best, nil
		}
		ticket.Rule = fallback
	}
	return p.chooseByRule(now, ticket)
}

// chooseByRule returns the best upstream that the ticket's rule allows, or the refusal.
func (p *Placer) chooseByRule(now time.Time, ticket request.Ticket) (candidate, *request.Refusal) {
	if p.config == nil {
		return candidate{}, &request.Refusal{Reason: request.ReasonNotReady, Execution: request.NotExecuted}
	}
	candidates := p.candidates(now, ticket)
	isCanary := ticket.Rule.Among != nil
	if len(candidates) == 0 && !isCanary {
		candidates = p.fallbackCandidates(now, ticket)
	}
	if len(candidates) == 0 {
		return candidate{}, p.noCandidate(now, ticket)
	}
	usage := p.usage.relativeUsage(now, ticket.Account)
	if ticket.Attempt <= 1 && p.limitsReservedFor(now, ticket.Pool, usage) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.advice.named() })
		if len(candidates) == 0 {
			return candidate{}, p.limitsReserved(now, ticket, usage.shareUsed)
		}
	}
	longPrompts, long, slack := p.longPromptsOf(ticket.Pool), p.isLong(candidates[0].pool, ticket), 0.0
	if long {
		slack = longPrompts.slack
	}
	for i := range candidates {
		candidates[i].ttfbLimit = ttfbLimit(ticket, candidates[i], usage, slack)
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.score, b.score))
	})
	p.recordDisplaced(ticket, best)
	best = p.spread(now, candidates, best)
	refusal := p.admit(ticket, best, usage.shareUsed)
	if ticket.Attempt <= 1 && usage.shareUsed <= 1 && (refusal == nil || !isCanary) {
		longPrompts.record(long, refusal == nil)
	}
	if refusal != nil {
		return candidate{}, refusal
	}
	return best, nil
}

// rank orders candidates before their score does: 0 within the TTFB limit, 1 beyond it, 2 at
// capacity.
func (c candidate) rank() int {
	switch {
	case c.atCapacity:
		return 2
	case c.ttfb > c.ttfbLimit:
		return 1
	}
	return 0
}

// noCandidate returns the refusal for a ticket that no upstream may execute.
func (p *Placer) noCandidate(now time.Time, ticket request.Ticket) *request.Refusal {
	if after, paused := p.remainingPause(now, ticket); paused {
		return &request.Refusal{
			Reason: request.ReasonUpstreamRefused, Execution: request.NotExecuted, RetryAfter: after,
			Detail: "every upstream has asked for a pause",
		}
	}
	if after, limited := p.remainingLimit(now, ticket); limited {
		return &request.Refusal{
			Reason: request.ReasonQueueFull, Execution: request.NotExecuted, RetryAfter: after,
			Detail: "every upstream gets as many requests as it has named",
		}
	}
	refusal := &request.Refusal{
		Reason: request.ReasonNoUpstream, Execution: request.NotExecuted, RetryAfter: noUpstreamRetryAfter,
	}
	if ticket.Software != "" {
		refusal.Detail = "no upstream of the software version that began the stream is in service"
	}
	return refusal
}

// limitsReserved returns the refusal for a ticket of an account that has had its share, while the
// rest of what limited upstreams take is kept for others.
func (p *Placer) limitsReserved(now time.Time, ticket request.Ticket, shareUsed float64) *request.Refusal {
	after, _ := p.remainingLimit(now, ticket)
	return &request.Refusal{
		Reason: request.ReasonAccountQueueFull, Execution: request.NotExecuted, RetryAfter: after, ShareUsed: shareUsed,
		Detail: "the account has had its share while others wait",
	}
}

// noUpstreamRetryAfter is when a refused caller may come back if no upstream may be used.
const noUpstreamRetryAfter = 500 * time.Millisecond

// candidates returns the upstreams that may execute the ticket. Of a large pool it assesses
// the affinity upstreams and a random sample; all upstreams if none of these is usable.
func (p *Placer) candidates(now time.Time, ticket request.Ticket) []candidate {
	pool := p.ruledPool(ticket)
	affinity := p.affinityUpstreams(ticket)
	list := p.scratch[:0]
	defer func() { p.scratch = list }()
	size := p.sampleSize(now, pool, ticket)
	if len(pool) <= size {
		return p.assessAll(now, list, pool, ticket, affinity[0])
	}
	for _, u := range affinity {
		if u != nil && p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == affinity[0]))
		}
	}
	first, step := p.rand().IntN(len(pool)), sampleStep(len(pool))
	for i, found := 0, 0; i < min(maxSampleSize, len(pool)) && found < size; i++ {
		if u := pool[(first+i*step)%len(pool)]; !slices.Contains(affinity[:], u) && p.usable(now, u, ticket) {
			c := p.assess(now, u, ticket, false)
			list = append(list, c)
			if !c.atCapacity {
				found++
			}
		}
	}
	if len(list) == 0 {
		return p.assessAll(now, list, pool, ticket, affinity[0])
	}
	return list
}

// ruledPool returns the upstreams of the ticket's pool that its rule allows. The list is valid until
// the next call.
func (p *Placer) ruledPool(ticket request.Ticket) []*upstream {
	pool := p.upstreamsByPool[ticket.Pool]
	if ticket.Rule.IsZero() {
		delete(p.ruledEngines, ticket.Pool)
		return pool
	}
	// The fleet's token rate is that of the upstreams of a version, not of its canaries.
	whole, engines := ticket.Rule, 0
	whole.Among = nil
	p.ruled = p.ruled[:0]
	for _, u := range pool {
		if whole.Permits(u.Software, u.ID) {
			engines++
		}
		if ticket.Rule.Permits(u.Software, u.ID) {
			p.ruled = append(p.ruled, u)
		}
	}
	p.ruledEngines[ticket.Pool] = engines
	return p.ruled
}

// assessAll appends the usable upstreams of a pool to list.
func (p *Placer) assessAll(now time.Time, list []candidate, pool []*upstream, ticket request.Ticket, affinity *upstream) []candidate {
	for _, u := range pool {
		if p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == affinity))
		}
	}
	return list
}

// fallbackCandidates returns the upstreams that may execute the ticket, including those that
// this VM itself considers unresponsive. If no other upstream is left, it is more likely that
// this assessment is wrong than that every upstream is down.
func (p *Placer) fallbackCandidates(now time.Time, ticket request.Ticket) []candidate {
	var list []candidate
	for _, u := range p.upstreamsByPool[ticket.Pool] {
		if p.permitted(now, u, ticket) && u.health.available(now) {
			list = append(list, p.assess(now, u, ticket, false))
		}
	}
	return list
}

// usable reports whether an upstream may execute the ticket.
func (p *Placer) usable(now time.Time, u *upstream, ticket request.Ticket) bool {
	return p.permitted(now, u, ticket) && u.health.available(now) && !u.unresponsive(now)
}

// permitted reports whether the configuration, the ticket, the upstream's advice and its limits
// permit an upstream. It disregards what this VM itself has observed of the upstream.
func (p *Placer) permitted(now time.Time, u *upstream, ticket request.Ticket) bool {
	if !p.allowed(u, ticket) || u.advice.declines(now) {
		return false
	}
	return p.withinBounds(now, u)
}

// allowed reports whether the configuration and the ticket allow an upstream.
func (p *Placer) allowed(u *upstream, ticket request.Ticket) bool {
	switch {
	case u.Draining, p.config.UpstreamOut(u.Upstream):
		return false
	case ticket.Avoid == u.ID, slices.Contains(ticket.Avoided, u.ID):
		return false
	case ticket.Regions != nil && !slices.Contains(ticket.Regions, u.region):
		return false
	case !ticket.Rule.Permits(u.Software, u.ID):
		return false
	case ticket.Software != "":
		return u.Software == ticket.Software
	case ticket.Resumable && p.streamVersions != nil:
		return slices.Contains(p.streamVersions[u.Pool], u.Software)
	}
	return true
}

func (p *Placer) region() version.RegionID { return p.options.Regions[p.options.DataCentre] }

func sortByID(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
}
