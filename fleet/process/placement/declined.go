package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// declinedTime is how long an upstream's own word outlives its registration, which
	// others may still tell from before.
	declinedTime = 10 * time.Minute
	// returnStep and returnSteps spread callers that are told to come back when a pause
	// ends.
	returnStep  = 25 * time.Millisecond
	returnSteps = 8
)

// declined is what an upstream has said in its answers of further requests. It belongs
// to one life of the upstream: a new one has another identifier.
type declined struct {
	// leaving is set for good.
	leaving bool
	// until is when a pause ends.
	until time.Time
	// at is when it was said last.
	at time.Time
	// resumed is set once a request has been sent after the newest pause.
	resumed bool
}

// now reports whether the upstream wants nothing now.
func (d *declined) now(now time.Time) bool {
	return d != nil && (d.leaving || now.Before(d.until))
}

// Notice is a change of whether an upstream is used, for the log.
type Notice struct {
	Upstream version.UpstreamID
	// Leaving and Pause are why it is left alone; neither is set if it is used again.
	Leaving bool
	Pause   time.Duration
	// Age is how long ago the upstream said so.
	Age time.Duration
}

// Advise takes what an upstream said of itself in an answer.
func (p *Placer) Advise(now time.Time, at version.UpstreamID, advice request.Advice) {
	if !advice.Leaving && advice.Pause <= 0 {
		return
	}
	d := p.declined[at]
	if d == nil {
		d = &declined{}
		p.declined[at] = d
		if u := p.upstreams[at]; u != nil {
			u.declined = d
		}
	}
	d.at = now
	if advice.Leaving && !d.leaving {
		d.leaving = true
		p.notices = append(p.notices, Notice{Upstream: at, Leaving: true})
	}
	if until := now.Add(advice.Pause); advice.Pause > 0 && until.After(d.until) {
		if !now.Before(d.until) {
			p.notices = append(p.notices, Notice{Upstream: at, Pause: advice.Pause})
		}
		d.until, d.resumed = until, false
	}
}

// Declines reports whether an upstream has said that it wants nothing now.
func (p *Placer) Declines(now time.Time, id version.UpstreamID) bool { return p.declined[id].now(now) }

// Notices returns the changes since the last call.
func (p *Placer) Notices() []Notice {
	notices := p.notices
	p.notices = nil
	return notices
}

// noteUse notes that a request goes to an upstream again after a pause.
func (p *Placer) noteUse(now time.Time, u *upstream) {
	if d := u.declined; d != nil && !d.resumed {
		d.resumed = true
		p.notices = append(p.notices, Notice{Upstream: u.ID, Age: now.Sub(d.at)})
	}
}

// forgetDeclined drops what was said by upstreams that are not registered any more.
func (p *Placer) forgetDeclined(now time.Time) {
	for id, d := range p.declined {
		if p.upstreams[id] == nil && now.Sub(d.at) > declinedTime {
			delete(p.declined, id)
		}
	}
}

// pauseEnds returns how long until the first upstream that could run the ticket wants
// requests again, if all that could have asked for a pause.
func (p *Placer) pauseEnds(now time.Time, ticket request.Ticket) (time.Duration, bool) {
	var first time.Time
	for _, u := range p.byPool[ticket.Pool] {
		if p.allowed(u, ticket) && u.declined.now(now) && !u.declined.leaving && (first.IsZero() || u.declined.until.Before(first)) {
			first = u.declined.until
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return first.Sub(now) + time.Duration(ticket.ID%returnSteps)*returnStep, true
}
