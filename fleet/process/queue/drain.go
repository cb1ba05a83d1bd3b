package queue

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// drainWindow is the time over which grants are counted; the count covers
	// one to two windows.
	drainWindow = 10 * time.Second
	// MinRetryAfter and MaxRetryAfter bound the advice to a refused caller.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest advice to a refused caller.
	MaxRetryAfter = time.Minute
)

// drainRate counts grants per account over the current and the last window.
type drainRate struct {
	started       time.Time
	current, last map[version.AccountID]int
	lastLength    time.Duration
}

func (d *drainRate) count(now time.Time, id version.AccountID) {
	d.roll(now)
	d.current[id]++
}

// roll starts a new window if the current one is over.
func (d *drainRate) roll(now time.Time) {
	if d.current == nil {
		d.started = now
		d.current = make(map[version.AccountID]int)
		return
	}
	age := now.Sub(d.started)
	if age < drainWindow {
		return
	}
	d.last, d.lastLength = d.current, age
	d.current = make(map[version.AccountID]int)
	d.started = now
}

// perSecond returns an account's grants a second.
func (d *drainRate) perSecond(now time.Time, id version.AccountID) float64 {
	d.roll(now)
	length := now.Sub(d.started) + d.lastLength
	if length <= 0 {
		return 0
	}
	return float64(d.current[id]+d.last[id]) / length.Seconds()
}

// RetryAfter returns when a refused caller of an account may come back: the
// time in which the account's waiting tickets are granted at its recent rate.
// An account without recent grants is told the rate of a fair part of all.
func (q *Queue) RetryAfter(now time.Time, id version.AccountID) time.Duration {
	ahead := 1
	if a, present := q.accounts[id]; present {
		ahead = a.len()
	}
	rate := q.drain.perSecond(now, id)
	if rate == 0 {
		rate = q.fairRate(now)
	}
	if rate == 0 {
		return MaxRetryAfter
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}

// fairRate returns the grants a second of one of the backlogged accounts.
func (q *Queue) fairRate(now time.Time) float64 {
	total := 0.0
	for _, a := range q.byLevel {
		total += q.drain.perSecond(now, a.id)
	}
	return total / float64(max(len(q.byLevel), 1))
}
