package serve

import (
	"context"
	"sync"

	"github.com/trefoilwell/trefoilwell/fleet/request"
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
	requests int
	bytes    int64
}

// requestLimiter limits the requests that the daemon holds and the bytes of their bodies,
// in total and for each account. It is safe for concurrent use.
//
// Invariant: total is the sum over accounts.
type requestLimiter struct {
	maxRequests int
	maxBytes    int64
	// accountLimitDivisor divides both limits to give the limits of one account.
	accountLimitDivisor int

	mu       sync.Mutex
	total    usage
	accounts map[version.AccountID]*usage
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
		idle:                make(chan struct{}),
	}
}

// enter adds a request to the usage, or refuses it.
func (l *requestLimiter) enter(id version.AccountID) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.account(id)
	if refusal := l.check(account); refusal != nil {
		return refusal
	}
	account.requests++
	l.total.requests++
	l.accounts[id] = account
	return nil
}

// wouldRefuse returns the refusal that enter would return now, or nil.
func (l *requestLimiter) wouldRefuse(id version.AccountID) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(l.account(id))
}

// check returns the refusal of another request of an account, or nil. mu must be held.
func (l *requestLimiter) check(account *usage) *request.Refusal {
	switch {
	case l.closed:
		return refuse(request.ReasonNotReady, "this router is shutting down")
	case account.requests >= accountLimit(l.maxRequests, l.accountLimitDivisor):
		return refuse(request.ReasonAccountQueueFull, "the account holds too many requests at this router")
	case l.total.requests >= l.maxRequests:
		return refuse(request.ReasonQueueFull, "this router holds too many requests")
	}
	return nil
}

// leave removes a request from the usage.
func (l *requestLimiter) leave(id version.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts[id].requests--
	l.total.requests--
	if l.accounts[id].requests == 0 {
		delete(l.accounts, id)
	}
	l.signalIfIdle()
}

// reserve adds the bytes of a body to the usage, or refuses the request.
func (l *requestLimiter) reserve(id version.AccountID, bytes int64) *request.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.account(id)
	switch {
	case account.bytes+bytes > accountLimit(l.maxBytes, l.accountLimitDivisor):
		return refuse(request.ReasonAccountQueueFull, "the account's requests at this router hold too many bytes")
	case l.total.bytes+bytes > l.maxBytes:
		return refuse(request.ReasonQueueFull, "this router holds too many bytes of requests")
	}
	account.bytes += bytes
	l.total.bytes += bytes
	return nil
}

// free removes bytes from the usage. It must be called before the request's leave.
func (l *requestLimiter) free(id version.AccountID, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(id).bytes -= bytes
	l.total.bytes -= bytes
}

// reservation is the usage of one request until it is released.
type reservation struct {
	limiter *requestLimiter
	account version.AccountID
	bytes   int64
	// transferred is set if another goroutine releases the reservation later.
	transferred bool
}

// addResponseBytes adds the bytes of a buffered response to the usage. It never refuses,
// but it leaves less for new requests.
func (r *reservation) addResponseBytes(bytes int64) {
	r.limiter.free(r.account, -bytes)
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
	r.limiter.free(r.account, r.bytes)
	r.limiter.leave(r.account)
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
