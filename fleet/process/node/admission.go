package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// outOfServiceGrace is how long a daemon whose VM or data centre was taken
	// out of service still accepts callers, until the balancer has noticed.
	outOfServiceGrace = 2 * time.Second
	// retryNotReady is the Retry-After advice to a caller of a daemon that is
	// not ready.
	retryNotReady = time.Second
	// retryNoUpstream is the Retry-After advice to a caller of a pool without
	// upstreams in service.
	retryNoUpstream = 5 * time.Second
	// answerBytesPerUnit is the estimated size on the wire of one cost unit of
	// an answer, in bytes.
	answerBytesPerUnit = 200
)

// outOfService holds since when operators have had this daemon's VM or its data
// centre out of service; zero while it is in service.
type outOfService struct {
	vm         time.Time
	dataCentre time.Time
}

// submit passes a caller's request to the entry, or refuses it.
func (n *Node) submit(now time.Time, ticket request.Ticket) {
	if refusal, refused := n.refusalFor(now, ticket.Pool); refused {
		n.emit(Refused{ID: ticket.ID, Refusal: refusal})
		return
	}
	n.options.Timeline.Record(now, timeline.Event{
		Kind:    timeline.KindSubmitted,
		Request: request.Key{Entry: n.options.VM, Incarnation: n.options.Incarnation, ID: ticket.ID},
		Attempt: ticket.Attempt,
		Account: ticket.Account,
		Pool:    ticket.Pool,
	})
	n.trackAttempt(ticket)
	n.entry.Submit(now, ticket)
}

// refusalFor returns the refusal of any request for a pool, and false if
// requests are accepted.
func (n *Node) refusalFor(now time.Time, pool version.PoolID) (request.Refusal, bool) {
	switch {
	case n.config == nil:
		return notReady("this router has no configuration yet"), true
	case graceOver(now, n.outOfService.vm) || graceOver(now, n.outOfService.dataCentre):
		return notReady("this router is out of service"), true
	case !n.hasUpstream(pool):
		return noUpstream(), true
	default:
		return request.Refusal{}, false
	}
}

// graceOver reports whether outOfServiceGrace has passed since a VM or data
// centre was taken out of service.
func graceOver(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= outOfServiceGrace
}

// hasUpstream reports whether a pool has an upstream in service in any data
// centre.
func (n *Node) hasUpstream(pool version.PoolID) bool {
	for _, upstream := range n.config.Upstreams {
		if upstream.Pool == pool && !n.config.UpstreamOut(upstream) {
			return true
		}
	}
	return false
}

// updateOutOfService applies the operators' orders in a new configuration, and
// refuses the waiting requests of each pool that has no upstream left.
func (n *Node) updateOutOfService(now time.Time) {
	n.outOfService.vm = conditionSince(now, n.outOfService.vm, n.config.VMOut(n.options.VM))
	n.outOfService.dataCentre = conditionSince(now, n.outOfService.dataCentre, n.config.DataCentreOut(n.options.DataCentre))
	for _, pool := range n.pools() {
		if !n.hasUpstream(pool) {
			n.entry.RefuseWaiting(pool, noUpstream())
		}
	}
}

// conditionSince returns since when a condition has held, or zero if it does
// not hold. previous is the result of the call before.
func conditionSince(now, previous time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if previous.IsZero() {
		return now
	}
	return previous
}

// refuseWhileOutOfService refuses the requests that still wait at a VM that is
// out of service.
func (n *Node) refuseWhileOutOfService(now time.Time) {
	if !graceOver(now, n.outOfService.vm) {
		return
	}
	for _, pool := range n.pools() {
		n.entry.RefuseWaiting(pool, notReady("this router is out of service"))
	}
}

// countCrossRegion adds the bytes that a granted request will send to another
// region and receive from there: its body and the estimated answer.
func (n *Node) countCrossRegion(grant request.Grant) {
	ticket, held := n.entry.Request(grant.ID)
	upstream, present := n.config.Upstreams[grant.Upstream]
	if !held || !present || upstream.DataCentre == n.options.DataCentre || n.distance(upstream.DataCentre) == 0 {
		return
	}
	answer := uint64(ticket.Estimate * answerBytesPerUnit)
	n.crossRegionBytes += uint64(ticket.BodyBytes) + answer
}

// expectedFirstToken returns the first-token time of a healthy upstream of a
// pool, or 0 if it is not configured.
func (n *Node) expectedFirstToken(pool version.PoolID) time.Duration {
	if n.config == nil || n.config.Pools[pool] == nil {
		return 0
	}
	return n.config.Pools[pool].ExpectedFirstToken
}

// pollUpstreams asks for the load of the upstreams whose poll is due.
func (n *Node) pollUpstreams(now time.Time) {
	for _, pool := range n.ownedPools() {
		for _, id := range n.dispatchers[pool].Polls(now) {
			if upstream, present := n.config.Upstreams[id]; present {
				n.emit(Poll{Upstream: id, Address: upstream.Address})
			}
		}
	}
}

// notReady returns the refusal of a daemon that cannot accept requests at
// present.
func notReady(detail string) request.Refusal {
	return request.Refusal{
		Reason:     request.ReasonNotReady,
		Execution:  request.NotExecuted,
		RetryAfter: retryNotReady,
		Detail:     detail,
	}
}

// noUpstream returns the refusal for a pool without upstreams in service.
func noUpstream() request.Refusal {
	return request.Refusal{
		Reason:     request.ReasonNoUpstream,
		Execution:  request.NotExecuted,
		RetryAfter: retryNoUpstream,
		Detail:     "no upstream of this pool is in service",
	}
}
