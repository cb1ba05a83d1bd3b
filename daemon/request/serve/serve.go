// Package serve is the callers' HTTP interface: it turns an HTTP request into
// a ticket, waits for a grant and relays the upstream's answer.
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
	// PathChat and PathCompletions serve model engines.
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	// PathModels lists the models.
	PathModels = "/v1/models"
	// PathReady tells a balancer whether to send new requests here.
	PathReady = "/readyz"
	// PathHealth tells that the process runs.
	PathHealth = "/healthz"
)

const (
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 32 << 10
	// readHeaderTimeout bounds the reading of a request's headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes a connection without a request.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds the time from a request's headers to the end of its
	// answer until the answer's writer sets a deadline of its own.
	writeTimeout = MaxDeadline + 5*time.Minute
)

// Fleet decides when a request may run and where.
type Fleet interface {
	Config() *version.Config
	NewID() request.ID
	Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal)
}

// Relay carries granted attempts.
type Relay interface {
	Do(w http.ResponseWriter, call relay.Call) relay.Result
	// Settle ends an attempt. It is called once for each Result.
	Settle(result relay.Result)
	// Unused is the Result of a grant that is handed back.
	Unused(grant request.Grant) relay.Result
}

// Counter counts final answers. Its methods are safe for concurrent use.
type Counter interface {
	// Answered counts an answer that was relayed whole.
	Answered()
	// Refused counts a refusal.
	Refused(reason request.Reason)
}

// Claimed is what the ledger said of one claim.
type Claimed struct {
	Grant   request.Grant
	Account version.AccountID
	// Verdict is "run", "replay" or the reason of a refusal.
	Verdict string
}

// Options set up a Handler.
type Options struct {
	Fleet Fleet
	Relay Relay
	// Ledger claims requests with an idempotency key; without one they are
	// refused.
	Ledger Ledger
	// Claimed is told what the ledger said of each claim; default nothing. It
	// must not block.
	Claimed func(Claimed)
	// Counter counts final answers; default none.
	Counter Counter
	// VM and DataCentre tell whether operators have taken this daemon out.
	VM         version.VMID
	DataCentre version.DataCentreID
	// MaxRequests bounds the requests that are held at once; default
	// DefaultMaxRequests.
	MaxRequests int
	// MaxHeldBytes bounds the bodies of the requests held, in bytes; default
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64
	// BodyTimeout bounds the reading of a body; default DefaultBodyTimeout.
	BodyTimeout time.Duration
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	holdings *holdings
	retries  *retries
}

// New returns a handler.
func New(options Options) *Handler {
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
		options.Counter = uncounted{}
	}
	return &Handler{
		options:  options,
		holdings: newHoldings(options.MaxRequests, options.MaxHeldBytes, accountPart),
		retries:  newRetries(),
	}
}

// NewServer returns an HTTP server with the bounds of the callers' interface.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		// Every answer has the handler's form, also to OPTIONS *.
		DisableGeneralOptionsHandler: true,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// uncounted is a Counter that counts nothing.
type uncounted struct{}

// Answered implements Counter.
func (uncounted) Answered() {}

// Refused implements Counter.
func (uncounted) Refused(request.Reason) {}

// refuse answers a caller with a refusal and counts it.
func (h *Handler) refuse(w http.ResponseWriter, refusal *request.Refusal) {
	h.options.Counter.Refused(refusal.Reason)
	WriteRefusal(w, refusal)
}

// allow refuses a request whose method is not among those given.
func (h *Handler) allow(w http.ResponseWriter, r *http.Request, methods ...string) bool {
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
	if !h.allow(w, r, http.MethodGet, http.MethodHead) {
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
	if !h.allow(w, r, http.MethodPost) {
		return
	}
	h.hold(w, r, func(admitted *admission, body []byte) (*call, *request.Refusal) {
		parsed, refusal := parseApart(body)
		if refusal != nil {
			return nil, refusal
		}
		pool, known := admitted.config.PoolByModel(parsed.Model)
		if !known {
			return nil, refuse(request.ReasonUnknownModel, "no pool serves this model; see GET "+PathModels)
		}
		c := h.newCall(w, r, admitted, pool, body)
		c.ticket.Estimate = parsed.estimate(len(body), admitted.costHint)
		c.ticket.Prefix = parsed.prefix
		c.stream = parsed.Stream
		return c, nil
	})
}

// service serves a request for a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	h.hold(w, r, func(admitted *admission, body []byte) (*call, *request.Refusal) {
		pool, refusal := servicePool(admitted.config, r)
		if refusal != nil {
			return nil, refusal
		}
		c := h.newCall(w, r, admitted, pool, body)
		c.ticket.Estimate = max(admitted.costHint, 1)
		return c, nil
	})
}

// hold admits a request, holds its body and runs the call that plan makes of
// it.
func (h *Handler) hold(w http.ResponseWriter, r *http.Request, plan func(*admission, []byte) (*call, *request.Refusal)) {
	admitted, refusal := h.admit(r)
	if refusal != nil {
		h.refuse(w, unclaimed(r, refusal))
		return
	}
	account := admitted.account.ID
	if refusal := h.holdings.enter(account); refusal != nil {
		h.refuse(w, unclaimed(r, refusal))
		return
	}
	held := &held{holdings: h.holdings, account: account}
	defer held.release()
	body, refusal := h.readBody(w, r, account)
	if refusal != nil {
		h.refuse(w, unclaimed(r, refusal))
		return
	}
	held.bytes = int64(len(body))
	c, refusal := plan(admitted, body)
	if refusal != nil {
		h.refuse(w, unclaimed(r, refusal))
		return
	}
	c.held = held
	c.run()
}
