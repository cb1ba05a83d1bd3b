package version

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy says whether a request of a route may be executed more than once.
type RepeatPolicy string

const (
	// RepeatSafe allows any number of executions.
	RepeatSafe RepeatPolicy = "safe"
	// RepeatNever allows at most one execution.
	RepeatNever RepeatPolicy = "never"
	// RepeatResume allows another upstream to continue a stream after the last
	// event that was relayed to the caller.
	RepeatResume RepeatPolicy = "resume"
)

// WeightedPool is a pool that receives a fraction of a route's requests.
type WeightedPool struct {
	Pool PoolID
	// Weight sets the fraction of requests relative to the other pools of the
	// route.
	Weight int
}

// Route says how the requests with a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Repeat RepeatPolicy
	// Stream is set if the response is a stream of events.
	Stream bool
	// DescribesPrompt is set if the headers of requests describe the prompt in their
	// body.
	DescribesPrompt bool
	// Public is set if requests are accepted without an API key.
	Public bool
	// Timeout is the maximum time from the arrival of a request to the end of
	// its response.
	Timeout time.Duration
	// TTFBObjective is the target for the time to the response, or to the first
	// event of a stream. A later response is worth less to its caller.
	TTFBObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams that may execute one
	// request.
	MaxAttempts int
	// Pools are the pools among which the requests are split; at least one.
	Pools []WeightedPool
	// Regions are the regions in which requests may be served; nil allows every
	// region.
	Regions []RegionID
}

// Pick returns the pool for a request, by the weights of the route's pools.
// requestHash is uniformly distributed and the same for every attempt of the
// request, so that every attempt goes to the same pool.
func (r *Route) Pick(requestHash uint64) PoolID {
	total := 0
	for _, weighted := range r.Pools {
		total += weighted.Weight
	}
	if total <= 0 {
		return r.Pools[0].Pool
	}
	offset := int(requestHash % uint64(total))
	for _, weighted := range r.Pools {
		if offset -= weighted.Weight; offset < 0 {
			return weighted.Pool
		}
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// RouteTable finds the route of a request by host and path.
type RouteTable struct {
	// byHost holds the routes by host in lower case. The routes of a host are
	// sorted by falling length of their prefixes.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the given routes.
func NewRouteTable(routes []*Route) *RouteTable {
	t := &RouteTable{byHost: make(map[string][]*Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// All returns the routes, in no order.
func (t *RouteTable) All() []*Route {
	if t == nil {
		return nil
	}
	var routes []*Route
	for _, hostRoutes := range t.byHost {
		routes = append(routes, hostRoutes...)
	}
	return routes
}

// Find returns the route of the host with the longest prefix that matches path,
// or nil if there is none. The host is matched without regard to case.
func (t *RouteTable) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Engine describes the model engines of a pool.
type Engine struct {
	// BatchSize is the number of requests that an engine runs concurrently.
	BatchSize int
	// KVTokens is the capacity of an engine's KV cache, in tokens. Running
	// requests and cached prompt segments share it.
	KVTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// SlowStart limits the load on cold upstreams of a pool.
type SlowStart struct {
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// RequestsPerSecond is the maximum rate of requests to a cold upstream, in requests
	// per second; 0 sets no limit.
	RequestsPerSecond float64
}

// CallerLimits limit the requests and connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time to read the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection without a request.
	IdleTimeout time.Duration
	// TokensPerSecond is the capacity of all upstreams of the fleet together,
	// where a prompt token counts once and a generated token twice; 0 if
	// unknown.
	TokensPerSecond float64
}
