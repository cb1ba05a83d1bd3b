package placement

import (
	"time"

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
	// failurePenalty is what a certain failure counts as, in time.
	failurePenalty = 2 * time.Second
	// plainTime is how long a call of a plain service is expected to take.
	plainTime = 60 * time.Millisecond
	// batchShare and memoryShare are the parts of an engine's batch and memory
	// that are filled by choice.
	batchShare  = 0.95
	memoryShare = 0.9
)

// assess predicts how a request would fare at an upstream.
func (p *Placer) assess(now time.Time, u *upstream, ticket request.Ticket, home bool) candidate {
	c := candidate{upstream: u, home: home}
	net := p.network(u)
	pace := u.currentPace(now)
	if u.pool.Engine != nil {
		c.uncached = u.unkept(ticket, home && u.trusted(now))
		read := float64(c.uncached) / p.readRate(u.pool) * float64(time.Second)
		c.read = time.Duration(read * pace)
		c.wait = p.wait(now, u, pace)
		first := time.Duration(float64(firstTokenTime)*pace) + net
		c.begin = c.wait + c.read + first
		own := float64(promptTokens(ticket)-sharedTokens(ticket.Prompt)) / p.readRate(u.pool) * float64(time.Second)
		c.least = time.Duration(own*pace) + first
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
// longer than reading everything takes whose answer has not begun. What other VMs have
// sent since they last told comes on top.
func (p *Placer) wait(now time.Time, u *upstream, pace float64) time.Duration {
	perToken := pace * float64(time.Second) / p.readRate(u.pool)
	queued := max(u.free.Sub(now), 0)
	unread := time.Duration(float64(u.unread+u.heard(now).unread) * perToken)
	return min(queued, unread) + time.Duration(u.flow.untold(now)*perToken)
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
