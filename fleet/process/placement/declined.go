package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// adviceRetention is the age beyond which the advice of an upstream that is no longer
	// registered is dropped. Until then other VMs may still report an outdated registration
	// of it.
	adviceRetention = 10 * time.Minute
	// retrySpreadStep and retrySpreadSteps spread the Retry-After values of callers that are
	// refused until a pause ends, so that they do not all retry at once.
	retrySpreadStep  = 25 * time.Millisecond
	retrySpreadSteps = 8
)

// adviceState is the drain advice, the pauses and the limit that an upstream has sent in its
// answers. It belongs to one incarnation of the upstream: a new incarnation has another identifier.
type adviceState struct {
	// leaving is set by drain advice and never reset.
	leaving bool
	// pausedUntil is when the pause ends.
	pausedUntil time.Time
	// advisedAt is when the upstream last sent drain advice or a pause.
	advisedAt time.Time
	// resumed is set once a request has been sent after the newest pause.
	resumed bool
	// limit is the request rate that the upstream takes from the whole fleet.
	limit limitState
	// sends is what this VM sent before the upstream was deregistered, for the case that its
	// registration comes back.
	sends ratelimit.History
}

// declines reports whether the upstream wants no requests now. A nil state declines nothing.
func (s *adviceState) declines(now time.Time) bool {
	return s != nil && (s.leaving || now.Before(s.pausedUntil))
}

// Notice reports that an upstream is avoided from now on or used again, for the log.
type Notice struct {
	Upstream version.UpstreamID
	// Leaving and Pause are why the upstream is avoided; neither is set if it is used again.
	Leaving bool
	Pause   time.Duration
	// Limit is the limit that the upstream names from now on, or that it names none any more;
	// LimitUnsaid if the notice is on something else.
	Limit request.RateLimit
	// Hearsay is set if another VM had the answer that named the limit.
	Hearsay bool
	// Age is how long ago the upstream sent the advice; set if it is used again. For a limit it
	// is the time since the request was sent whose answer named it.
	Age time.Duration
}

// RecordAdvice records what an upstream says of itself in the answer to a request that was sent
// at sentAt.
func (p *Placer) RecordAdvice(now time.Time, id version.UpstreamID, sentAt time.Time, advice request.Advice) {
	if state := p.advice[id]; state != nil || advice.Limit.State == request.LimitNamed {
		state = p.adviceOf(id)
		state.limit.Observe(now, sentAt, advice.Limit)
		p.noticeLimit(now, id, &state.limit)
	}
	if !advice.Leaving && advice.Pause <= 0 {
		return
	}
	state := p.adviceOf(id)
	state.advisedAt = now
	if advice.Leaving && !state.leaving {
		state.leaving = true
		p.notices = append(p.notices, Notice{Upstream: id, Leaving: true})
	}
	if until := now.Add(advice.Pause); advice.Pause > 0 && until.After(state.pausedUntil) {
		if !now.Before(state.pausedUntil) {
			p.notices = append(p.notices, Notice{Upstream: id, Pause: advice.Pause})
		}
		state.pausedUntil, state.resumed = until, false
	}
}

// adviceOf returns the advice of an upstream, which it creates if there is none.
func (p *Placer) adviceOf(id version.UpstreamID) *adviceState {
	state := p.advice[id]
	if state == nil {
		state = &adviceState{resumed: true}
		p.advice[id] = state
		if u := p.upstreams[id]; u != nil {
			u.advice = state
		}
	}
	return state
}

// UpstreamDeclines reports whether an upstream has advised that it wants no requests now.
func (p *Placer) UpstreamDeclines(now time.Time, id version.UpstreamID) bool {
	return p.advice[id].declines(now)
}

// Notices returns the notices since the last call.
func (p *Placer) Notices() []Notice {
	notices := p.notices
	p.notices = nil
	return notices
}

// recordUse records that a request is sent to an upstream again after a pause.
func (p *Placer) recordUse(now time.Time, u *upstream) {
	if state := u.advice; state != nil && !state.resumed {
		state.resumed = true
		p.notices = append(p.notices, Notice{Upstream: u.ID, Age: now.Sub(state.advisedAt)})
	}
}

// expireAdvice drops advice older than adviceRetention of upstreams that are no longer
// registered.
func (p *Placer) expireAdvice(now time.Time) {
	for id, state := range p.advice {
		if p.upstreams[id] == nil && now.Sub(later(state.advisedAt, state.limit.ObservedAt)) > adviceRetention {
			delete(p.advice, id)
		}
	}
}

// remainingPause returns how long until the first upstream that could execute the ticket wants
// requests again; false if none of them has asked for a pause.
func (p *Placer) remainingPause(now time.Time, ticket request.Ticket) (time.Duration, bool) {
	var first time.Time
	for _, u := range p.upstreamsByPool[ticket.Pool] {
		if p.allowed(u, ticket) && u.advice.declines(now) && !u.advice.leaving && (first.IsZero() || u.advice.pausedUntil.Before(first)) {
			first = u.advice.pausedUntil
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return first.Sub(now) + retrySpread(ticket), true
}

// retrySpread returns what is added to the Retry-After of a caller, so that callers who are
// refused at the same time do not all return at once.
func retrySpread(ticket request.Ticket) time.Duration {
	return time.Duration(ticket.ID%retrySpreadSteps) * retrySpreadStep
}
