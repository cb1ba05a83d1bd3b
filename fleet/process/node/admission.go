package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// outGrace is how long a daemon that operators took out still takes
	// callers, until the balancer has noticed.
	outGrace = 2 * time.Second
	// retryNotReady is the advice to a caller of a daemon that is not ready.
	retryNotReady = time.Second
	// retryNoUpstream is the advice to a caller of a pool without upstreams.
	retryNoUpstream = 5 * time.Second
	// answerBytesPerUnit is what a cost unit of an answer takes on the wire.
	answerBytesPerUnit = 200
)

// outOfService is since when operators have had this daemon's VM or data
// centre out; zero is in service.
type outOfService struct {
	vm         time.Time
	dataCentre time.Time
}

// submit admits a request of a caller.
func (n *Node) submit(now time.Time, ticket request.Ticket) {
	if refusal, refused := n.refusalFor(now, ticket.Pool); refused {
		n.act(Refused{ID: ticket.ID, Refusal: refusal})
		return
	}
	n.options.Timeline.Record(now, timeline.Event{
		Kind:    timeline.KindSubmitted,
		Request: request.Key{Entry: n.options.VM, Incarnation: n.options.Incarnation, ID: ticket.ID},
		Attempt: ticket.Attempt,
		Account: ticket.Account,
		Pool:    ticket.Pool,
	})
	n.streamSubmitted(ticket)
	n.entry.Submit(now, ticket)
}

// refusalFor returns why no request for a pool can be taken now.
func (n *Node) refusalFor(now time.Time, pool version.PoolID) (request.Refusal, bool) {
	switch {
	case n.config == nil:
		return notReady("this router has no configuration yet"), true
	case past(now, n.out.vm) || past(now, n.out.dataCentre):
		return notReady("this router is out of service"), true
	case !n.serves(pool):
		return noUpstream(), true
	default:
		return request.Refusal{}, false
	}
}

// past reports whether the grace after an order is over.
func past(now, since time.Time) bool { return !since.IsZero() && now.Sub(since) >= outGrace }

// serves reports whether a pool has an upstream in service anywhere.
func (n *Node) serves(pool version.PoolID) bool {
	for _, upstream := range n.config.Upstreams {
		if upstream.Pool == pool && !n.config.UpstreamOut(upstream) {
			return true
		}
	}
	return false
}

// noteOutOfService follows the operators' orders in a new configuration, and
// refuses what waits for a pool that has no upstream left.
func (n *Node) noteOutOfService(now time.Time) {
	n.out.vm = since(now, n.out.vm, n.config.VMOut(n.options.VM))
	n.out.dataCentre = since(now, n.out.dataCentre, n.config.DataCentreOut(n.options.DataCentre))
	for _, pool := range n.pools() {
		if !n.serves(pool) {
			n.entry.RefuseWaiting(pool, noUpstream())
		}
	}
}

// since returns when a condition began to hold.
func since(now, began time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return now
	}
	return began
}

// tickOutOfService refuses what still waits at a VM that is out.
func (n *Node) tickOutOfService(now time.Time) {
	if !past(now, n.out.vm) {
		return
	}
	for _, pool := range n.pools() {
		n.entry.RefuseWaiting(pool, notReady("this router is out of service"))
	}
}

// countCrossRegion counts what a grant in another region will carry over the
// border.
func (n *Node) countCrossRegion(grant request.Grant) {
	ticket, held := n.entry.Request(grant.ID)
	upstream, present := n.config.Upstreams[grant.Upstream]
	if !held || !present || upstream.DataCentre == n.options.DataCentre || n.distance(upstream.DataCentre) == 0 {
		return
	}
	answer := uint64(ticket.Estimate * answerBytesPerUnit)
	n.crossRegionBytes += uint64(ticket.BodyBytes) + answer
}

func (n *Node) expectedFirstToken(pool version.PoolID) time.Duration {
	if n.config == nil || n.config.Pools[pool] == nil {
		return 0
	}
	return n.config.Pools[pool].ExpectedFirstToken
}

// poll asks for the load of the upstreams that are due.
func (n *Node) poll(now time.Time) {
	for _, pool := range n.ownedPools() {
		for _, id := range n.dispatchers[pool].Polls(now) {
			if upstream, present := n.config.Upstreams[id]; present {
				n.act(Poll{Upstream: id, Address: upstream.Address})
			}
		}
	}
}

func notReady(detail string) request.Refusal {
	return request.Refusal{
		Reason:     request.ReasonNotReady,
		Execution:  request.NotRun,
		RetryAfter: retryNotReady,
		Detail:     detail,
	}
}

func noUpstream() request.Refusal {
	return request.Refusal{
		Reason:     request.ReasonNoUpstream,
		Execution:  request.NotRun,
		RetryAfter: retryNoUpstream,
		Detail:     "no upstream of this pool is in service",
	}
}
