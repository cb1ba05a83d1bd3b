package queue

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// drainWindow is the length of a window in which grants are counted. Rates cover one
	// to two windows.
	drainWindow = 10 * time.Second
	// MinRetryAfter is the shortest wait that a refused caller is advised.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest wait that a refused caller is advised.
	MaxRetryAfter = time.Minute
)

// drainRate measures the grants per second of each account over the current and the last
// window.
type drainRate struct {
	started       time.Time
	current, last map[version.AccountID]int
	lastLength    time.Duration
}

// count adds a grant of an account.
func (d *drainRate) count(now time.Time, id version.AccountID) {
	d.roll(now)
	d.current[id]++
}

// roll starts a new window if the current one has ended.
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

// perSecond returns the grants per second of an account.
func (d *drainRate) perSecond(now time.Time, id version.AccountID) float64 {
	d.roll(now)
	length := now.Sub(d.started) + d.lastLength
	if length <= 0 {
		return 0
	}
	return float64(d.current[id]+d.last[id]) / length.Seconds()
}

// RetryAfter returns how long a refused caller of an account should wait before it
// retries: the time in which the account's waiting tickets are granted at its recent
// rate. For an account without recent grants, that is the mean rate of the backlogged
// accounts.
func (q *Queue) RetryAfter(now time.Time, id version.AccountID) time.Duration {
	ahead := 1
	if a, present := q.accounts[id]; present {
		ahead = a.len()
	}
	rate := q.drain.perSecond(now, id)
	if rate == 0 {
		rate = q.meanRate(now)
	}
	if rate == 0 {
		return MaxRetryAfter
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}

// meanRate returns the mean of the grants per second of the backlogged accounts.
func (q *Queue) meanRate(now time.Time) float64 {
	total := 0.0
	for _, a := range q.byLevel {
		total += q.drain.perSecond(now, a.id)
	}
	return total / float64(max(len(q.byLevel), 1))
}
