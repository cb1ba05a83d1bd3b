package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/grace"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// GeneralOptions configure a GeneralHandler.
type GeneralOptions struct {
	Fleet Fleet
	Relay Relay
	// ParseHeaders parses a caller's headers.
	ParseHeaders func(http.Header) (request.Incoming, error)
	// ConfigFresh reports whether the active configuration was confirmed recently enough to
	// trust API keys, and the time since it was confirmed.
	ConfigFresh func() (bool, time.Duration)
	// Guard keeps requests that crash upstreams away from them; the default admits all.
	Guard Guard
	// Streams knows which software versions begin streams; by default any upstream continues one.
	Streams Streams
	// Counter counts final responses; the default counts nothing.
	Counter Counter
	// Retry returns the limits on retries, which apply to each pool separately. It is
	// called before each use, so the limits may change.
	Retry func() retry.WindowOptions
	// Lag returns the scheduling lag of the process; default 0.
	Lag func() time.Duration
	// Admit reports whether the load shedder admits a request of an account; the default admits
	// all. first is set for the first request of a connection, which the listener has already
	// admitted.
	Admit func(account version.AccountID, first bool) bool
	// TurnedAway returns how many connections of an account, and of unknown ones, the load shedder has
	// turned away since its last calls; by default none.
	TurnedAway func(account version.AccountID) int
	// OnUnplaced is called with the ticket of a request that is refused because of this router's state
	// before it is placed. The default does nothing.
	OnUnplaced func(ticket request.Ticket)
	// AtConnectionLimit reports whether there are so many caller connections that each should
	// be closed after its response; default never.
	AtConnectionLimit func() bool
	// MaxRequests limits the requests that are held at once; default DefaultMaxRequests.
	MaxRequests int
	// MaxHeldBytes limits the bodies of the requests held, in bytes; default
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64
	// OnFinished is called with the outcome and the duration of each request. The default does
	// nothing.
	OnFinished func(outcome string, duration time.Duration)
	Log        *slog.Logger
}

// GeneralHandler serves requests of any form: host and path select the route, and the route
// defines the pools and which requests may be retried. It is safe for concurrent use.
type GeneralHandler struct {
	options GeneralOptions
	limiter *requestLimiter
	// stop is set once the process is told to stop.
	stop atomic.Pointer[grace.Stop]

	mu           sync.Mutex
	retryBudgets map[version.PoolID]*retry.Window
	// durations remembers how long requests took, by route, and inProgress holds those without a
	// final response.
	durations  *grace.Durations
	inProgress map[*generalCall]struct{}
}

// NewGeneralHandler returns a handler with the defaults filled in.
func NewGeneralHandler(options GeneralOptions) *GeneralHandler {
	if options.Counter == nil {
		options.Counter = noopCounter{}
	}
	if options.Guard == nil {
		options.Guard = openGuard{}
	}
	if options.Streams == nil {
		options.Streams = openStreams{}
	}
	if options.MaxRequests == 0 {
		options.MaxRequests = DefaultMaxRequests
	}
	if options.MaxHeldBytes == 0 {
		options.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if options.Lag == nil {
		options.Lag = func() time.Duration { return 0 }
	}
	if options.AtConnectionLimit == nil {
		options.AtConnectionLimit = func() bool { return false }
	}
	if options.Admit == nil {
		options.Admit = func(version.AccountID, bool) bool { return true }
	}
	if options.TurnedAway == nil {
		options.TurnedAway = func(version.AccountID) int { return 0 }
	}
	if options.OnUnplaced == nil {
		options.OnUnplaced = func(request.Ticket) {}
	}
	if options.OnFinished == nil {
		options.OnFinished = func(string, time.Duration) {}
	}
	limiter := newRequestLimiter(options.MaxRequests, options.MaxHeldBytes, generalAccountLimitDivisor)
	limiter.lendsRequests = true
	return &GeneralHandler{
		options:      options,
		limiter:      limiter,
		retryBudgets: make(map[version.PoolID]*retry.Window),
		durations:    grace.NewDurations(),
		inProgress:   make(map[*generalCall]struct{}),
	}
}

// Leave makes the handler close each connection after its next response, and refuse requests that
// are not expected to end before the cut of the stop.
func (g *GeneralHandler) Leave(stop grace.Stop) { g.stop.Store(&stop) }

// Close makes the handler refuse every new request.
func (g *GeneralHandler) Close() { g.limiter.close() }

// HeldRequests returns the number of requests without a final response yet.
func (g *GeneralHandler) HeldRequests() int {
	requests, _ := g.HeldUsage()
	return requests
}

// HeldUsage returns the number of requests that are held, and the bytes of their bodies.
func (g *GeneralHandler) HeldUsage() (requests int, bodyBytes int64) {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	return g.limiter.total.requests, g.limiter.total.bytes
}

// ServeHTTP implements http.Handler.
func (g *GeneralHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &generalCall{handler: g, w: w, r: r, started: time.Now(), pass: openPass{r.Context()}}
	defer func() { c.pass.Close() }()
	// The server drops the length of a request that has both a length and chunks. The bytes
	// after such a request could be meant as part of it (request smuggling), so the
	// connection is closed after any chunked request.
	if g.stop.Load() != nil || len(r.TransferEncoding) > 0 || g.options.AtConnectionLimit() {
		w.Header().Set("Connection", "close")
	}
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	account := c.ticket.Account
	if refusal := g.limiter.enter(account, &c.reserved); refusal != nil {
		g.options.OnUnplaced(c.ticket)
		c.sendToOtherRouter(refusal)
		c.refuse(refusal)
		return
	}
	defer c.reserved.release()
	g.begin(c)
	defer g.end(c)
	body, refusal := c.readBody()
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	c.body = body
	c.fingerprint = request.Fingerprint(account, r.Method, r.Host, r.RequestURI, body)
	if refusal := c.pass.Identify(c.fingerprint); refusal != nil {
		c.refuse(refusal)
		return
	}
	if refusal := c.findOrigin(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.run()
}

// shedRetryAfter is the Retry-After of requests that another router should serve instead.
// It is short, so that the caller tries another one at once.
const shedRetryAfter = 20 * time.Millisecond

// shed refuses a request if this process is overloaded.
func (c *generalCall) shed() *request.Refusal {
	if c.handler.options.Admit(c.ticket.Account, markFirstRequest(c.r)) {
		return nil
	}
	c.handler.options.OnUnplaced(c.ticket)
	refusal := &request.Refusal{
		Reason:        request.ReasonQueueFull,
		Execution:     request.NotExecuted,
		Detail:        "this router is behind with its work",
		PredictedTTFB: c.handler.options.Lag(),
	}
	c.sendToOtherRouter(refusal)
	return refusal
}

// sendToOtherRouter prepares a refusal due to this router's limits so that the caller tries
// another router at once.
func (c *generalCall) sendToOtherRouter(refusal *request.Refusal) {
	c.w.Header().Set("Connection", "close")
	refusal.RetryAfter = shedRetryAfter
}

// admit parses the request's headers and determines its route, account and ticket.
func (c *generalCall) admit() *request.Refusal {
	g := c.handler
	incoming, err := g.options.ParseHeaders(c.r.Header)
	c.incoming = incoming
	if err != nil {
		return refuse(request.ReasonBadRequest, err.Error())
	}
	config := g.options.Fleet.Config()
	if config == nil {
		return refuse(request.ReasonNotReady, "this router has no configuration yet")
	}
	c.config = config
	c.route = findRoute(config, c.r)
	if c.route == nil {
		return refuse(request.ReasonUnknownService, "no route takes this host and path")
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	if refusal := c.prepareTicket(); refusal != nil {
		return refusal
	}
	if refusal := c.shed(); refusal != nil {
		return refusal
	}
	pass, refusal := g.options.Guard.Admit(c.r.Context(), c.incoming.Segments)
	if refusal != nil {
		return refusal
	}
	c.pass = pass
	return nil
}

// findRoute returns the route of a request, or nil. Paths and prefixes are compared in the
// escaped form in which they were sent, because that is what the upstream receives.
func findRoute(config *version.Config, r *http.Request) *version.Route {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	if route := config.Routes.Find(r.Host, path); route != nil {
		return route
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return nil
	}
	return config.Routes.Find(host, path)
}

// authenticate sets the account of the request's API key.
func (c *generalCall) authenticate() *request.Refusal {
	account, admitted := c.config.Authenticate(c.route, c.incoming.Key)
	switch {
	case !admitted && c.config.Keyless:
		return refuse(request.ReasonUnauthorised, "the configuration has no accounts, so no API key is valid")
	case !admitted:
		return refuse(request.ReasonUnauthorised, "the API key is missing or unknown")
	case account == nil:
		return nil
	}
	if refusal := c.checkFresh(); refusal != nil {
		return refusal
	}
	c.account = account
	c.ticket.Account = account.ID
	return nil
}

// checkFresh refuses a request with an API key to a route that is not public if the configuration is
// too old to trust the key.
func (c *generalCall) checkFresh() *request.Refusal {
	if c.route.Public {
		return nil
	}
	fresh, age := c.handler.options.ConfigFresh()
	c.configAge = age
	if !fresh {
		return refuse(request.ReasonNotReady, "this router cannot tell whether the key still holds")
	}
	return nil
}

// prepareTicket sets the request's deadline, pool and ticket, and counts the request.
func (c *generalCall) prepareTicket() *request.Refusal {
	if refusal := c.fillTicket(); refusal != nil {
		return refusal
	}
	c.ticket.ID = c.handler.options.Fleet.NewID()
	c.ticket.TurnedAway = c.handler.options.TurnedAway(c.ticket.Account)
	c.handler.withRetryBudget(c.pool.ID, func(w *retry.Window) bool {
		w.Request(c.started)
		return true
	})
	return nil
}

// fillTicket sets the request's deadline and pool, and the fields of the ticket but its ID.
func (c *generalCall) fillTicket() *request.Refusal {
	limit := c.route.Timeout
	if c.incoming.Deadline > 0 && (limit <= 0 || c.incoming.Deadline < limit) {
		limit = c.incoming.Deadline
	}
	if limit <= 0 {
		limit = DefaultDeadline
	}
	c.deadline = c.started.Add(limit)
	pool, found := c.config.Pools[c.route.Pick(xxhash.Sum64String(c.incoming.ID))]
	if !found {
		return refuse(request.ReasonNoUpstream, "the route's service is not configured")
	}
	c.pool = pool
	c.ticket.Pool = pool.ID
	c.ticket.Attempt = 1
	c.ticket.Prompt = c.incoming.Prompt
	c.ticket.Regions = c.route.Regions
	if c.account != nil && c.account.Regions != nil {
		c.ticket.Regions = intersectRegions(c.ticket.Regions, c.account.Regions)
	}
	return nil
}

// intersectRegions returns the regions that both lists allow. A nil list a allows every
// region; b must not be nil.
func intersectRegions(a, b []version.RegionID) []version.RegionID {
	if a == nil {
		return b
	}
	allowed := []version.RegionID{}
	for _, region := range a {
		for _, otherRegion := range b {
			if region == otherRegion {
				allowed = append(allowed, region)
			}
		}
	}
	return allowed
}

// bodyLimit returns the largest size of a body, in bytes.
func (c *generalCall) bodyLimit() int64 {
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && limit <= MaxBodyBytes {
		return limit
	}
	return MaxBodyBytes
}

// readBody reads the request's body. Its bytes count against the account's limit until the
// request's reservation is released.
func (c *generalCall) readBody() ([]byte, *request.Refusal) {
	body, refusal := c.reserved.readBody(c.w, c.r, c.bodyLimit(), c.deadline)
	if refusal != nil && (refusal.Reason == request.ReasonQueueFull || refusal.Reason == request.ReasonAccountQueueFull) {
		c.handler.options.OnUnplaced(c.ticket)
		c.sendToOtherRouter(refusal)
	}
	return body, refusal
}

// withRetryBudget calls use with the retry budget of a pool, while holding the lock, and
// returns its result.
func (g *GeneralHandler) withRetryBudget(pool version.PoolID, use func(*retry.Window) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.retryBudgets[pool]
	if window == nil {
		window = retry.NewWindow(g.options.Retry())
		g.retryBudgets[pool] = window
	}
	window.Configure(g.options.Retry())
	return use(window)
}

// logOutcome logs a request that got its final response.
func (c *generalCall) logOutcome(outcome string, attributes ...slog.Attr) {
	duration := time.Since(c.started)
	c.handler.options.OnFinished(outcome, duration)
	base := []slog.Attr{
		slog.String("request", c.incoming.ID),
		slog.String("outcome", outcome),
		slog.Int("attempts", c.sentAttempts),
		slog.Float64("ms", float64(duration.Microseconds())/1000),
	}
	if c.route != nil {
		base = append(base, slog.String("route", c.route.Name))
	}
	if c.account != nil {
		base = append(base, slog.String("account", c.account.Name))
	}
	if c.incoming.LastEvent != "" {
		base = append(base, slog.String("resumes", c.incoming.Resumes), slog.String("last_event", c.incoming.LastEvent))
	}
	if c.config != nil {
		base = append(base, slog.Uint64("version", uint64(c.config.Number)),
			slog.Int64("config_age_ms", c.configAge.Milliseconds()))
	}
	if c.handler.options.Log.Enabled(context.Background(), slog.LevelDebug) {
		base = append(base, slog.Any("segments", segmentNames(c.incoming.Segments)), slog.String("fingerprint", fingerprintName(c.fingerprint)))
	}
	c.handler.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "request",
		append(base, attributes...)...)
}
