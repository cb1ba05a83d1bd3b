// Package serve is the HTTP interface for callers. It turns an HTTP request into a ticket,
// waits for a grant and relays the upstream's response.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// PathChat and PathCompletions are served by model engines.
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	// PathModels lists the models.
	PathModels = "/v1/models"
	// PathReady is the readiness check: whether a balancer should send new requests here.
	PathReady = "/readyz"
	// PathHealth is the liveness check: whether the process runs.
	PathHealth = "/healthz"
)

const (
	// MaxHeaderBytes limits the size of a request's headers.
	MaxHeaderBytes = 32 << 10
	// readHeaderTimeout limits the reading of a request's headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 2 * time.Minute
	// writeTimeout limits the time from a request's headers to the end of its response,
	// until the response's writer sets a deadline of its own.
	writeTimeout = MaxDeadline + 5*time.Minute
)

// Fleet decides when and at which upstream a request is executed.
type Fleet interface {
	Config() *version.Config
	NewID() request.ID
	Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal)
}

// Relay sends granted attempts to upstreams.
type Relay interface {
	Do(w http.ResponseWriter, call relay.Call) relay.Result
	// Settle reports the attempt's outcome and frees its slot. It is called once for each
	// Result.
	Settle(result relay.Result)
	// UnusedResult returns the Result of a grant that is handed back without an attempt.
	UnusedResult(grant request.Grant) relay.Result
}

// Counter counts final responses. Its methods are safe for concurrent use.
type Counter interface {
	// Answered counts a response that was relayed completely.
	Answered()
	// Refused counts a refusal.
	Refused(reason request.Reason)
}

// ClaimEvent is the ledger's verdict on one claim.
type ClaimEvent struct {
	Grant   request.Grant
	Account version.AccountID
	// Verdict is "run", "replay", the reason of a refusal, or "none".
	Verdict string
}

// Options configure a Handler.
type Options struct {
	Fleet Fleet
	Relay Relay
	// Ledger claims requests with an idempotency key. If it is nil, they are refused.
	Ledger Ledger
	// OnClaim is called with the ledger's verdict on each claim. The default does nothing. It
	// must not block.
	OnClaim func(ClaimEvent)
	// Guard keeps requests that crash upstreams away from them; the default admits all.
	Guard Guard
	// Counter counts final responses; the default counts nothing.
	Counter Counter
	// VM and DataCentre identify this daemon. It isn't ready while operators have taken one
	// of them out of service.
	VM         version.VMID
	DataCentre version.DataCentreID
	// MaxRequests limits the requests that are held at once; default DefaultMaxRequests.
	MaxRequests int
	// MaxHeldBytes limits the bodies of the requests held, in bytes; default
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64
	// AtConnectionLimit reports whether there are so many caller connections that each should
	// be closed after its response; default never.
	AtConnectionLimit func() bool
	// BodyTimeout limits the reading of a body; default DefaultBodyTimeout.
	BodyTimeout time.Duration
}

// Handler serves completion requests and plain services. It is safe for concurrent use.
type Handler struct {
	options     Options
	limiter     *requestLimiter
	retryBudget *retryBudget
}

// New returns a handler with the defaults filled in.
func New(options Options) *Handler {
	if options.Guard == nil {
		options.Guard = openGuard{}
	}
	if options.MaxRequests == 0 {
		options.MaxRequests = DefaultMaxRequests
	}
	if options.MaxHeldBytes == 0 {
		options.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if options.BodyTimeout == 0 {
		options.BodyTimeout = DefaultBodyTimeout
	}
	if options.Counter == nil {
		options.Counter = noopCounter{}
	}
	if options.AtConnectionLimit == nil {
		options.AtConnectionLimit = func() bool { return false }
	}
	return &Handler{
		options:     options,
		limiter:     newRequestLimiter(options.MaxRequests, options.MaxHeldBytes, accountLimitDivisor),
		retryBudget: newRetryBudget(),
	}
}

// NewServer returns an HTTP server with the limits of the callers' interface.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		// The handler responds to every request itself, including OPTIONS *.
		DisableGeneralOptionsHandler: true,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limitUnreadBody(w, r)
	if h.options.AtConnectionLimit() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case PathHealth:
		h.health(w, r)
	case PathReady:
		h.ready(w, r)
	case PathModels:
		h.models(w, r)
	case PathChat, PathCompletions:
		h.completion(w, r)
	default:
		h.service(w, r)
	}
}

// noopCounter is a Counter that counts nothing.
type noopCounter struct{}

// Answered implements Counter.
func (noopCounter) Answered() {}

// Refused implements Counter.
func (noopCounter) Refused(request.Reason) {}

// refuse writes a refusal to the caller and counts it.
func (h *Handler) refuse(w http.ResponseWriter, refusal *request.Refusal) {
	h.options.Counter.Refused(refusal.Reason)
	WriteRefusal(w, refusal)
}

// allowMethods reports whether the request's method is one of methods. Otherwise it refuses
// the request.
func (h *Handler) allowMethods(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	for _, method := range methods {
		if r.Method == method {
			return true
		}
	}
	w.Header()["Allow"] = methods
	h.refuse(w, refuse(request.ReasonMethodNotAllowed, "the path does not take this method"))
	return false
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	if !h.allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	admitted, refusal := h.admit(r)
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, modelList(admitted.config))
}

// completion serves a request for a model engine.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request) {
	if !h.allowMethods(w, r, http.MethodPost) {
		return
	}
	h.admitAndRun(w, r, func(admitted *admission, body []byte) (*call, *request.Refusal) {
		parsed, refusal := parseInGoroutine(body)
		if refusal != nil {
			return nil, refusal
		}
		pool, found := admitted.config.PoolByModel(parsed.Model)
		if !found {
			return nil, refuse(request.ReasonUnknownModel, "no pool serves this model; see GET "+PathModels)
		}
		c := h.newCall(w, r, admitted, pool, body)
		c.ticket.Estimate = parsed.estimate(len(body), admitted.costHint)
		c.ticket.Prefix = parsed.prefix
		c.stream = parsed.Stream
		return c, c.admitByGuard(parsed.segments)
	})
}

// service serves a request to a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	h.admitAndRun(w, r, func(admitted *admission, body []byte) (*call, *request.Refusal) {
		pool, refusal := servicePool(admitted.config, r)
		if refusal != nil {
			return nil, refusal
		}
		c := h.newCall(w, r, admitted, pool, body)
		c.ticket.Estimate = max(admitted.costHint, 1)
		return c, c.admitByGuard(nil)
	})
}

// admitAndRun admits a request, reads its body and runs the call that newCall returns. The
// request counts against the limits until it ends.
func (h *Handler) admitAndRun(w http.ResponseWriter, r *http.Request, newCall func(*admission, []byte) (*call, *request.Refusal)) {
	admitted, refusal := h.admit(r)
	if refusal != nil {
		h.refuse(w, refusalBeforeClaim(r, refusal))
		return
	}
	account := admitted.account.ID
	reserved := &reservation{}
	if refusal := h.limiter.enter(account, reserved); refusal != nil {
		h.refuse(w, refusalBeforeClaim(r, refusal))
		return
	}
	defer reserved.release()
	body, refusal := reserved.readBody(w, r, MaxBodyBytes, time.Now().Add(h.options.BodyTimeout))
	if refusal != nil {
		h.refuse(w, refusalBeforeClaim(r, refusal))
		return
	}
	c, refusal := newCall(admitted, body)
	if c != nil {
		defer func() { c.pass.Close() }()
	}
	if refusal != nil {
		h.refuse(w, refusalBeforeClaim(r, refusal))
		return
	}
	c.reservation = reserved
	c.run()
}
