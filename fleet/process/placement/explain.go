package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/balance"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// MaxExplained is the number of upstreams that an explanation describes. It bounds the answer and
// the time that the decisions of requests wait for it; a larger pool is described in part.
const MaxExplained = 256

// Explanation tells where a request would go now, and why.
type Explanation struct {
	// Chosen is the upstream that the request would be sent to; 0 if it would be refused.
	Chosen version.UpstreamID
	// PredictedTTFB is the predicted time to first byte at the chosen upstream.
	PredictedTTFB time.Duration
	// Refusal is the refusal that the request would get; nil if it would be sent.
	Refusal *request.Refusal
	// Rule is the software rule that the decision keeps to.
	Rule request.SoftwareRule
	// ShareUsed is what the account was granted lately, relative to its fair share, and OfHighest the
	// same relative to the account that was granted most, 0 to 1. What was granted fades within
	// ShareWindow.
	ShareUsed, OfHighest float64
	ShareWindow          time.Duration
	// LastResort is set if only upstreams that this VM considers unresponsive were left.
	LastResort bool
	// Upstreams are the upstreams of the pool: the considered ones in the order of preference, then
	// the others by name. The chosen one is not the first if it was drawn. Omitted is the number of those that are not described.
	Upstreams []UpstreamExplanation
	Omitted   int
}

// UpstreamExplanation tells what the decision made of one upstream.
type UpstreamExplanation struct {
	Upstream version.UpstreamID
	Name     string
	Software string
	// Excluded is why the upstream was not considered; empty if it was. The costs are predicted in
	// either case.
	Excluded Exclusion
	// ExcludedFor is how long the exclusion lasts at most; 0 if that is not known.
	ExcludedFor time.Duration
	// Affinity is set for the preferred upstream of the prompt's shared segments.
	Affinity bool
	// AtCapacity is set if the upstream has no capacity for the request.
	AtCapacity bool
	// Chance is the probability, 0 to 1, with which a request like this is drawn for the upstream; 0 if
	// nothing was drawn and the lowest score decided.
	Chance float64
	// TTFB is the predicted time to first byte: the sum of Queue, Prefill, Overhead and Network.
	// Overhead is what an idle upstream takes for an empty prompt or a plain call.
	TTFB, Queue, Prefill, Overhead, Network time.Duration
	UncachedTokens                          int
	// TTFBLimit is the highest TTFB with which the account's request is admitted here; 0 if the
	// upstream was not considered or there is no limit.
	TTFBLimit time.Duration
	// Score is TTFB and the penalties; the lowest one is chosen among the admitted upstreams, unless
	// one of them is drawn.
	// UncachedPenalty is for shared segments that other engines have cached, FailurePenalty for
	// recent failures, RegionPenalty for bytes that leave the region, LoadPenalty for requests that
	// a plain service executes.
	Score, UncachedPenalty, FailurePenalty, RegionPenalty, LoadPenalty time.Duration
	// Slowness is the factor by which work takes longer than at a usual upstream, as measured and
	// reported. PacePercent is the newest reported pace; 0 if there is none. PaceAge is its age.
	Slowness    float64
	PacePercent int
	PaceAge     time.Duration
	// Own is the number of requests of this VM at the upstream, Peers the number of those that other
	// VMs report. PeerAge is the age of the oldest of these reports; unset without a report.
	Own, Peers int
	PeerAge    *time.Duration
	// Load is what the upstream reported of its load with an answer to this VM, LoadAge ago; unset if
	// it has reported none.
	Load    request.Load
	LoadAge *time.Duration
	// Limits are the bounds on the requests of this VM to the upstream: the limit of a cold upstream,
	// and the limit that it names.
	Limits []BoundExplanation
}

// BoundExplanation is a bound on the requests of this VM to an upstream.
type BoundExplanation struct {
	Kind   Exclusion
	Window time.Duration
	// Sent is the number of requests that this VM sent in the last window, Quota the number that it
	// may send in any.
	Sent, Quota int
	// Age is the time since the limit was observed; 0 for a cold upstream.
	Age time.Duration
}

// Explain tells where Place would send the ticket now, and changes nothing of what later calls
// return. It asks the same decision as Place.
func (p *Placer) Explain(now time.Time, ticket request.Ticket) Explanation {
	defer p.preserve(now, ticket)()
	d := p.decide(now, ticket)
	e := Explanation{
		Refusal: d.refusal, Rule: d.rule, ShareUsed: d.usage.shareUsed, OfHighest: d.usage.ofHighest,
		ShareWindow: p.usage.window, LastResort: d.lastResort,
	}
	if d.refusal == nil {
		e.Chosen, e.PredictedTTFB = d.best.ID, d.best.ttfb
	}
	if p.config == nil {
		return e
	}
	chances := make(map[version.UpstreamID]float64, len(d.choices))
	for i, chance := range balance.Chances(d.choices, d.unseen) {
		chances[d.candidates[d.choices[i].Index].ID] = chance
	}
	// The decision's candidates are in memory that the next decision uses.
	considered := slices.Clone(d.candidates)
	slices.SortStableFunc(considered, compareCandidates)
	isConsidered := make(map[version.UpstreamID]bool, len(considered))
	for _, c := range considered {
		isConsidered[c.ID] = true
		if len(e.Upstreams) < MaxExplained {
			described := p.describe(now, c, "")
			described.Chance = chances[c.ID]
			e.Upstreams = append(e.Upstreams, described)
		}
	}
	ticket.Rule = d.rule
	p.appendExcluded(now, &e, ticket, d, isConsidered)
	e.Omitted = len(p.upstreamsByPool[ticket.Pool]) - len(e.Upstreams)
	return e
}

// appendExcluded appends the upstreams of the pool that the decision did not consider.
func (p *Placer) appendExcluded(now time.Time, e *Explanation, ticket request.Ticket, d decision, isConsidered map[version.UpstreamID]bool) {
	first := len(e.Upstreams)
	preferred := p.affinityUpstreams(ticket)[0]
	for _, u := range p.upstreamsByPool[ticket.Pool] {
		if isConsidered[u.ID] {
			continue
		}
		if len(e.Upstreams) >= MaxExplained {
			break
		}
		why := p.exclusion(now, u, ticket)
		switch {
		case why != "":
		case d.limitsReserved && u.advice.named():
			why = ExcludedReserved
		default:
			why = ExcludedNotSampled
		}
		e.Upstreams = append(e.Upstreams, p.describe(now, p.assess(now, u, ticket, u == preferred), why))
	}
	slices.SortFunc(e.Upstreams[first:], func(a, b UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Upstream, b.Upstream))
	})
}

// describe describes a candidate, or an upstream that was excluded.
func (p *Placer) describe(now time.Time, c candidate, why Exclusion) UpstreamExplanation {
	u := c.upstream
	e := UpstreamExplanation{
		Upstream: u.ID, Name: u.Name, Software: u.Software, Excluded: why, ExcludedFor: u.excludedFor(now, why),
		Affinity: c.affinity, AtCapacity: c.atCapacity,
		TTFB: c.ttfb, Queue: c.queueTime, Prefill: c.prefillTime, Overhead: c.overheadTime, Network: c.networkTime,
		UncachedTokens: c.uncachedTokens, Score: c.score, UncachedPenalty: c.penalties.uncached,
		FailurePenalty: c.penalties.failures, RegionPenalty: c.penalties.region, LoadPenalty: c.penalties.load,
		Slowness: c.slowness, Own: len(u.inFlight), Peers: u.peerLoad(now).running,
	}
	if c.ttfbLimit < unlimitedTTFB {
		e.TTFBLimit = c.ttfbLimit
	}
	if u.pace.reported > 0 {
		e.PacePercent, e.PaceAge = int(100*u.pace.reported+0.5), now.Sub(u.pace.reportedAt)
	}
	for _, load := range u.peerLoads {
		if age := now.Sub(load.receivedAt); e.PeerAge == nil || age > *e.PeerAge {
			e.PeerAge = &age
		}
	}
	if !u.reportedAt.IsZero() {
		age := now.Sub(u.reportedAt)
		e.Load, e.LoadAge = u.reportedLoad, &age
	}
	list, count := p.bounds(now, u)
	for _, b := range list[:count] {
		limit := BoundExplanation{Kind: b.exceeded, Window: b.window, Sent: u.sends.Within(now, b.window), Quota: b.requests}
		if b.exceeded == ExcludedNamedLimit {
			limit.Age = now.Sub(u.advice.limit.ObservedAt)
		}
		e.Limits = append(e.Limits, limit)
	}
	return e
}

// excludedFor returns how long an exclusion lasts at most; 0 if that is not known.
func (u *upstream) excludedFor(now time.Time, why Exclusion) time.Duration {
	switch why {
	case ExcludedPaused:
		return u.advice.pausedUntil.Sub(now)
	case ExcludedUnhealthy:
		return u.health.ejectedUntil.Sub(now)
	}
	return 0
}

// preserve returns a function that undoes what deciding a ticket at the same time changes: the usage
// of the account and what is derived from it, the measured demand, the state of long prompts and of
// displaced ones, the random source, the sum of limit reports and the engines that a rule leaves.
// Other changes only drop what has expired.
func (p *Placer) preserve(now time.Time, ticket request.Ticket) func() {
	// A random source that does not exist yet is created in its first state.
	p.rand()
	usage, demand, longPrompts := p.usage.byAccount[ticket.Account], p.demand[ticket.Pool], p.longPrompts[ticket.Pool]
	displaced := p.displaced[ticket.Pool]
	restoreUsage, restoreDemand, restoreLong := preserved(usage), preserved(demand), preserved(longPrompts)
	restoreDisplaced, restoreRandom := preserved(displaced), preserved(p.randomState)
	levels, computedAt := p.usage.shareLevels, p.usage.computedAt
	limitSum := p.limitSum
	engines, ruled := p.ruledEngines[ticket.Pool]
	return func() {
		restoreUsage()
		restoreDemand()
		restoreLong()
		restoreDisplaced()
		restoreRandom()
		if usage == nil {
			delete(p.usage.byAccount, ticket.Account)
		}
		if demand == nil {
			delete(p.demand, ticket.Pool)
		}
		if longPrompts == nil {
			delete(p.longPrompts, ticket.Pool)
		}
		if displaced == nil {
			delete(p.displaced, ticket.Pool)
		}
		p.usage.shareLevels, p.usage.computedAt = levels, computedAt
		p.limitSum = limitSum
		delete(p.ruledEngines, ticket.Pool)
		if ruled {
			p.ruledEngines[ticket.Pool] = engines
		}
	}
}

// preserved returns a function that restores the present value of *state, which may be nil.
func preserved[T any](state *T) func() {
	if state == nil {
		return func() {}
	}
	value := *state
	return func() { *state = value }
}
