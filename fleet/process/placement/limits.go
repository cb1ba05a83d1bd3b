package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// limitNoticeInterval is the least time between two notices of one upstream's limit, and
	// limitNoticeChange the relative change of a rate that is worth a notice.
	limitNoticeInterval = time.Second
	limitNoticeChange   = 0.1
	// quotaPeriod is the time for which the fractions of requests are rounded the same way.
	quotaPeriod = 16 * time.Second
	// fleetTolerance and fleetSlack are how far the requests of all VMs may exceed the limit
	// in limitWindow because each VM rounds its part: a factor, and a number of requests.
	fleetTolerance = 1.2
	fleetSlack     = 2
	// unreservedFraction is the used fraction of the quotas of a pool from which the rest is
	// kept for others than an account that has just had its share.
	unreservedFraction = 0.8
)

// limitWindow is the window in which the requests to an upstream that names a limit are counted.
const limitWindow = ratelimit.Window

// limitState is the limit that an upstream names, with what the last notice said of it.
type limitState struct {
	ratelimit.Limit
	noticed   request.RateLimit
	noticedAt time.Time
}

// named reports whether the upstream names a limit. A nil state has none.
func (s *adviceState) named() bool { return s != nil && s.limit.Named() }

// hearLimit applies what another VM observed of an upstream's limit. That an upstream names none
// is of interest only if it had named one.
func (p *Placer) hearLimit(now time.Time, id version.UpstreamID, limit request.RateLimit, sentAt time.Time) {
	if p.advice[id] == nil && limit.State != request.LimitNamed {
		return
	}
	state := p.adviceOf(id)
	state.limit.Hear(now, sentAt, limit)
	p.noticeLimit(now, id, &state.limit)
}

// bound is a number of requests that this VM may send to an upstream in any window of a length.
type bound struct {
	window   time.Duration
	requests int
	// exceeded is why the upstream is excluded once this number was sent.
	exceeded Exclusion
}

// bounds returns what bounds the requests of this VM to an upstream now: the limit of a cold
// upstream and the limit that it names, of which this VM has its part each.
func (p *Placer) bounds(now time.Time, u *upstream) (list [2]bound, count int) {
	if u.cold.isCold(now) {
		list[count] = bound{coldWindow, p.coldLimit(now, u), ExcludedColdLimit}
		count++
	}
	if u.advice.named() {
		list[count] = bound{limitWindow, p.limitQuota(now, u), ExcludedNamedLimit}
		count++
	}
	return list, count
}

// exceeded returns which bound keeps another request from an upstream; empty if none does.
func (p *Placer) exceeded(now time.Time, u *upstream) Exclusion {
	list, count := p.bounds(now, u)
	for _, b := range list[:count] {
		if u.sends.Within(now, b.window) >= b.requests {
			return b.exceeded
		}
	}
	return ""
}

// limitQuota returns how many requests this VM may send in any limitWindow to an upstream that
// names a limit.
//
// Each VM has the part of the limit that it has of the callers' requests. In a large fleet that
// is less than one request. So the fraction is rounded up at as many VMs, selected by hashing, as
// it says, and the quotas of all VMs add up to the limit but for chance, which fleetTolerance
// bounds.
func (p *Placer) limitQuota(now time.Time, u *upstream) int {
	limit := &u.advice.limit
	total := limit.Budget(now)
	fleetSent := u.sends.Within(now, limitWindow) + p.sentByPeers(now, u.ID)
	if float64(fleetSent) >= total*fleetTolerance+fleetSlack {
		return 0
	}
	quota, fraction := math.Modf(total * p.fleetPart(now, u.pool.ID))
	if p.roundingThreshold(now, u) < fraction {
		quota++
	}
	return int(min(quota, math.MaxInt32))
}

// roundingThreshold returns the fraction, 0 to 1, above which this VM's quota of an upstream is
// rounded up. It is evenly distributed over VMs and upstreams and changes every quotaPeriod, at
// another moment for each VM.
func (p *Placer) roundingThreshold(now time.Time, u *upstream) float64 {
	hash := memberRank(p.options.VM, u.ID)
	period := (uint64(now.UnixNano()) + hash%uint64(quotaPeriod)) / uint64(quotaPeriod)
	return float64(rendezvous(hash+period, u.ID)>>11) / (1 << 53)
}

// remainingLimit returns how long until this VM may send another request to one of the
// upstreams that could execute the ticket but for the limits that they name; false if no limit
// keeps the ticket from any of them.
func (p *Placer) remainingLimit(now time.Time, ticket request.Ticket) (time.Duration, bool) {
	limited, after := false, maxRetryAfter
	for _, u := range p.upstreamsByPool[ticket.Pool] {
		if !u.advice.named() || !p.allowed(u, ticket) || u.advice.declines(now) || !u.health.available(now) {
			continue
		}
		limited = true
		if oldest, sent := u.sends.Oldest(now); sent {
			after = min(after, oldest.Add(limitWindow).Sub(now))
		}
	}
	return retryAfter(after) + retrySpread(ticket), limited
}

// limitsReservedFor reports whether the rest of what this VM may send to the upstreams of a pool
// that name limits is kept for accounts that have had less. Limited upstreams have short queues
// and count requests, whatever these cost, so the predicted TTFB does not hold back an account
// with costly requests. The more an account has had beyond its share, the less of the quotas may
// be used before it has to wait.
func (p *Placer) limitsReservedFor(now time.Time, pool version.PoolID, usage relativeUsage) bool {
	if usage.shareUsed <= 1 || usage.ofHighest < behindFraction {
		return false
	}
	sent, quota := 0, 0
	for _, u := range p.upstreamsByPool[pool] {
		if u.advice.named() {
			sent += u.sends.Within(now, limitWindow)
			quota += p.limitQuota(now, u)
		}
	}
	return float64(sent) >= unreservedFraction*float64(quota)/(usage.shareUsed*usage.shareUsed)
}

// noticeLimit adds a notice if an upstream's limit has changed since the last one.
func (p *Placer) noticeLimit(now time.Time, id version.UpstreamID, l *limitState) {
	if l.State == request.LimitUnsaid {
		return
	}
	began := cmp.Or(l.noticed.State, request.LimitNone) != l.State
	changed := math.Abs(l.PerSecond-l.noticed.PerSecond) > limitNoticeChange*l.noticed.PerSecond
	if !began && !changed || now.Sub(l.noticedAt) < limitNoticeInterval {
		return
	}
	l.noticed, l.noticedAt = l.RateLimit, now
	p.notices = append(p.notices, Notice{Upstream: id, Limit: l.RateLimit, Hearsay: l.Hearsay, Age: now.Sub(l.ObservedAt)})
}

// LimitStatus describes the limit that an upstream names, for operators.
type LimitStatus struct {
	Upstream version.UpstreamID
	Name     string
	// PerSecond is the rate that the upstream takes from the whole fleet, in requests per
	// second.
	PerSecond float64
	// Since is when this VM learned that the upstream names a limit, and ObservedAt when the
	// request was sent whose answer named it last.
	Since, ObservedAt time.Time
	// Hearsay is set if another VM had that answer.
	Hearsay bool
	// Sent is the number of requests that this VM sent in the last limitWindow, Quota the
	// number that it may send in any, and FleetSent the number that all VMs sent.
	Sent, Quota, FleetSent int
}

// Limits returns the limits in force, sorted by the name of the upstream.
func (p *Placer) Limits(now time.Time) []LimitStatus {
	var list []LimitStatus
	for _, u := range p.upstreams {
		if !u.advice.named() {
			continue
		}
		limit := &u.advice.limit
		sent := u.sends.Within(now, limitWindow)
		list = append(list, LimitStatus{
			Upstream: u.ID, Name: u.Name, PerSecond: limit.PerSecond, Since: limit.Since, ObservedAt: limit.ObservedAt,
			Hearsay: limit.Hearsay, Sent: sent, Quota: p.limitQuota(now, u), FleetSent: sent + p.sentByPeers(now, u.ID),
		})
	}
	slices.SortFunc(list, func(a, b LimitStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}
