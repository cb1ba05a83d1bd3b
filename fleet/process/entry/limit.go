package entry

import (
	"maps"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// limitReportInterval is the least time between two reports of the same limit of an upstream.
const limitReportInterval = 200 * time.Millisecond

// reportedLimit is the limit of an upstream that was last reported to a dispatcher.
type reportedLimit struct {
	limit request.RateLimit
	at    time.Time
	// namedAt is when the upstream last named a limit.
	namedAt time.Time
}

// Configure forgets the limits of upstreams that a configuration lacks.
func (e *Entry) Configure(config *version.Config) {
	maps.DeleteFunc(e.limits, func(id version.UpstreamID, _ reportedLimit) bool { return config.Upstreams[id] == nil })
}

// ObserveLimit reports to a pool's dispatcher what the answer to a request, sent age ago, says of
// its upstream's limit. Nothing is reported of upstreams that named none lately.
func (e *Entry) ObserveLimit(now time.Time, pool version.PoolID, upstream version.UpstreamID, age time.Duration, limit request.RateLimit) {
	last, reported := e.limits[upstream]
	switch {
	case limit.State == request.LimitUnsaid, limit.State == request.LimitNone && !reported:
		return
	case limit.State == request.LimitNone && now.Sub(last.namedAt) > ratelimit.EndedTime:
		delete(e.limits, upstream)
		return
	case last.limit == limit && now.Sub(last.at) < limitReportInterval:
		return
	}
	next := reportedLimit{limit: limit, at: now, namedAt: last.namedAt}
	if limit.State == request.LimitNamed {
		next.namedAt = now
	}
	e.limits[upstream] = next
	e.sendToDispatcher(pool, wire.AttemptLimit{Pool: pool, Limit: wire.NewUpstreamLimit(upstream, limit, age, 0)})
}
