package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// limitWindow is the window in which the requests to an upstream that names a limit are
	// counted.
	limitWindow = 4 * time.Second
	// limitNoticeInterval is the least time between two notices of one upstream's limit, and
	// limitNoticeChange the relative change of a rate that is worth a notice.
	limitNoticeInterval = time.Second
	limitNoticeChange   = 0.1
)

// namedLimit is the request rate that an upstream takes from the whole fleet, as far as this VM
// knows.
type namedLimit struct {
	request.RateLimit
	// observedAt is when the request was sent whose answer said so. Answers may arrive in
	// another order than their requests were sent.
	observedAt time.Time
	// since is when this VM learned that the upstream names a limit.
	since time.Time
	// noticed is what the last notice said, and noticedAt its time.
	noticed   request.RateLimit
	noticedAt time.Time
}

// observe applies what the answer to a request says that was sent at sentAt. The answer to an
// older request than the one that is known changes nothing.
func (l *namedLimit) observe(now, sentAt time.Time, limit request.RateLimit) {
	if limit.State == request.LimitUnsaid || sentAt.Before(l.observedAt) {
		return
	}
	if limit.State == request.LimitNamed && l.State != request.LimitNamed {
		l.since = now
	}
	l.RateLimit, l.observedAt = limit, sentAt
}

// named reports whether the upstream names a limit. A nil state has none.
func (s *adviceState) named() bool { return s != nil && s.limit.State == request.LimitNamed }

// noticeLimit adds a notice if an upstream's limit has changed since the last one.
func (p *Placer) noticeLimit(now time.Time, id version.UpstreamID, l *namedLimit) {
	if l.State == request.LimitUnsaid {
		return
	}
	began := cmp.Or(l.noticed.State, request.LimitNone) != l.State
	changed := math.Abs(l.PerSecond-l.noticed.PerSecond) > limitNoticeChange*l.noticed.PerSecond
	if !began && !changed || now.Sub(l.noticedAt) < limitNoticeInterval {
		return
	}
	l.noticed, l.noticedAt = l.RateLimit, now
	p.notices = append(p.notices, Notice{Upstream: id, Limit: l.RateLimit, Age: now.Sub(l.observedAt)})
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
	// Sent is the number of requests that this VM sent in the last limitWindow.
	Sent int
}

// Limits returns the limits in force, sorted by the name of the upstream.
func (p *Placer) Limits(now time.Time) []LimitStatus {
	var list []LimitStatus
	for _, u := range p.upstreams {
		if !u.advice.named() {
			continue
		}
		limit := &u.advice.limit
		list = append(list, LimitStatus{
			Upstream: u.ID, Name: u.Name, PerSecond: limit.PerSecond, Since: limit.since, ObservedAt: limit.observedAt,
			Sent: u.sends.within(now, limitWindow),
		})
	}
	slices.SortFunc(list, func(a, b LimitStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}
