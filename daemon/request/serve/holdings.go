package serve

import (
	"context"
	"sync"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// DefaultMaxRequests is the default of Options.MaxRequests.
	DefaultMaxRequests = 20_000
	// DefaultMaxHeldBytes is the default of Options.MaxHeldBytes.
	DefaultMaxHeldBytes = 256 << 20
	// accountPart is the part of each bound that one account may take: one in
	// accountPart.
	accountPart = 4
	// generalAccountPart is the same for requests of any form: there the balancer
	// sends each account's callers to few routers.
	generalAccountPart = 2
)

// holding is what one account, or all together, hold.
type holding struct {
	requests int
	bytes    int64
}

// holdings bounds what a daemon holds of its callers' requests. It is safe for
// concurrent use.
//
// Invariant: all is the sum of accounts.
type holdings struct {
	maxRequests int
	maxBytes    int64
	// accountPart is the part of both that one account may take: one in
	// accountPart.
	accountPart int

	mu       sync.Mutex
	all      holding
	accounts map[version.AccountID]*holding
	// leaving is set once the balancer is to send no new requests.
	leaving bool
	// closed is set once new requests are refused.
	closed bool
	// empty is closed when closed is set and no request is held.
	empty chan struct{}
}

func newHoldings(maxRequests int, maxBytes int64, accountPart int) *holdings {
	return &holdings{
		maxRequests: maxRequests,
		maxBytes:    maxBytes,
		accountPart: accountPart,
		accounts:    make(map[version.AccountID]*holding),
		empty:       make(chan struct{}),
	}
}

// enter counts a request in, or refuses it.
func (h *holdings) enter(id version.AccountID) *request.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	account := h.account(id)
	switch {
	case h.closed:
		return refuse(request.ReasonNotReady, "this router is shutting down")
	case account.requests >= part(h.maxRequests, h.accountPart):
		return refuse(request.ReasonAccountQueueFull, "the account holds too many requests at this router")
	case h.all.requests >= h.maxRequests:
		return refuse(request.ReasonQueueFull, "this router holds too many requests")
	}
	account.requests++
	h.all.requests++
	h.accounts[id] = account
	return nil
}

// leave counts a request out.
func (h *holdings) leave(id version.AccountID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accounts[id].requests--
	h.all.requests--
	if h.accounts[id].requests == 0 {
		delete(h.accounts, id)
	}
	h.announceEmpty()
}

// reserve counts the bytes of a body in, or refuses it.
func (h *holdings) reserve(id version.AccountID, bytes int64) *request.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	account := h.account(id)
	switch {
	case account.bytes+bytes > part(h.maxBytes, h.accountPart):
		return refuse(request.ReasonAccountQueueFull, "the account's requests at this router hold too many bytes")
	case h.all.bytes+bytes > h.maxBytes:
		return refuse(request.ReasonQueueFull, "this router holds too many bytes of requests")
	}
	account.bytes += bytes
	h.all.bytes += bytes
	return nil
}

// free counts bytes out. It must come before the request's leave.
func (h *holdings) free(id version.AccountID, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account(id).bytes -= bytes
	h.all.bytes -= bytes
}

// held is what one request holds until it is released.
type held struct {
	holdings *holdings
	account  version.AccountID
	bytes    int64
	// kept is set if somebody else releases the request later.
	kept bool
}

// add counts the bytes of an answer in. It refuses nothing: what it takes is
// not there for new requests.
func (h *held) add(bytes int64) {
	h.holdings.free(h.account, -bytes)
	h.bytes += bytes
}

// keep makes release do nothing, and returns what is to be called instead.
func (h *held) keep() func() {
	h.kept = true
	return h.end
}

// release counts the request out unless it is kept.
func (h *held) release() {
	if !h.kept {
		h.end()
	}
}

func (h *held) end() {
	h.holdings.free(h.account, h.bytes)
	h.holdings.leave(h.account)
}

// leaves turns readiness off.
func (h *holdings) leaves() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// close refuses every new request.
func (h *holdings) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.leaving = true
	h.closed = true
	h.announceEmpty()
}

// isLeaving reports whether the balancer is to send no new requests.
func (h *holdings) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// wait returns when no request is held after close.
func (h *holdings) wait(ctx context.Context) error {
	select {
	case <-h.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *holdings) announceEmpty() {
	if h.closed && h.all.requests == 0 {
		close(h.empty)
	}
}

func (h *holdings) account(id version.AccountID) *holding {
	account, present := h.accounts[id]
	if !present {
		return &holding{}
	}
	return account
}

func part[T int | int64](bound T, parts int) T { return max(bound/T(parts), 1) }
