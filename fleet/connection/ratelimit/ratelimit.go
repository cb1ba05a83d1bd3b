// Package ratelimit keeps what is known of the request rate that an upstream takes from the whole
// fleet, and how many requests were sent to it.
package ratelimit

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// Window is the window in which the requests to an upstream that names a limit are counted.
	Window = 4 * time.Second
	// hearsayMargin is how much younger an observation of another VM must be to replace this
	// VM's if they differ. The time that its report was under way is not known.
	hearsayMargin = 250 * time.Millisecond
	// EndedTime is how long the end of a limit is reported, in case that a report is lost or
	// overtaken.
	EndedTime = 10 * time.Second
	// probeSilence is how long nobody heard an upstream's limit when it is tried again beyond
	// the limit, and probeInterval the time for each such request: an upstream that gets
	// nothing cannot say that its limit has ended.
	probeSilence  = Window
	probeInterval = time.Second
)

// Limit is the request rate that an upstream takes from the whole fleet, as far as one VM knows.
// The zero value knows nothing.
type Limit struct {
	request.RateLimit
	// ObservedAt is when the request was sent whose answer said so. Answers may arrive in
	// another order than their requests were sent.
	ObservedAt time.Time
	// Since is when this VM learned that the upstream names a limit.
	Since time.Time
	// Hearsay is set if another VM had that answer.
	Hearsay bool
	// endedAt is when this VM learned that the upstream names no limit any more.
	endedAt time.Time
}

// Observe applies what the answer to a request says that was sent at sentAt. The answer to an
// older request than the one that is known changes nothing.
func (l *Limit) Observe(now, sentAt time.Time, limit request.RateLimit) {
	if limit.State == request.LimitUnsaid || sentAt.Before(l.ObservedAt) {
		return
	}
	l.apply(now, sentAt, limit)
	l.Hearsay = false
}

// Hear applies what another VM observed.
func (l *Limit) Hear(now, sentAt time.Time, limit request.RateLimit) {
	margin := time.Duration(0)
	if limit != l.RateLimit && l.State != request.LimitUnsaid {
		margin = hearsayMargin
	}
	if limit.State == request.LimitUnsaid || !sentAt.After(l.ObservedAt.Add(margin)) {
		return
	}
	l.apply(now, sentAt, limit)
	l.Hearsay = true
}

func (l *Limit) apply(now, sentAt time.Time, limit request.RateLimit) {
	switch {
	case limit.State == request.LimitNamed && l.State != request.LimitNamed:
		l.Since = now
	case limit.State == request.LimitNone && l.State == request.LimitNamed:
		l.endedAt = now
	}
	l.RateLimit, l.ObservedAt = limit, sentAt
}

// Named reports whether the upstream names a limit.
func (l *Limit) Named() bool { return l.State == request.LimitNamed }

// Reportable reports whether the limit, or its end, is worth reporting to other VMs.
func (l *Limit) Reportable(now time.Time) bool {
	return l.Named() || l.State == request.LimitNone && now.Sub(l.endedAt) < EndedTime
}

// Budget returns how many requests the upstream takes from the whole fleet in any Window. It
// grows while nobody hears of the limit.
func (l *Limit) Budget(now time.Time) float64 {
	budget := l.PerSecond * Window.Seconds()
	if silence := now.Sub(l.ObservedAt) - probeSilence; silence > 0 {
		budget = max(budget, silence.Seconds()/probeInterval.Seconds())
	}
	return budget
}
