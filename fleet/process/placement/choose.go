package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/balance"
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
	// overheadTime is the part of ttfb that an idle upstream takes for an empty prompt or a plain
	// call, without networkTime.
	overheadTime time.Duration
	networkTime  time.Duration
	// penalties are what score adds to ttfb.
	penalties penalties
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

// penalties are the parts of a score that are not time to first byte.
type penalties struct {
	// uncached is for shared segments that other engines have cached, failures for recent failures,
	// region for bytes that leave the region, and load for requests at a plain service.
	uncached, failures, region, load time.Duration
}

func (s penalties) sum() time.Duration { return s.uncached + s.failures + s.region + s.load }

// decision is the outcome of a choice, with what it was made from.
type decision struct {
	best    candidate
	refusal *request.Refusal
	// rule is the software rule that the decision keeps to.
	rule request.SoftwareRule
	// candidates are the upstreams that were compared. They are valid until the next decision.
	candidates []candidate
	usage      relativeUsage
	// limitsReserved is set if upstreams that name limits were left to other accounts.
	limitsReserved bool
	// choices are those among which best was drawn, with the number of requests that others have sent
	// there and not reported, if that is above 0. They are valid until the next decision.
	choices []balance.Choice
	unseen  float64
	// lastResort is set if upstreams that this VM considers unresponsive were compared, because no
	// other was left.
	lastResort bool
}

// choose decides where a ticket goes. A ticket for the canary of a software version goes to another
// version if no canary takes it.
func (p *Placer) choose(now time.Time, ticket request.Ticket) decision {
	if fallback, present := ticket.Rule.Fallback(); present {
		if d := p.chooseByRule(now, ticket); d.refusal == nil && !d.best.atCapacity {
			return d
		}
		ticket.Rule = fallback
	}
	return p.chooseByRule(now, ticket)
}

// chooseByRule decides at which of the upstreams that the ticket's rule allows the ticket goes.
func (p *Placer) chooseByRule(now time.Time, ticket request.Ticket) decision {
	d := decision{rule: ticket.Rule}
	if p.config == nil {
		d.refusal = &request.Refusal{Reason: request.ReasonNotReady, Execution: request.NotExecuted}
		return d
	}
	d.usage = p.usage.relativeUsage(now, ticket.Account)
	candidates := p.candidates(now, ticket)
	isCanary := ticket.Rule.Among != nil
	if len(candidates) == 0 && !isCanary {
		candidates = p.fallbackCandidates(now, ticket)
		d.lastResort = len(candidates) > 0
	}
	if len(candidates) == 0 {
		d.refusal = p.noCandidate(now, ticket)
		return d
	}
	if ticket.Attempt <= 1 && p.limitsReservedFor(now, ticket.Pool, d.usage) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.advice.named() })
		d.limitsReserved = true
		if len(candidates) == 0 {
			d.refusal = p.limitsReserved(now, ticket, d.usage.shareUsed)
			return d
		}
	}
	longPrompts, long, slack := p.longPromptsOf(ticket.Pool), p.isLong(candidates[0].pool, ticket), 0.0
	if long {
		slack = longPrompts.slack
	}
	for i := range candidates {
		candidates[i].ttfbLimit = ttfbLimit(ticket, candidates[i], d.usage, slack)
	}
	d.candidates = candidates
	d.best = slices.MinFunc(candidates, compareCandidates)
	p.recordDisplaced(ticket, d.best)
	p.spread(now, &d)
	d.refusal = p.admit(ticket, d.best, d.usage)
	if ticket.Attempt <= 1 && d.usage.shareUsed <= 1 && (d.refusal == nil || !isCanary) {
		longPrompts.record(long, d.refusal == nil)
	}
	return d
}

// compareCandidates orders the better candidate first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.score, b.score))
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

// noCandidate returns the refusal for a ticket that no upstream may execute. Of a pause and a limit it
// names the one that ends first.
func (p *Placer) noCandidate(now time.Time, ticket request.Ticket) *request.Refusal {
	pause, paused := p.remainingPause(now, ticket)
	limit, limited := p.remainingLimit(now, ticket)
	switch {
	case paused && (!limited || pause <= limit):
		refusal := &request.Refusal{
			Reason: request.ReasonUpstreamRefused, Execution: request.NotExecuted, RetryAfter: pause,
			Detail: "every upstream has asked for a pause",
		}
		if limited {
			refusal.Detail = "every upstream that is below the limit it has named has asked for a pause"
		}
		return refusal
	case limited:
		refusal := &request.Refusal{
			Reason: request.ReasonQueueFull, Execution: request.NotExecuted, RetryAfter: limit,
			Detail: "every upstream gets as many requests as it has named",
		}
		if paused {
			refusal.Detail = "every upstream that has not asked for a pause gets as many requests as it has named"
		}
		return refusal
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

func (p *Placer) region() version.RegionID { return p.options.Regions[p.options.DataCentre] }

func sortByID(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
}
