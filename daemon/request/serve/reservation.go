package serve

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// stillTime is how long a body may not move before its reservation may be revoked for other
	// requests. Honest senders on slow links move movedBytes in less.
	stillTime = 500 * time.Millisecond
	// stillInterval is the time between two looks for such reservations after one that found none.
	stillInterval = 20 * time.Millisecond
	// revokedFraction is the reciprocal of the fraction of the bodies that are read of which
	// reservations are revoked at a time.
	revokedFraction = 16
	// heldRequestBytes is what a request holds without its body, for the choice of reservations.
	heldRequestBytes = 64 << 10
)

// reservation is the usage of one request until it is released or revoked.
type reservation struct {
	limiter *requestLimiter
	account version.AccountID
	bytes   int64
	// transferred is set if another goroutine releases the reservation later.
	transferred bool
	// revoked is set once the usage is no longer counted. writer is that of the request while its body
	// is read; a read deadline ends that. limiter.mu guards both.
	revoked bool
	writer  http.ResponseWriter
	// movedAt is when the body moved last, in nanoseconds of Unix time.
	movedAt atomic.Int64
}

// grow adds bytes of a body to the usage, or refuses the request. It revokes the reservations of
// others whose bodies do not move, if that is needed.
func (r *reservation) grow(bytes int64) *request.Refusal {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.revoked {
		// Its reader learns so from endReading.
		return nil
	}
	maxOfAccount := accountLimit(l.maxBytes, l.accountLimitDivisor)
	// It moves, so it is not its own victim.
	r.movedAt.Store(time.Now().UnixNano())
	if !l.reclaim(&r.account, func() bool { return l.account(r.account).bytes+bytes <= maxOfAccount }) {
		return refuse(request.ReasonAccountQueueFull, "the account's requests at this router hold too many bytes")
	}
	if !l.reclaim(nil, func() bool { return l.total.bytes+bytes <= l.maxBytes }) {
		return refuse(request.ReasonQueueFull, "this router holds too many bytes of requests")
	}
	r.bytes += bytes
	l.add(r.account, bytes)
	return nil
}

// beginReading makes the reservation one whose body is read and that may be revoked, or refuses it if
// there are too many of them that move. A read deadline of w ends the reading of the body.
func (r *reservation) beginReading(w http.ResponseWriter) *request.Refusal {
	r.movedAt.Store(time.Now().UnixNano())
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	room := func() bool { return l.refuseMore(l.account(r.account).reading, l.total.reading) == nil }
	if !l.reclaim(&r.account, room) && !l.reclaim(nil, room) {
		return l.refuseMore(l.account(r.account).reading, l.total.reading)
	}
	l.addReading(r, 1)
	r.writer = w
	l.reading[r] = struct{}{}
	return nil
}

// endReading ends what beginReading began, if it did. It refuses the request if the reservation was
// revoked, or if there are too many others by now. ok is set if the body is complete.
func (r *reservation) endReading(ok bool) *request.Refusal {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.revoked:
		return refuse(request.ReasonQueueFull, "the body did not move while this router held too many requests")
	case r.writer == nil:
		return nil
	}
	delete(l.reading, r)
	r.writer = nil
	l.addReading(r, -1)
	if !ok {
		return nil
	}
	return l.refuseMore(l.account(r.account).whole()-1, l.total.whole()-1)
}

// addReading adds a number of requests whose body is read to the usage. l.mu must be held.
func (l *requestLimiter) addReading(r *reservation, number int) {
	l.account(r.account).reading += number
	l.total.reading += number
}

// addResponseBytes adds the bytes of a buffered response to the usage. It never refuses,
// but it leaves less for new requests.
func (r *reservation) addResponseBytes(bytes int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.add(r.account, bytes)
	r.bytes += bytes
}

// transfer makes release do nothing, and returns the function to call instead.
func (r *reservation) transfer() func() {
	r.transferred = true
	return r.releaseNow
}

// release removes the request from the usage, unless the reservation was transferred.
func (r *reservation) release() {
	if !r.transferred {
		r.releaseNow()
	}
}

func (r *reservation) releaseNow() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if !r.revoked {
		r.limiter.remove(r.account, r.bytes)
	}
}

// reclaim revokes reservations, of an account or of all, until enough holds, and reports whether it
// does: those that hold most and have not moved for longest first. l.mu must be held.
func (l *requestLimiter) reclaim(account *version.AccountID, enough func() bool) bool {
	if enough() {
		return true
	}
	now := time.Now()
	if len(l.reading) == 0 || now.Before(l.noneStillUntil) {
		return false
	}
	type candidate struct {
		*reservation
		weight float64
	}
	var candidates []candidate
	for r := range l.reading {
		still := time.Duration(now.UnixNano() - r.movedAt.Load())
		if still >= stillTime && (account == nil || *account == r.account) {
			candidates = append(candidates, candidate{r, float64(heldRequestBytes+r.bytes) * still.Seconds()})
		}
	}
	if len(candidates) == 0 {
		l.noneStillUntil = now.Add(stillInterval)
		return false
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	least := len(l.reading) / revokedFraction
	for n, c := range candidates {
		if n >= least && enough() {
			break
		}
		l.revoke(c.reservation)
	}
	return enough()
}

// revoke ends the reading of a body and stops counting its request. l.mu must be held.
func (l *requestLimiter) revoke(r *reservation) {
	delete(l.reading, r)
	r.revoked = true
	l.revoked++
	l.addReading(r, -1)
	l.remove(r.account, r.bytes)
	// Writers in tests may not support deadlines.
	_ = http.NewResponseController(r.writer).SetReadDeadline(time.Now())
}

// HoldingStats are the requests that are held and the bytes of their bodies, with their limits.
type HoldingStats struct {
	Requests    int   `json:"requests"`
	MaxRequests int   `json:"max_requests"`
	BodyBytes   int64 `json:"body_bytes"`
	MaxBytes    int64 `json:"max_body_bytes"`
	// Revoked counts the requests that were refused because their body did not move while others
	// needed what they held.
	Revoked uint64 `json:"revoked"`
}

func (l *requestLimiter) stats() HoldingStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return HoldingStats{
		Requests: l.total.requests, MaxRequests: l.maxRequests, BodyBytes: l.total.bytes, MaxBytes: l.maxBytes, Revoked: l.revoked,
	}
}

// Held returns the requests that are held.
func (h *Handler) Held() HoldingStats { return h.limiter.stats() }

// Held returns the requests that are held.
func (g *GeneralHandler) Held() HoldingStats { return g.limiter.stats() }
