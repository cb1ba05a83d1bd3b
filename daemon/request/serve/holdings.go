package serve

import (
	"context"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/occupancy"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// DefaultMaxRequests is the default of Options.MaxRequests and
	// GeneralOptions.MaxRequests.
	DefaultMaxRequests = 20_000
	// DefaultMaxHeldBytes is the default of Options.MaxHeldBytes and
	// GeneralOptions.MaxHeldBytes.
	DefaultMaxHeldBytes = 256 << 20
	// accountLimitDivisor divides each limit to give the limit of one account.
	accountLimitDivisor = 4
	// generalAccountLimitDivisor is accountLimitDivisor for requests of any form. It is
	// smaller because the platform's balancer sends the callers of an account to few
	// routers.
	generalAccountLimitDivisor = 2
)

// usage is the number of requests held and the bytes of their bodies.
type usage struct {
	// requests includes those of reading, whose body had not come with the head and is being read.
	// They are bounded apart from the others, so that they keep nobody out whose request is whole.
	requests, reading int
	bytes             int64
}

// whole returns the number of requests whose bodies are not being read.
func (u usage) whole() int { return u.requests - u.reading }

// requestLimiter limits the requests that the daemon holds and the bytes of their bodies,
// in total and for each account. It is safe for concurrent use.
//
// Invariant: total is the sum over accounts.
type requestLimiter struct {
	maxRequests int
	maxBytes    int64
	// accountLimitDivisor divides both limits to give the limits of one account.
	accountLimitDivisor int
	// lendsRequests is set if an account may hold requests that others leave, beyond its limit. Where
	// requests wait for a grant, one account could fill the process with them.
	lendsRequests bool

	mu       sync.Mutex
	total    usage
	accounts map[version.AccountID]*usage
	// reading holds the requests whose body is read and had not come with the head.
	reading map[*reservation]struct{}
	// revoked counts the reservations that were revoked, and noneStillUntil is when it is looked again
	// for some that may be.
	revoked        uint64
	noneStillUntil time.Time
	// leaving is set once the balancer should send no new requests.
	leaving bool
	// closed is set once new requests are refused.
	closed bool
	// idle is closed when closed is set and no request is held.
	idle chan struct{}
}

func newRequestLimiter(maxRequests int, maxBytes int64, accountLimitDivisor int) *requestLimiter {
	return &requestLimiter{
		maxRequests:         maxRequests,
		maxBytes:            maxBytes,
		accountLimitDivisor: accountLimitDivisor,
		accounts:            make(map[version.AccountID]*usage),
		reading:             make(map[*reservation]struct{}),
		idle:                make(chan struct{}),
	}
}

// enter adds a request to the usage, which r holds then, or refuses it.
func (l *requestLimiter) enter(id version.AccountID, r *reservation) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.account(id)
	if refusal := l.check(account); refusal != nil {
		return refusal
	}
	account.requests++
	l.total.requests++
	l.accounts[id] = account
	r.limiter, r.account = l, id
	return nil
}

// wouldRefuse returns the refusal that enter would return now, or nil.
func (l *requestLimiter) wouldRefuse(id version.AccountID) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(l.account(id))
}

// check returns the refusal of another request of an account, or nil. l.mu must be held.
func (l *requestLimiter) check(account *usage) *request.Refusal {
	if l.closed {
		return refuse(request.ReasonNotReady, "this router is shutting down")
	}
	return l.refuseMore(account.whole(), l.total.whole())
}

// refuseMore returns the refusal of a request beside others of its account and of all; nil if the
// limits allow it.
func (l *requestLimiter) refuseMore(ofAccount, ofAll int) *request.Refusal {
	maxOfAccount := accountLimit(l.maxRequests, l.accountLimitDivisor)
	if l.lendsRequests {
		maxOfAccount = occupancy.Limit(l.maxRequests, maxOfAccount, ofAll-ofAccount)
	}
	switch {
	case ofAccount >= maxOfAccount:
		return refuse(request.ReasonAccountQueueFull, "the account holds too many requests at this router")
	case ofAll >= l.maxRequests:
		return refuse(request.ReasonQueueFull, "this router holds too many requests")
	}
	return nil
}

// add adds bytes to the usage of an account. l.mu must be held.
func (l *requestLimiter) add(id version.AccountID, bytes int64) {
	l.account(id).bytes += bytes
	l.total.bytes += bytes
}

// remove removes a request with its bytes from the usage. l.mu must be held.
func (l *requestLimiter) remove(id version.AccountID, bytes int64) {
	l.add(id, -bytes)
	l.accounts[id].requests--
	l.total.requests--
	if l.accounts[id].requests == 0 {
		delete(l.accounts, id)
	}
	l.signalIfIdle()
}

// startLeaving makes the readiness check fail.
func (l *requestLimiter) startLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// close makes enter refuse every new request.
func (l *requestLimiter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.leaving = true
	l.closed = true
	l.signalIfIdle()
}

// isLeaving reports whether the balancer should send no new requests.
func (l *requestLimiter) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// wait returns when no request is held after close, or with an error when ctx ends.
func (l *requestLimiter) wait(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *requestLimiter) signalIfIdle() {
	if l.closed && l.total.requests == 0 {
		close(l.idle)
	}
}

func (l *requestLimiter) account(id version.AccountID) *usage {
	account, present := l.accounts[id]
	if !present {
		return &usage{}
	}
	return account
}

func accountLimit[T int | int64](total T, divisor int) T { return max(total/T(divisor), 1) }
