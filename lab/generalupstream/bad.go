package generalupstream

import (
	"net/http"
	"strings"
	"time"
)

// Bad describes a software version that is bad. The zero value is good.
type Bad struct {
	// Share is the fraction of the responses that are bad.
	Share float64
	// Slow is the factor by which a bad response is slower, Faults.Delay and Faults.Pause alike; 0
	// makes it fail with status 500 instead.
	Slow float64
	// From is when the version becomes bad; zero is at once.
	From time.Time
	// MinRunning makes it bad only while at least this number of requests is in progress.
	MinRunning int
	// Path makes it bad only on paths that begin so.
	Path string
}

// SetBad sets how the upstream's software is bad.
func (u *Upstream) SetBad(bad Bad) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bad, u.badDue = bad, 0
}

// beginRun counts a request in progress, and returns whether its response is to fail, or the factor
// by which it is slower.
func (u *Upstream) beginRun(r *http.Request, now time.Time) (fails bool, slow float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	if u.bad.Share == 0 || now.Before(u.bad.From) || u.running < u.bad.MinRunning || !strings.HasPrefix(r.URL.Path, u.bad.Path) {
		return false, 0
	}
	if u.badDue += u.bad.Share; u.badDue < 1 {
		return false, 0
	}
	u.badDue--
	u.badRuns++
	return u.bad.Slow == 0, u.bad.Slow
}

// endRun counts a request that is no longer in progress.
func (u *Upstream) endRun() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// BadRuns returns the number of responses that were bad.
func (u *Upstream) BadRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.badRuns
}

// Running returns the number of requests in progress.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}
