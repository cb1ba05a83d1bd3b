package placement

import (
	"cmp"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// baseTTFB is the TTFB of an empty prompt at an idle engine.
	baseTTFB = 60 * time.Millisecond
	// prefillRateFactor is the rate at which engines prefill prompts while other requests
	// generate, relative to the token rate of the fleet in the configuration, which counts
	// generated tokens too.
	prefillRateFactor = 1.7
	// defaultPrefillRate is the rate at which an engine prefills, in tokens per second, if the
	// configuration sets no token rate.
	defaultPrefillRate = 50_000
	// defaultOutputTokens is the expected number of generated tokens if the request gives
	// neither a limit nor a hint.
	defaultOutputTokens = 128
	// crossRegionLatency and crossCentreLatency are the network latencies assumed between data
	// centres of different regions and of one region, one way.
	crossRegionLatency = 8 * time.Millisecond
	crossCentreLatency = time.Millisecond
	// crossRegionByteCost is the score penalty for each body byte that leaves the region.
	crossRegionByteCost = 400 * time.Nanosecond
	// uncachedTokenCost is the score penalty, beyond the time to prefill, for each token of a
	// shared segment that the engine has not cached while another engine has. It makes a
	// prompt wait at its affinity upstream rather than displace other segments elsewhere.
	uncachedTokenCost = 80 * time.Microsecond
	// failurePenalty is the score penalty at a failure rate of 1.
	failurePenalty = 2 * time.Second
	// plainServiceTime is the expected duration of a call to a plain HTTP service.
	plainServiceTime = 60 * time.Millisecond
	// maxBatchFraction and maxKVFraction are the fractions of an engine's batch and KV cache
	// up to which requests are placed there.
	maxBatchFraction = 0.95
	maxKVFraction    = 0.9
)

// assess predicts the TTFB of a request at an upstream and scores the upstream. affinity is
// set for the first affinity upstream of the prompt.
func (p *Placer) assess(now time.Time, u *upstream, ticket request.Ticket, affinity bool) candidate {
	c := candidate{upstream: u, affinity: affinity, networkTime: p.networkLatency(u)}
	slowdown := u.slownessAt(now)
	c.slowness = slowdown
	if u.pool.Engine != nil {
		c.uncachedTokens = u.countUncached(ticket, affinity && u.cacheTrusted(now))
		prefillNanoseconds := float64(c.uncachedTokens) / p.prefillRate(u.pool) * float64(time.Second)
		c.prefillTime = time.Duration(prefillNanoseconds * slowdown)
		c.queueTime = p.queueTime(now, u, slowdown)
		c.overheadTime = time.Duration(float64(baseTTFB) * slowdown)
		c.ttfb = c.queueTime + c.prefillTime + c.overheadTime + c.networkTime
		c.idleTTFB = time.Duration(prefillNanoseconds) + baseTTFB + c.networkTime
		ownNanoseconds := float64(promptTokens(ticket)-sharedTokens(ticket.Prompt)) / p.prefillRate(u.pool) * float64(time.Second)
		c.minTTFB = time.Duration(ownNanoseconds*slowdown) + c.overheadTime + c.networkTime
		c.atCapacity = u.engineAtCapacity(now, ticket)
		c.cachedFraction = 1
		if shared := sharedTokens(ticket.Prompt); shared > 0 && !affinity {
			uncachedShared := max(c.uncachedTokens-(ticket.Prompt.Tokens-shared), 0)
			c.cachedFraction = 1 - float64(uncachedShared)/float64(shared)
			c.penalties.uncached = time.Duration(uncachedShared) * uncachedTokenCost
		}
	} else {
		excess := u.running(now) + 1 - u.slots()
		c.overheadTime = time.Duration(float64(plainServiceTime) * slowdown)
		c.idleTTFB = plainServiceTime + c.networkTime
		if excess > 0 {
			c.queueTime = time.Duration(float64(excess) / float64(u.slots()) * float64(plainServiceTime) * slowdown)
		}
		c.ttfb = c.overheadTime + c.networkTime + c.queueTime
		c.atCapacity = excess > u.slots()
		// Among idle upstreams the least loaded one is preferred.
		c.penalties.load = time.Duration(float64(u.running(now)) / float64(u.slots()) * float64(plainServiceTime) * u.pace.factor(now))
	}
	c.penalties.failures = time.Duration(u.health.failureRate * float64(failurePenalty))
	if u.region != p.region() {
		c.penalties.region = time.Duration(ticket.BodyBytes) * crossRegionByteCost
	}
	c.score = c.ttfb + c.penalties.sum()
	return c
}

// queueTime predicts how long an engine takes to prefill the prompts that were sent to it
// before. It does not exceed the time to prefill all prompts that have no first byte yet. The
// prompts that other VMs have sent since their last reports are added.
func (p *Placer) queueTime(now time.Time, u *upstream, slowdown float64) time.Duration {
	perToken := slowdown * float64(time.Second) / p.prefillRate(u.pool)
	queued := max(u.prefillDoneAt.Sub(now), 0)
	pending := time.Duration(float64(u.pendingPrefill+u.peerLoad(now).pendingPrefill) * perToken)
	return min(queued, pending) + time.Duration(u.peerPrefill.unreported(now)*perToken)
}

// engineAtCapacity reports whether the engine's batch or KV cache is used up.
func (u *upstream) engineAtCapacity(now time.Time, ticket request.Ticket) bool {
	engine := u.pool.Engine
	if float64(u.running(now)+1) > maxBatchFraction*float64(engine.BatchSize) {
		return true
	}
	need := promptTokens(ticket) + outputTokens(ticket)
	return float64(u.kvTokens+u.peerLoad(now).kvTokens+need) > maxKVFraction*float64(engine.KVTokens)
}

// countUncached returns the number of prompt tokens that the engine has to prefill. Other VMs
// send prompts with the same shared segments to their affinity upstream too, so with
// cacheTrusted the shared segments are assumed to be cached.
func (u *upstream) countUncached(ticket request.Ticket, cacheTrusted bool) int {
	if ticket.Prompt == nil {
		return ticket.BodyBytes / request.BytesPerToken
	}
	cached := u.cache.cachedTokens(ticket.Prompt.Segments)
	if cacheTrusted {
		cached = max(cached, sharedTokens(ticket.Prompt))
	}
	return max(ticket.Prompt.Tokens-cached, 0)
}

// prefillRate returns the prompt tokens per second that an engine of the pool prefills.
func (p *Placer) prefillRate(pool *version.Pool) float64 {
	engines := cmp.Or(p.ruledEngines[pool.ID], len(p.upstreamsByPool[pool.ID]))
	if p.config.Limits.TokensPerSecond <= 0 || engines == 0 {
		return defaultPrefillRate
	}
	return prefillRateFactor * p.config.Limits.TokensPerSecond / float64(max(engines, 1))
}

// networkLatency returns the network latency of a request and its answer together.
func (p *Placer) networkLatency(u *upstream) time.Duration {
	switch {
	case u.region != p.region():
		return 2 * crossRegionLatency
	case u.DataCentre != p.options.DataCentre:
		return 2 * crossCentreLatency
	}
	return 0
}

// sharedTokens returns the number of tokens in the prompt's shared segments: all but the last
// one.
func sharedTokens(prompt *request.Prompt) int {
	if prompt == nil {
		return 0
	}
	total := 0
	for _, segment := range prompt.Segments[:max(len(prompt.Segments)-1, 0)] {
		total += segment.Tokens
	}
	return total
}

// promptTokens returns the prompt's length in tokens, estimated from the body size if the
// prompt is unknown.
func promptTokens(ticket request.Ticket) int {
	if ticket.Prompt == nil {
		return ticket.BodyBytes / request.BytesPerToken
	}
	return ticket.Prompt.Tokens
}

// outputTokens returns the expected number of generated tokens.
func outputTokens(ticket request.Ticket) int {
	switch {
	case ticket.Prompt == nil:
		return defaultOutputTokens
	case ticket.Prompt.OutputHint > 0:
		return min(ticket.Prompt.OutputHint, ticket.Prompt.MaxOutput)
	}
	return ticket.Prompt.MaxOutput
}

// cost returns the cost of a request in weighted tokens: a prompt token counts once and a
// generated token twice.
func cost(ticket request.Ticket) float64 {
	return float64(promptTokens(ticket) + 2*outputTokens(ticket))
}
