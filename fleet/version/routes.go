package version

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat tells how often a request of a route may run.
type Repeat string

const (
	// RepeatSafe is a call that may run any number of times.
	RepeatSafe Repeat = "safe"
	// RepeatNever is a call that may run at most once.
	RepeatNever Repeat = "never"
	// RepeatResume is a stream that another upstream may continue after the
	// last event that was relayed.
	RepeatResume Repeat = "resume"
)

// Share is a pool that gets a part of a route's requests.
type Share struct {
	Pool PoolID
	// Weight is the pool's part relative to the route's other shares.
	Weight int
}

// Route says what becomes of the requests under a host and a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream is set if the answer is a series of events.
	Stream bool
	// Prompted is set if requests describe the prompt that they carry.
	Prompted bool
	// Public is set if requests need no API key.
	Public bool
	// Timeout bounds the time from a request's arrival to its answer's end.
	Timeout time.Duration
	// Objective is the time to an answer, or to a stream's first event, within
	// which it is worth most to its caller.
	Objective time.Duration
	// Priority ranks the route; 0 goes first.
	Priority int
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Shares are the pools that the requests are split over; at least one.
	Shares []Share
	// Regions are where requests may be served; nil is anywhere.
	Regions []RegionID
}

// Pick returns the pool for a request; point is uniform over all integers and
// the same for every attempt of the request.
func (r *Route) Pick(point uint64) PoolID {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool
	}
	at := int(point % uint64(total))
	for _, share := range r.Shares {
		if at -= share.Weight; at < 0 {
			return share.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// RouteTable finds the route of a request.
type RouteTable struct {
	// byHost holds each host's routes, those with longer prefixes first.
	byHost map[string][]*Route
}

// NewRouteTable returns the table of routes.
func NewRouteTable(routes []*Route) *RouteTable {
	t := &RouteTable{byHost: make(map[string][]*Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, hosted := range t.byHost {
		slices.SortStableFunc(hosted, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// Find returns the route whose prefix is the longest that begins path, among
// those of host, or nil.
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
	// Batch is how many requests an engine runs at once.
	Batch int
	// KVTokens is the memory of an engine, in tokens of running requests and
	// of kept prompt parts.
	KVTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

// SlowStart bounds the work of cold upstreams of a pool.
type SlowStart struct {
	// ColdTime is how long an upstream is cold after it started.
	ColdTime time.Duration
	// PerSecond is how many requests a second a cold upstream bears; 0 sets no
	// limit.
	PerSecond float64
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection without a request.
	IdleTimeout time.Duration
	// TokensPerSecond is what all upstreams of the fleet serve, where a token
	// read counts once and a token generated twice; 0 if unknown.
	TokensPerSecond float64
}
