package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxPendingChecks limits the upstreams that wait to be checked.
	maxPendingChecks = 256
	// maxConcurrentChecks limits the upstreams that are checked at the same time.
	maxConcurrentChecks = 8
	// checkTimeout limits one check.
	checkTimeout = 300 * time.Millisecond
	// disconnectRetention is how long the attempts are kept that an upstream cut off which may
	// not have crashed. An upstream that restarts at once is registered anew within that time.
	disconnectRetention = 10 * time.Second
	// crashWindow is how long after a crash further attempts that break off belong to it.
	crashWindow = 2 * time.Second
	// maxDisconnectAttempts limits the attempts that are kept of one upstream.
	maxDisconnectAttempts = 128
)

// disconnect is an upstream that ended connections before their answers were complete.
type disconnect struct {
	at       time.Time
	pool     version.PoolID
	attempts []quarantine.Attempt
	// crashed is set once it is known that the upstream has crashed, and knownAt when it was.
	crashed bool
	knownAt time.Time
}

// recordDisconnect records that an upstream ended the connection of an attempt at a time. An
// upstream that is shutting down is not suspect. mu must be held.
func (q *Quarantine) recordDisconnect(now time.Time, id version.UpstreamID, at time.Time, attempt quarantine.Attempt) {
	config := q.options.Config()
	if config == nil {
		return
	}
	upstream, registered := config.Upstreams[id]
	if !registered || upstream.Draining || config.UpstreamOut(upstream) {
		return
	}
	d := q.disconnects[id]
	returned := d != nil && d.crashed && attempt.Returned(d.knownAt)
	if d != nil && d.crashed && !returned && at.Sub(d.at) < crashWindow {
		q.tracker.RecordCrash(now, id, d.pool, d.at, []quarantine.Attempt{attempt})
		return
	}
	if d == nil || d.crashed {
		d = &disconnect{at: at, pool: upstream.Pool}
		q.disconnects[id] = d
		q.enqueueCheck(id)
	}
	if len(d.attempts) < maxDisconnectAttempts {
		d.attempts = append(d.attempts, attempt)
	}
}

// enqueueCheck has an upstream checked. mu must be held.
func (q *Quarantine) enqueueCheck(id version.UpstreamID) {
	select {
	case q.checks <- id:
	default:
		q.dropped++
	}
}

// recordAlive records an answer of an upstream to an attempt that was sent at sentAt. An
// upstream that answers has not crashed before. mu must be held.
func (q *Quarantine) recordAlive(id version.UpstreamID, sentAt time.Time) {
	if d := q.disconnects[id]; d != nil && !d.crashed && sentAt.After(d.at) {
		delete(q.disconnects, id)
	}
}

// Check checks the upstreams that ended connections until ctx ends: one that refuses a
// connection has crashed.
func (q *Quarantine) Check(ctx context.Context) error {
	running := make(chan struct{}, maxConcurrentChecks)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-q.checks:
			running <- struct{}{}
			go func() {
				defer func() { <-running }()
				q.check(ctx, id)
			}()
		}
	}
}

// check opens a connection to an upstream, on which nothing is sent.
func (q *Quarantine) check(ctx context.Context, id version.UpstreamID) {
	config := q.options.Config()
	if config == nil || config.Upstreams[id] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := q.options.Dial(ctx, "tcp", config.Upstreams[id].Address)
	if err == nil {
		// The check is over; an error of closing means nothing.
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.confirmCrash(time.Now(), id)
	}
}

// confirmCrash records the crash of an upstream with the attempts that it cut off. mu must be
// held.
func (q *Quarantine) confirmCrash(now time.Time, id version.UpstreamID) {
	d := q.disconnects[id]
	if d == nil || d.crashed {
		return
	}
	d.crashed, d.knownAt = true, now
	q.crashed++
	q.options.Log.Info("upstream crashed", "upstream", q.upstreamNames([]version.UpstreamID{id})[0], "in_flight", len(d.attempts))
	q.tracker.RecordCrash(now, id, d.pool, d.at, d.attempts)
	q.reportCrashes()
	d.attempts = nil
}

// Configured confirms the crash of upstreams that cut off attempts and were replaced by another
// incarnation since.
func (q *Quarantine) Configured(config *version.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for id, d := range q.disconnects {
		if _, registered := config.Upstreams[id]; !registered && !d.crashed {
			q.confirmCrash(now, id)
		}
	}
}

// expireDisconnects drops the attempts of upstreams that did not crash. mu must be held.
func (q *Quarantine) expireDisconnects(now time.Time) {
	for id, d := range q.disconnects {
		if now.Sub(d.at) > disconnectRetention {
			delete(q.disconnects, id)
		}
	}
}
