package placement

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// Exclusion is why an upstream was not considered for a request; empty if it was.
type Exclusion string

const (
	// ExcludedDraining is an upstream whose registration says that it shuts down.
	ExcludedDraining Exclusion = "draining"
	// ExcludedOutOfService is an upstream that operators have taken out of service, alone or with
	// its data centre.
	ExcludedOutOfService Exclusion = "out-of-service"
	// ExcludedAvoided is an upstream that failed the request before.
	ExcludedAvoided Exclusion = "avoided"
	// ExcludedRegion is an upstream in a region to which the route or the account may not go.
	ExcludedRegion Exclusion = "region"
	// ExcludedRollout is an upstream whose software version the rule of a rollout excludes.
	ExcludedRollout Exclusion = "rollout"
	// ExcludedSoftware is an upstream of another software version than began the stream.
	ExcludedSoftware Exclusion = "software-version"
	// ExcludedStreamVersion is an upstream of a software version that is not recorded yet, so that
	// no stream may begin there.
	ExcludedStreamVersion Exclusion = "software-not-recorded"
	// ExcludedLeaving and ExcludedPaused are upstreams that have asked for no requests.
	ExcludedLeaving Exclusion = "leaving"
	ExcludedPaused  Exclusion = "paused"
	// ExcludedColdLimit is a cold upstream to which this VM has sent its part of the requests.
	ExcludedColdLimit Exclusion = "cold-limit"
	// ExcludedNamedLimit is an upstream to which this VM has sent its part of the limit that the
	// upstream names.
	ExcludedNamedLimit Exclusion = "named-limit"
	// ExcludedUnhealthy is an upstream that failed requests of this VM a moment ago.
	ExcludedUnhealthy Exclusion = "unhealthy"
	// ExcludedUnresponsive is an upstream whose first byte of a request of this VM is long overdue.
	ExcludedUnresponsive Exclusion = "unresponsive"
	// ExcludedReserved is an upstream with a limit whose rest is kept for other accounts.
	ExcludedReserved Exclusion = "reserved"
	// ExcludedNotSampled is an upstream of a large pool that is not in the sample of the request.
	ExcludedNotSampled Exclusion = "not-sampled"
)

// usable reports whether an upstream may execute the ticket.
func (p *Placer) usable(now time.Time, u *upstream, ticket request.Ticket) bool {
	return p.exclusion(now, u, ticket) == ""
}

// exclusion returns why an upstream may not execute the ticket.
func (p *Placer) exclusion(now time.Time, u *upstream, ticket request.Ticket) Exclusion {
	if why := p.prohibition(now, u, ticket); why != "" {
		return why
	}
	switch {
	case !u.health.available(now):
		return ExcludedUnhealthy
	case u.unresponsive(now):
		return ExcludedUnresponsive
	}
	return ""
}

// permitted reports whether the configuration, the ticket, the upstream's advice and its limits
// permit an upstream. It disregards what this VM itself has observed of the upstream.
func (p *Placer) permitted(now time.Time, u *upstream, ticket request.Ticket) bool {
	return p.prohibition(now, u, ticket) == ""
}

// prohibition returns why an upstream is not permitted.
func (p *Placer) prohibition(now time.Time, u *upstream, ticket request.Ticket) Exclusion {
	if why := p.mismatch(u, ticket); why != "" {
		return why
	}
	if u.advice.declines(now) {
		if u.advice.leaving {
			return ExcludedLeaving
		}
		return ExcludedPaused
	}
	return p.exceeded(now, u)
}

// allowed reports whether the configuration and the ticket allow an upstream.
func (p *Placer) allowed(u *upstream, ticket request.Ticket) bool { return p.mismatch(u, ticket) == "" }

// mismatch returns why the configuration or the ticket does not allow an upstream.
func (p *Placer) mismatch(u *upstream, ticket request.Ticket) Exclusion {
	switch {
	case u.Draining:
		return ExcludedDraining
	case p.config.UpstreamOut(u.Upstream):
		return ExcludedOutOfService
	case ticket.Avoid == u.ID, slices.Contains(ticket.Avoided, u.ID):
		return ExcludedAvoided
	case ticket.Regions != nil && !slices.Contains(ticket.Regions, u.region):
		return ExcludedRegion
	case !ticket.Rule.Permits(u.Software, u.ID):
		return ExcludedRollout
	case ticket.Software != "":
		if u.Software != ticket.Software {
			return ExcludedSoftware
		}
	case ticket.Resumable && p.streamVersions != nil:
		if !slices.Contains(p.streamVersions[u.Pool], u.Software) {
			return ExcludedStreamVersion
		}
	}
	return ""
}
