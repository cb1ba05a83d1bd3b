package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// longPart is the part of the objective beyond which a prompt counts as long if
	// reading it alone takes so much.
	longPart = 0.5
	// longTarget is how often long prompts are to be granted, relative to the others.
	longTarget = 0.9
	// minSlack and maxSlack bound the slack of long prompts, firstSlack is where it
	// begins, and slackStep is how far one refusal or grant moves it.
	minSlack   = 0.1
	maxSlack   = 0.8
	firstSlack = 0.3
	slackStep  = 0.1
	// grantMemory is the weight of the newest decision in the share of grants.
	grantMemory = 0.02
)

// sizes keeps long prompts from being refused whenever they come. The limit on a
// beginning is the same for all, and a prompt that takes the most of it to be read finds
// hardly any engine with so little to do while shorter ones fill them up. So the wait
// that a long one is granted with follows how often long ones were granted lately,
// beside the others of the pool. Only accounts within their share count.
type sizes struct {
	// granted is the share of the other prompts that was granted, 0 to 1.
	granted float64
	// slack is the part of the objective that the wait and the reading of shared parts
	// may take for a long prompt.
	slack float64
}

func newSizes() *sizes { return &sizes{granted: 1, slack: firstSlack} }

// note takes a decision.
func (s *sizes) note(long, granted bool) {
	got := 0.0
	if granted {
		got = 1
	}
	if !long {
		s.granted += grantMemory * (got - s.granted)
		return
	}
	s.slack = clamp(s.slack+slackStep*(longTarget*s.granted-got), minSlack, maxSlack)
}

// isLong reports whether reading a ticket's prompt at an engine of the pool that keeps its
// shared parts takes a large part of the objective.
func (p *Placer) isLong(pool *version.Pool, ticket request.Ticket) bool {
	if pool.Engine == nil || ticket.Objective <= 0 {
		return false
	}
	own := float64(promptTokens(ticket)-sharedTokens(ticket.Prompt)) / p.readRate(pool)
	return firstTokenTime+time.Duration(own*float64(time.Second)) > part(longPart, ticket.Objective)
}

// sizesOf returns what is kept of a pool's prompts.
func (p *Placer) sizesOf(pool version.PoolID) *sizes {
	s := p.sizes[pool]
	if s == nil {
		s = newSizes()
		p.sizes[pool] = s
	}
	return s
}
