package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// longFraction is the fraction of the objective beyond which a prompt counts as long if
	// prefilling it alone takes longer.
	longFraction = 0.5
	// longGrantTarget is the target for the grant rate of long prompts, relative to that of
	// other prompts.
	longGrantTarget = 0.9
	// minSlack and maxSlack bound the slack of long prompts, initialSlack is its initial
	// value, and slackStep is how far one refusal or grant moves it.
	minSlack     = 0.1
	maxSlack     = 0.8
	initialSlack = 0.3
	slackStep    = 0.1
	// grantRateWeight is the weight of the newest decision in the grant rate.
	grantRateWeight = 0.02
)

// longPromptState keeps long prompts from always being refused. The TTFB limit is the same for
// all prompts. A prompt that takes most of it to prefill hardly ever finds an engine with a
// short enough queue, because shorter prompts fill the queues. So the queueing that a long
// prompt is admitted with follows how often long prompts were granted lately, relative to the
// other prompts of the pool. Only the requests of accounts within their share count.
type longPromptState struct {
	// grantRate is the fraction of other (not long) prompts that was granted, 0 to 1, as a
	// moving average.
	grantRate float64
	// slack is the fraction of the objective that queueing and the prefill of shared segments
	// may take for a long prompt.
	slack float64
}

func newLongPromptState() *longPromptState {
	return &longPromptState{grantRate: 1, slack: initialSlack}
}

// record updates the state with one decision.
func (s *longPromptState) record(long, wasGranted bool) {
	granted := 0.0
	if wasGranted {
		granted = 1
	}
	if !long {
		s.grantRate += grantRateWeight * (granted - s.grantRate)
		return
	}
	s.slack = clamp(s.slack+slackStep*(longGrantTarget*s.grantRate-granted), minSlack, maxSlack)
}

// isLong reports whether prefilling a ticket's prompt takes a large fraction of the objective
// at an engine of the pool that has cached its shared segments.
func (p *Placer) isLong(pool *version.Pool, ticket request.Ticket) bool {
	if pool.Engine == nil || ticket.TTFBObjective <= 0 {
		return false
	}
	ownSeconds := float64(promptTokens(ticket)-sharedTokens(ticket.Prompt)) / p.prefillRate(pool)
	return baseTTFB+time.Duration(ownSeconds*float64(time.Second)) > fractionOf(longFraction, ticket.TTFBObjective)
}

// longPromptsOf returns the state of a pool's long prompts, which it creates if there is none.
func (p *Placer) longPromptsOf(pool version.PoolID) *longPromptState {
	s := p.longPrompts[pool]
	if s == nil {
		s = newLongPromptState()
		p.longPrompts[pool] = s
	}
	return s
}
