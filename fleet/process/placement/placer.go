// Package placement selects the upstream for each request, or refuses the request if no
// upstream can answer in time. It predicts the time to first byte (TTFB) at each upstream from
// the work already sent there and from the prompt segments that the engine has cached.
//
// A Placer does no I/O and reads no clock: the caller passes in the time.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/balance"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// peerLoadTTL is how long the load that another VM reported is used.
const peerLoadTTL = 800 * time.Millisecond

// Options configure a Placer.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Regions maps every data centre to its region.
	Regions map[version.DataCentreID]version.RegionID
	// ColdOverage and ColdSlack relax the limit on the request rate that a cold upstream gets
	// from all VMs together: ColdOverage is a factor, ColdSlack is added, in requests in any
	// second.
	ColdOverage float64
	ColdSlack   float64
	// ShareWindow is the period over which the usage of accounts is compared; 0 selects
	// defaultShareWindow.
	ShareWindow time.Duration
}

// Placer places the requests of one VM. It is not safe for concurrent use.
type Placer struct {
	options         Options
	config          *version.Config
	upstreams       map[version.UpstreamID]*upstream
	upstreamsByPool map[version.PoolID][]*upstream
	// members are the VMs that share the rate limits of cold upstreams.
	members []version.VMID
	// joinedAt is when this VM became a member; zero while it is not one. hasLeft is set once
	// it has given up its fraction of the limits.
	joinedAt time.Time
	hasLeft  bool
	// departed are the VMs that have left the members recently; departedAt is when the last of
	// them left.
	departed   []version.VMID
	departedAt time.Time
	usage      *usageTracker
	peerTotals map[version.VMID]*reportTotals
	// advice holds the drain advice and the pauses that upstreams have sent in their answers.
	advice  map[version.UpstreamID]*adviceState
	notices []Notice
	// demand measures the requests of callers, by pool.
	demand map[version.PoolID]*demandMeter
	// peerLimits are the limit reports of other VMs, by scope.
	peerLimits map[string]peerLimits
	// limitSum is their sum, as of its time.
	limitSum peerLimits
	// longPrompts holds the admission state of long prompts, by pool.
	longPrompts map[version.PoolID]*longPromptState
	// scratch is the candidate list, reused by each decision.
	scratch []candidate
	// streamVersions are the software versions, by pool, at which streams may begin that callers may
	// take up again; nil allows all.
	streamVersions map[version.PoolID][]string
	// choices is the list of choices among candidates, reused by each decision.
	choices []balance.Choice
	// displaced holds the state of prompts that leave their affinity upstreams, by pool.
	displaced map[version.PoolID]*displaced
	// random and its state are created by rand.
	random      *rand.Rand
	randomState *rand.PCG
	// ruledEngines is the number of upstreams of a pool that software rules leave to the requests;
	// a pool without a rule has none. ruled is scratch space for the list of them.
	ruledEngines map[version.PoolID]int
	ruled        []*upstream
}

// New returns a placer without a configuration. It refuses every request until Configure is
// called.
func New(options Options) *Placer {
	return &Placer{
		options:         options,
		upstreams:       make(map[version.UpstreamID]*upstream),
		upstreamsByPool: make(map[version.PoolID][]*upstream),
		usage:           newUsageTracker(options.ShareWindow),
		peerTotals:      make(map[version.VMID]*reportTotals),
		advice:          make(map[version.UpstreamID]*adviceState),
		demand:          make(map[version.PoolID]*demandMeter),
		peerLimits:      make(map[string]peerLimits),
		displaced:       make(map[version.PoolID]*displaced),
		longPrompts:     make(map[version.PoolID]*longPromptState),
		ruledEngines:    make(map[version.PoolID]int),
	}
}

// Configure applies a configuration with its upstreams. The state of upstreams that were
// configured before is kept.
func (p *Placer) Configure(now time.Time, config *version.Config) {
	p.config = config
	p.usage.tokensPerSecond = config.Limits.TokensPerSecond
	clear(p.upstreamsByPool)
	// replaced holds the upstreams that are no longer configured, by name.
	replaced := make(map[string]*upstream)
	for id, u := range p.upstreams {
		if _, present := config.Upstreams[id]; present {
			continue
		}
		if other := replaced[u.Name]; other == nil || other.firstWorkAt.Before(u.firstWorkAt) {
			replaced[u.Name] = u
		}
		if len(u.inFlight) == 0 {
			if u.advice != nil {
				u.advice.sends = u.sends
			}
			delete(p.upstreams, id)
		}
	}
	for id, spec := range config.Upstreams {
		pool, present := config.Pools[spec.Pool]
		if !present {
			continue
		}
		u := p.upstreams[id]
		if u == nil {
			u = newUpstream(spec, pool, p.options.Regions[spec.DataCentre])
			if u.advice = p.advice[id]; u.advice != nil {
				u.sends = u.advice.sends.Clone()
			}
			if before := replaced[spec.Name]; before != nil {
				// An upstream that restarts under its name may have got requests that were
				// meant for its last incarnation.
				u.sends = before.sends.Clone()
			}
			p.upstreams[id] = u
		}
		u.Upstream, u.pool = spec, pool
		u.cold.until = later(u.cold.until, spec.ColdUntil)
		p.upstreamsByPool[pool.ID] = append(p.upstreamsByPool[pool.ID], u)
	}
	for _, pool := range p.upstreamsByPool {
		sortByID(pool)
	}
	p.expireAdvice(now)
}

// SetStreamVersions sets the software versions, by pool, at which streams may begin that callers
// may take up again.
func (p *Placer) SetStreamVersions(versions map[version.PoolID][]string) { p.streamVersions = versions }

// SetMembers sets the VMs that share the rate limits of cold upstreams.
func (p *Placer) SetMembers(now time.Time, members []version.VMID) {
	if now.Sub(p.departedAt) >= coldWindow {
		p.departed = nil
	}
	for _, vm := range p.members {
		if !slices.Contains(members, vm) && !slices.Contains(p.departed, vm) {
			p.departed, p.departedAt = append(p.departed, vm), now
		}
	}
	p.departed = slices.DeleteFunc(p.departed, func(vm version.VMID) bool { return slices.Contains(members, vm) })
	p.members = members
	switch present := slices.Contains(members, p.options.VM); {
	case !present:
		p.joinedAt = time.Time{}
	case p.joinedAt.IsZero():
		p.joinedAt = now
	}
}

// Leave gives up this VM's fraction of the rate limits of cold upstreams. The other VMs take
// it over once they learn that this VM has left.
func (p *Placer) Leave() { p.hasLeft = true }

// UpstreamCount returns the number of upstreams for which the placer holds state.
func (p *Placer) UpstreamCount() int { return len(p.upstreams) }

// Place grants the ticket an upstream or refuses the ticket. The grant is valid if the refusal
// is nil.
func (p *Placer) Place(now time.Time, ticket request.Ticket) (request.Grant, *request.Refusal) {
	d := p.decide(now, ticket)
	if d.refusal != nil {
		if ticket.Attempt <= 1 && d.usage.shareUsed < 1 {
			p.usage.recordRefusal(now, ticket.Account, cost(ticket))
		}
		return request.Grant{}, d.refusal
	}
	best := d.best
	u := best.upstream
	a := &attempt{
		ticket:             ticket,
		sentAt:             now,
		predictedFirstByte: now.Add(best.ttfb),
		pace:               u.pace.current(now),
		paceFactor:         u.pace.factor(now),
		uncachedTokens:     best.uncachedTokens,
	}
	u.addAttempt(a)
	p.recordUse(now, u)
	u.sends.Record(now)
	if u.cache != nil {
		u.prefillDoneAt = later(u.prefillDoneAt, now).Add(best.prefillTime)
		u.prefillTotal += uint64(best.uncachedTokens)
		if ticket.Prompt != nil {
			u.cache.insert(ticket.Prompt.Segments)
		}
	}
	p.usage.recordGrant(now, ticket.Account, cost(ticket))
	return request.Grant{
		ID:                   ticket.ID,
		Attempt:              ticket.Attempt,
		Pool:                 ticket.Pool,
		Upstream:             u.ID,
		PredictedTTFB:        best.ttfb,
		IdleTTFB:             best.idleTTFB,
		UncachedPromptTokens: best.uncachedTokens,
	}, nil
}

// decide counts a request that is new here, and decides where it goes.
func (p *Placer) decide(now time.Time, ticket request.Ticket) decision {
	if ticket.Attempt <= 1 {
		p.RecordRequest(now, ticket)
		// What was turned away, or is refused before it is placed, uses nothing of limited upstreams.
		p.demandOf(ticket.Pool).record(now, p.usage.entitledFraction(now, ticket.Account, 1+ticket.TurnedAway))
	}
	return p.choose(now, ticket)
}

// RecordRequest counts a request that is new here, with those that were turned away before it, in the
// demand of its account. It is for requests that are refused before they are placed; Place calls it
// for the others.
func (p *Placer) RecordRequest(now time.Time, ticket request.Ticket) {
	p.usage.recordRequest(now, ticket.Account, float64(1+ticket.TurnedAway)*cost(ticket))
}

// maxTrustedLag is the scheduling lag of this VM up to which its measurements are attributed
// to upstreams.
const maxTrustedLag = 5 * time.Millisecond

// RecordLoad records the load that an upstream reported with an answer.
func (p *Placer) RecordLoad(now time.Time, id version.UpstreamID, load request.Load) {
	if u := p.upstreams[id]; u != nil {
		u.reportedLoad, u.reportedAt = load, now
		if load.PacePercent > 0 {
			u.pace.heardPercent, u.pace.heardAt = load.PacePercent, now
			u.recordPace(now, now, load.PacePercent)
		}
	}
}

// RecordFirstByte records that the first event of a stream, or the head of another answer, has been
// received. event is set for an event: a head alone does not show that the upstream can answer.
// lag is the scheduling lag of this VM.
func (p *Placer) RecordFirstByte(now time.Time, id request.ID, upstreamID version.UpstreamID, event bool, lag time.Duration) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return
	}
	a := u.inFlight[id]
	if a == nil || a.gotFirstByte {
		return
	}
	u.recordFirstByte(a)
	if u.cold.onReturn {
		u.cold.onReturn = false
		u.cold.until = later(u.cold.until, now.Add(u.pool.SlowStart.ColdTime))
	}
	if lag <= maxTrustedLag {
		u.updatePrediction(now, a, p.networkLatency(u))
	}
	if event {
		u.health.recordSuccess()
	}
}

// RecordOutcome records the outcome of an attempt.
func (p *Placer) RecordOutcome(now time.Time, finish request.Finish) {
	u := p.upstreams[finish.Upstream]
	if u == nil {
		return
	}
	a := u.inFlight[finish.ID]
	if a != nil {
		u.removeAttempt(a)
	}
	switch finish.Outcome {
	case request.OutcomeDone:
		u.health.recordSuccess()
	case request.OutcomeBroken:
		u.health.recordFailure(now)
	case request.OutcomeUnreachable:
		p.unreachable(now, u)
	case request.OutcomeRefused:
		u.health.recordFailure(now)
		if a != nil && u.cache != nil {
			u.prefillDoneAt = u.prefillDoneAt.Add(-a.predictedFirstByte.Sub(a.sentAt))
		}
	}
	if u.pendingPrefill == 0 && u.peerLoad(now).pendingPrefill == 0 {
		u.prefillDoneAt = earlier(u.prefillDoneAt, now)
	}
}

// RecordCrash records that an upstream has crashed. It gets nothing for a moment, and when it is
// back it is cold, which its registration may report only later.
func (p *Placer) RecordCrash(now time.Time, id version.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.health.eject(now)
	u.cold.onReturn = u.pool.SlowStart.ColdTime > 0
}

// unreachable ejects an upstream that accepted no connection. When the upstream is back it may
// be cold, which its registration reports only later.
func (p *Placer) unreachable(now time.Time, u *upstream) {
	u.health.recordUnreachable(now)
	if coldTime := u.pool.SlowStart.ColdTime; coldTime > 0 {
		u.cold.until = later(u.cold.until, u.health.ejectedUntil.Add(coldTime))
	}
}

// decay returns the fraction of an amount that remains after age if it halves every halfLife.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
