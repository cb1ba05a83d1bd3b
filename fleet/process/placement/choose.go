package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// firstTokenTime is how long an idle engine takes to answer an empty prompt.
	firstTokenTime = 60 * time.Millisecond
	// readShare is the part of an engine's work that goes into reading prompts
	// while others generate, relative to the rate of the fleet that the
	// configuration tells, which counts generated tokens too.
	readShare = 1.7
	// defaultReadRate is the tokens a second that an engine reads if the
	// configuration tells nothing.
	defaultReadRate = 50_000
	// defaultOutput is the generated tokens expected without a bound or a hint.
	defaultOutput = 128
	// crossRegionTime and crossCentreTime are the one-way times that are
	// assumed between data centres.
	crossRegionTime = 8 * time.Millisecond
	crossCentreTime = time.Millisecond
	// bytesTime makes bytes that leave the region comparable with time: so much
	// for each byte of the body.
	bytesTime = 400 * time.Nanosecond
	// rereadTime is what a token of a shared part counts as, beyond the time to
	// read it, at an engine that does not keep it while another one does. It
	// makes a prompt wait at its home rather than displace other parts elsewhere.
	rereadTime = 80 * time.Microsecond
	// homeTrustTime is how long an engine must have had work until the home of a
	// part is taken to keep it: by then other VMs have sent most parts once.
	homeTrustTime = 2 * time.Second
	// failurePenalty is what a certain failure counts as, in time.
	failurePenalty = 2 * time.Second
	// plainTime is how long a call of a plain service is expected to take.
	plainTime = 60 * time.Millisecond
	// coldShare is the part of a cold upstream's bound that is used; the rest is
	// for VMs that do not know of each other yet.
	coldShare = 0.9
	// batchShare and memoryShare are the parts of an engine's batch and memory
	// that are filled by choice.
	batchShare  = 0.95
	memoryShare = 0.9
)

// candidate is an upstream that could run a request.
type candidate struct {
	*upstream
	// begin is the predicted time until the answer begins here.
	begin time.Duration
	// read is the part of it in which the engine reads the prompt.
	read     time.Duration
	uncached int
	// score is begin with penalties; the lowest is chosen.
	score time.Duration
	// full is set if the upstream has no room for the request.
	full bool
	// home is set at the first home of the prompt's shared parts.
	home bool
	// keptShare is the part of the prompt's shared parts that the engine keeps,
	// 0 to 1; 1 at the home, which is where they are read first.
	keptShare float64
	// limit is the latest beginning with which the request is admitted here.
	limit time.Duration
}

// choose returns the best upstream for a ticket.
func (p *Placer) choose(now time.Time, ticket request.Ticket) (candidate, *request.Refusal) {
	if p.config == nil {
		return candidate{}, &request.Refusal{Reason: request.ReasonNotReady, Execution: request.NotRun}
	}
	candidates := p.candidates(now, ticket)
	if len(candidates) == 0 {
		candidates = p.suspects(now, ticket)
	}
	if len(candidates) == 0 {
		return candidate{}, &request.Refusal{
			Reason: request.ReasonNoUpstream, Execution: request.NotRun, RetryAfter: noUpstreamRetryAfter,
		}
	}
	used := p.accounts.shareUsed(now, ticket.Account)
	for i := range candidates {
		candidates[i].limit = beginLimit(ticket, candidates[i], used)
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.score, b.score))
	})
	if refusal := p.admit(ticket, best, used); refusal != nil {
		return candidate{}, refusal
	}
	return best, nil
}

// rank orders candidates before their score does: those that begin in time, then
// those that begin late, then those without room.
func (c candidate) rank() int {
	switch {
	case c.full:
		return 2
	case c.begin > c.limit:
		return 1
	}
	return 0
}

// noUpstreamRetryAfter is when to come back if no upstream may be used.
const noUpstreamRetryAfter = 500 * time.Millisecond

// candidates returns the upstreams that may run the ticket.
func (p *Placer) candidates(now time.Time, ticket request.Ticket) []candidate {
	pool := p.byPool[ticket.Pool]
	homes := p.homes(ticket)
	list := p.scratch[:0]
	defer func() { p.scratch = list }()
	if len(pool) <= sampled {
		return p.assessAll(now, list, pool, ticket, homes[0])
	}
	for _, u := range homes {
		if u != nil && p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == homes[0]))
		}
	}
	for range sampled {
		p.turn = (p.turn + sampleStep) % len(pool)
		if u := pool[p.turn]; !slices.Contains(homes[:], u) && p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, false))
		}
	}
	if len(list) == 0 {
		return p.assessAll(now, list, pool, ticket, homes[0])
	}
	return list
}

const (
	// sampled is how many upstreams of a large pool are looked at beside the
	// homes. All VMs see much the same loads; a sample keeps them from all
	// choosing the same upstream.
	sampled = 16
	// sampleStep walks through the pool in another order than its own. It is a
	// prime.
	sampleStep = 29
	// homeCount is how many upstreams are the home of a part, the first one
	// before the others.
	homeCount = 3
)

func (p *Placer) assessAll(now time.Time, list []candidate, pool []*upstream, ticket request.Ticket, home *upstream) []candidate {
	for _, u := range pool {
		if p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == home))
		}
	}
	return list
}

// suspects returns the upstreams that may run the ticket but for what this VM
// itself suspects of them. If that is all there is, the suspicion is more likely
// wrong than every upstream down.
func (p *Placer) suspects(now time.Time, ticket request.Ticket) []candidate {
	var list []candidate
	for _, u := range p.byPool[ticket.Pool] {
		if p.permitted(now, u, ticket) && u.health.ok(now) {
			list = append(list, p.assess(now, u, ticket, false))
		}
	}
	return list
}

// usable reports whether an upstream may run the ticket.
func (p *Placer) usable(now time.Time, u *upstream, ticket request.Ticket) bool {
	return p.permitted(now, u, ticket) && u.health.ok(now) && !u.silent(now)
}

// permitted reports whether others than this VM have nothing against an upstream.
func (p *Placer) permitted(now time.Time, u *upstream, ticket request.Ticket) bool {
	switch {
	case u.Draining, p.config.UpstreamOut(u.Upstream):
		return false
	case ticket.Avoid == u.ID, slices.Contains(ticket.Avoided, u.ID):
		return false
	case ticket.Regions != nil && !slices.Contains(ticket.Regions, u.region):
		return false
	}
	return !u.gate.cold(now) || u.gate.allows(now, p.coldLimit(u))
}

// coldLimit is this VM's part of what a cold upstream may get in any second.
//
// Each of the requests that may arrive in a second belongs to one VM: an even
// part to all, and what is left to those that rendezvous hashing gives for the
// upstream. So the parts of all VMs never exceed the whole.
func (p *Placer) coldLimit(u *upstream) int {
	if u.pool.SlowStart.PerSecond <= 0 {
		return math.MaxInt
	}
	bound := u.pool.SlowStart.PerSecond*p.options.ColdOverage + p.options.ColdSlack
	total := int(coldShare * bound)
	if !slices.Contains(p.members, p.options.VM) {
		// The others do not count on this VM yet.
		return 0
	}
	even, left := total/len(p.members), total%len(p.members)
	mine, before := memberRank(p.options.VM, u.ID), 0
	for _, vm := range p.members {
		if memberRank(vm, u.ID) < mine {
			before++
		}
	}
	if before < left {
		even++
	}
	return even
}

func memberRank(vm version.VMID, id version.UpstreamID) uint64 {
	return rendezvous(xxhash.Sum64String(string(vm)), id)
}

// assess predicts how a request would fare at an upstream.
func (p *Placer) assess(now time.Time, u *upstream, ticket request.Ticket, home bool) candidate {
	c := candidate{upstream: u, home: home}
	net := p.network(u)
	pace := u.currentPace(now)
	if u.pool.Engine != nil {
		c.uncached = u.unkept(ticket, home && u.trusted(now))
		read := float64(c.uncached) / p.readRate(u.pool) * float64(time.Second)
		c.read = time.Duration(read * pace)
		wait := p.wait(now, u, pace)
		c.begin = wait + c.read + time.Duration(float64(firstTokenTime)*pace) + net
		c.full = u.engineFull(now, ticket)
		c.keptShare = 1
		if shared := sharedTokens(ticket.Prompt); shared > 0 && !home {
			again := max(c.uncached-(ticket.Prompt.Tokens-shared), 0)
			c.keptShare = 1 - float64(again)/float64(shared)
			c.score += time.Duration(again) * rereadTime
		}
	} else {
		over := u.running(now) + 1 - u.slots()
		c.begin = time.Duration(float64(plainTime)*pace) + net
		if over > 0 {
			c.begin += time.Duration(float64(over) / float64(u.slots()) * float64(plainTime) * pace)
		}
		c.full = over > u.slots()
		// Of idle upstreams the least loaded is taken.
		c.score += time.Duration(float64(u.running(now)) / float64(u.slots()) * float64(plainTime))
	}
	c.score += c.begin + time.Duration(u.health.failures*float64(failurePenalty))
	if u.region != p.region() {
		c.score += time.Duration(ticket.BodyBytes) * bytesTime
	}
	return c
}

// wait predicts how long an engine reads what was sent to it before. It is not
// longer than reading everything takes whose answer has not begun.
func (p *Placer) wait(now time.Time, u *upstream, pace float64) time.Duration {
	queued := max(u.free.Sub(now), 0)
	unread := float64(u.unread+u.heard(now).unread) / p.readRate(u.pool)
	return min(queued, time.Duration(unread*pace*float64(time.Second)))
}

// engineFull reports whether the engine's batch or memory is used up.
func (u *upstream) engineFull(now time.Time, ticket request.Ticket) bool {
	engine := u.pool.Engine
	if float64(u.running(now)+1) > batchShare*float64(engine.Batch) {
		return true
	}
	need := promptTokens(ticket) + outputTokens(ticket)
	return float64(u.memory+u.heard(now).memory+need) > memoryShare*float64(engine.KVTokens)
}

// unkept returns how many tokens of the prompt the engine has to read. Other
// VMs send the prompts that share a long part to its home too, so a home that is
// trusted is taken to keep the parts.
func (u *upstream) unkept(ticket request.Ticket, trusted bool) int {
	if ticket.Prompt == nil {
		return ticket.BodyBytes / request.BytesPerToken
	}
	kept := u.cache.kept(ticket.Prompt.Parts)
	if trusted {
		kept = max(kept, sharedTokens(ticket.Prompt))
	}
	return max(ticket.Prompt.Tokens-kept, 0)
}

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
		if u.Draining || p.config.UpstreamOut(u.Upstream) {
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

// readRate is the prompt tokens a second that an engine of the pool reads.
func (p *Placer) readRate(pool *version.Pool) float64 {
	engines := len(p.byPool[pool.ID])
	if p.config.Limits.TokensPerSecond <= 0 || engines == 0 {
		return defaultReadRate
	}
	return readShare * p.config.Limits.TokensPerSecond / float64(max(engines, 1))
}

// network is the time that a request and its answer are on their way.
func (p *Placer) network(u *upstream) time.Duration {
	switch {
	case u.region != p.region():
		return 2 * crossRegionTime
	case u.DataCentre != p.options.DataCentre:
		return 2 * crossCentreTime
	}
	return 0
}

func (p *Placer) region() version.RegionID { return p.options.Regions[p.options.DataCentre] }

func sharedTokens(prompt *request.Prompt) int {
	if prompt == nil {
		return 0
	}
	total := 0
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		total += part.Tokens
	}
	return total
}

func promptTokens(ticket request.Ticket) int {
	if ticket.Prompt == nil {
		return ticket.BodyBytes / request.BytesPerToken
	}
	return ticket.Prompt.Tokens
}

func outputTokens(ticket request.Ticket) int {
	switch {
	case ticket.Prompt == nil:
		return defaultOutput
	case ticket.Prompt.OutputHint > 0:
		return min(ticket.Prompt.OutputHint, ticket.Prompt.MaxOutput)
	}
	return ticket.Prompt.MaxOutput
}

// cost is the service that a request is: a token read counts once and a token
// generated twice.
func cost(ticket request.Ticket) float64 {
	return float64(promptTokens(ticket) + 2*outputTokens(ticket))
}

func sortByID(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
}
