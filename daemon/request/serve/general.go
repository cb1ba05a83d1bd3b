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
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// GeneralOptions set up a General.
type GeneralOptions struct {
	Fleet Fleet
	Relay Relay
	// Incoming reads a caller's headers.
	Incoming func(http.Header) (request.Incoming, error)
	// RequestID reads only the request's identifier.
	RequestID func(http.Header) string
	// Fresh reports whether the configuration in force is known to be so recent
	// that API keys may be trusted, and how old it is.
	Fresh func() (bool, time.Duration)
	// Counter counts final answers; default none.
	Counter Counter
	// Retry bounds the attempts beyond the first of each request, for each
	// pool. It is asked again and again.
	Retry func() retry.WindowOptions
	// Lag returns how far the process is behind with its work; default 0.
	Lag func() time.Duration
	// Admit reports whether the process has the processor for another request; default
	// always. It is not asked for the first request of a connection, since the listener
	// has asked for that.
	Admit func() bool
	// Crowded reports whether there are so many connections of callers that none
	// should be kept; default never.
	Crowded func() bool
	// MaxRequests bounds the requests that are held at once; default
	// DefaultMaxRequests.
	MaxRequests int
	// MaxHeldBytes bounds the bodies of the requests held, in bytes; default
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64
	// Finished is told the time that a request took; default nothing.
	Finished func(outcome string, took time.Duration)
	Log      *slog.Logger
}

// General serves requests of any form: host and path tell the route, the route
// tells the pools and what may be repeated. It is safe for concurrent use.
type General struct {
	options  GeneralOptions
	holdings *holdings
	leaving  atomic.Bool

	mu      sync.Mutex
	budgets map[version.PoolID]*retry.Window
}

// NewGeneral returns a handler.
func NewGeneral(options GeneralOptions) *General {
	if options.Counter == nil {
		options.Counter = uncounted{}
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
	if options.Crowded == nil {
		options.Crowded = func() bool { return false }
	}
	if options.Admit == nil {
		options.Admit = func() bool { return true }
	}
	if options.Finished == nil {
		options.Finished = func(string, time.Duration) {}
	}
	return &General{
		options:  options,
		holdings: newHoldings(options.MaxRequests, options.MaxHeldBytes, generalAccountPart),
		budgets:  make(map[version.PoolID]*retry.Window),
	}
}

// Leave makes every answer the last one of its connection.
func (g *General) Leave() { g.leaving.Store(true) }

// Close refuses every new request.
func (g *General) Close() { g.holdings.close() }

// Held returns how many requests have no final answer yet.
func (g *General) Held() int {
	requests, _ := g.Holds()
	return requests
}

// Holds returns how many requests are held and the bytes of their bodies.
func (g *General) Holds() (requests int, bodies int64) {
	g.holdings.mu.Lock()
	defer g.holdings.mu.Unlock()
	return g.holdings.all.requests, g.holdings.all.bytes
}

// ServeHTTP implements http.Handler.
func (g *General) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := &passage{general: g, w: w, r: r, started: time.Now()}
	// A request with both a length and chunks has its length dropped by the
	// server. What follows it may be meant as part of it, so nothing that
	// follows chunks is read as a request.
	if g.leaving.Load() || len(r.TransferEncoding) > 0 || g.options.Crowded() {
		w.Header().Set("Connection", "close")
	}
	if refusal := p.shed(); refusal != nil {
		p.refuse(refusal)
		return
	}
	if refusal := p.admit(); refusal != nil {
		p.refuse(refusal)
		return
	}
	account := p.ticket.Account
	if refusal := g.holdings.enter(account); refusal != nil {
		p.sendElsewhere(refusal)
		p.refuse(refusal)
		return
	}
	held := &held{holdings: g.holdings, account: account}
	defer held.release()
	body, refusal := p.read()
	held.bytes = int64(len(body))
	if refusal != nil {
		p.refuse(refusal)
		return
	}
	p.body = body
	p.run()
}

// shedRetryAfter sends the caller to another router at once.
const shedRetryAfter = 20 * time.Millisecond

// shed refuses a request if this process cannot keep up with its work.
func (p *passage) shed() *request.Refusal {
	if firstOfConnection(p.r) || p.general.options.Admit() {
		return nil
	}
	p.in.ID = p.general.options.RequestID(p.r.Header)
	p.w.Header().Set("Connection", "close")
	return &request.Refusal{
		Reason:     request.ReasonQueueFull,
		Execution:  request.NotRun,
		RetryAfter: shedRetryAfter,
		Detail:     "this router is behind with its work",
		Predicted:  p.general.options.Lag(),
	}
}

// sendElsewhere makes a refusal for want of room here send the caller to another router at
// once.
func (p *passage) sendElsewhere(refusal *request.Refusal) {
	p.w.Header().Set("Connection", "close")
	refusal.RetryAfter = shedRetryAfter
}

// admit reads the request's headers and finds its route and account.
func (p *passage) admit() *request.Refusal {
	g := p.general
	in, err := g.options.Incoming(p.r.Header)
	p.in = in
	if err != nil {
		return refuse(request.ReasonBadRequest, err.Error())
	}
	config := g.options.Fleet.Config()
	if config == nil {
		return refuse(request.ReasonNotReady, "this router has no configuration yet")
	}
	p.config = config
	p.route = findRoute(config, p.r)
	if p.route == nil {
		return refuse(request.ReasonUnknownService, "no route takes this host and path")
	}
	if refusal := p.authenticate(); refusal != nil {
		return refusal
	}
	return p.plan()
}

// findRoute returns the route of a request. Path and prefixes are compared as
// they were sent, because that is what the upstream gets.
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

// authenticate finds the account of the request's key.
func (p *passage) authenticate() *request.Refusal {
	if len(p.config.Accounts) == 0 {
		return nil
	}
	account, known := p.config.AccountByKey(p.in.Key)
	if p.in.Key == "" || !known {
		if p.route.Public {
			return nil
		}
		return refuse(request.ReasonUnauthorised, "the API key is missing or unknown")
	}
	if !p.route.Public {
		fresh, age := p.general.options.Fresh()
		p.configAge = age
		if !fresh {
			return refuse(request.ReasonNotReady, "this router cannot tell whether the key still holds")
		}
	}
	p.account = account
	p.ticket.Account = account.ID
	return nil
}

// plan fills in the ticket.
func (p *passage) plan() *request.Refusal {
	limit := p.route.Timeout
	if p.in.Deadline > 0 && (limit <= 0 || p.in.Deadline < limit) {
		limit = p.in.Deadline
	}
	if limit <= 0 {
		limit = DefaultDeadline
	}
	p.endBy = p.started.Add(limit)
	pool, known := p.config.Pools[p.route.Pick(xxhash.Sum64String(p.in.ID))]
	if !known {
		return refuse(request.ReasonNoUpstream, "the route's service is not configured")
	}
	p.pool = pool
	p.ticket.ID = p.general.options.Fleet.NewID()
	p.ticket.Pool = pool.ID
	p.ticket.Attempt = 1
	p.ticket.Prompt = p.in.Prompt
	p.ticket.Regions = p.route.Regions
	if p.account != nil && p.account.Regions != nil {
		p.ticket.Regions = common(p.ticket.Regions, p.account.Regions)
	}
	p.general.budget(pool.ID, func(w *retry.Window) bool {
		w.Request(p.started)
		return true
	})
	return nil
}

// common returns the regions that both lists allow; nil allows any.
func common(a, b []version.RegionID) []version.RegionID {
	if a == nil {
		return b
	}
	both := []version.RegionID{}
	for _, region := range a {
		for _, other := range b {
			if region == other {
				both = append(both, region)
			}
		}
	}
	return both
}

// read reads the request's body.
func (p *passage) read() ([]byte, *request.Refusal) {
	limit := p.config.Limits.MaxBodyBytes
	if limit <= 0 || limit > MaxBodyBytes {
		limit = MaxBodyBytes
	}
	if p.r.ContentLength > limit {
		p.w.Header().Set("Connection", "close")
		return nil, refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	if p.r.ContentLength == 0 && len(p.r.TransferEncoding) == 0 {
		return nil, nil
	}
	reserved := p.r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	holdings, account := p.general.holdings, p.ticket.Account
	if refusal := holdings.reserve(account, reserved); refusal != nil {
		p.sendElsewhere(refusal)
		return nil, refusal
	}
	control := http.NewResponseController(p.w)
	// A writer without deadlines is one of a test.
	_ = control.SetReadDeadline(p.endBy)
	body, err := readAll(http.MaxBytesReader(p.w, p.r.Body, limit), p.r.ContentLength)
	if err != nil {
		holdings.free(account, reserved)
		p.w.Header().Set("Connection", "close")
		return nil, unreadable(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	holdings.free(account, reserved-int64(len(body)))
	return body, nil
}

// budget asks the retry budget of a pool.
func (g *General) budget(pool version.PoolID, ask func(*retry.Window) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.budgets[pool]
	if window == nil {
		window = retry.NewWindow(g.options.Retry())
		g.budgets[pool] = window
	}
	window.Configure(g.options.Retry())
	return ask(window)
}

// log writes the line of a request that got its final answer.
func (p *passage) log(outcome string, attributes ...slog.Attr) {
	took := time.Since(p.started)
	p.general.options.Finished(outcome, took)
	base := []slog.Attr{
		slog.String("request", p.in.ID),
		slog.String("outcome", outcome),
		slog.Int("attempts", p.sent),
		slog.Float64("ms", float64(took.Microseconds())/1000),
	}
	if p.route != nil {
		base = append(base, slog.String("route", p.route.Name))
	}
	if p.account != nil {
		base = append(base, slog.String("account", p.account.Name))
	}
	if p.config != nil {
		base = append(base, slog.Uint64("version", uint64(p.config.Number)),
			slog.Int64("config_age_ms", p.configAge.Milliseconds()))
	}
	p.general.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "request",
		append(base, attributes...)...)
}
