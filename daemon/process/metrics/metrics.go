// Package metrics publishes a daemon's metrics in expvar's format. Their names and units
// are documented in docs/metrics.md.
//
// The variables are not in expvar's global registry, because several daemons may run in one
// process.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"strconv"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Source provides the state that the metrics are computed from.
type Source interface {
	// Stats returns the latest statistics of the decision core, or nil if there are none.
	Stats() *node.Stats
	// Config returns the active configuration, or nil if there is none.
	Config() *version.Config
	// EventQueueFill returns the number of events that wait for the decision core, and the
	// capacity of their queue.
	EventQueueFill() (waiting, capacity int)
}

// Counters are the sources of metrics that are counted outside the decision core. Each is a
// total that never decreases.
type Counters struct {
	// PeerBytesSent and PeerBytesReceived count the bytes of encoded frames between
	// daemons.
	PeerBytesSent     func() uint64
	PeerBytesReceived func() uint64
	// PlatformCalls counts the calls of the platform's API.
	PlatformCalls func() uint64
	// Ledger returns the totals of the ledger of non-idempotent requests as a value
	// that can be encoded as JSON.
	Ledger func() any
	// PromptQuarantine returns the counters of held prompt segments, likewise.
	PromptQuarantine func() any
	// UnreadAnswers returns the figures of the answers that wait for their callers, likewise.
	UnreadAnswers func() any
	// Held returns the figures of the requests that are held, Heads those of the memory for heads of
	// requests, and Listeners those of the connections of each listener, likewise.
	Held, Heads, Listeners func() any
}

// Metrics holds the variables of one daemon. It is safe for concurrent use.
type Metrics struct {
	source   Source
	vars     expvar.Map
	refusals expvar.Map
	answers  expvar.Int
}

// New returns the metrics of a daemon.
func New(source Source, counters Counters) *Metrics {
	m := &Metrics{source: source}
	m.vars.Init()
	m.refusals.Init()
	m.vars.Set("requests_refused", &m.refusals)
	m.vars.Set("requests_answered", &m.answers)
	m.vars.Set("peer_bytes_sent", total(counters.PeerBytesSent))
	m.vars.Set("peer_bytes_received", total(counters.PeerBytesReceived))
	m.vars.Set("platform_calls", total(counters.PlatformCalls))
	if counters.Ledger != nil {
		m.vars.Set("ledger", expvar.Func(counters.Ledger))
	}
	if counters.Heads != nil {
		m.vars.Set("held", expvar.Func(counters.Held))
		m.vars.Set("heads", expvar.Func(counters.Heads))
		m.vars.Set("listeners", expvar.Func(counters.Listeners))
	}
	if counters.PromptQuarantine != nil {
		m.vars.Set("prompt_quarantine", expvar.Func(counters.PromptQuarantine))
	}
	if counters.UnreadAnswers != nil {
		m.vars.Set("unread_answers", expvar.Func(counters.UnreadAnswers))
	}
	m.vars.Set("event_ring", expvar.Func(func() any { return m.eventQueue() }))
	m.vars.Set("memory", expvar.Func(func() any { return memory() }))
	m.vars.Set("fleet", expvar.Func(func() any { return m.fleet() }))
	return m
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(reason request.Reason) { m.refusals.Add(string(reason), 1) }

// Answered counts an answer that was relayed completely.
func (m *Metrics) Answered() { m.answers.Add(1) }

// ServeHTTP writes every variable as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, m.vars.String())
}

// total publishes a counter; a nil counter reads as 0.
func total(count func() uint64) expvar.Var {
	return expvar.Func(func() any {
		if count == nil {
			return uint64(0)
		}
		return count()
	})
}

// queueValue is the fill level of the decision core's event queue, in events.
type queueValue struct {
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
}

func (m *Metrics) eventQueue() queueValue {
	waiting, capacity := m.source.EventQueueFill()
	return queueValue{Waiting: waiting, Capacity: capacity}
}

// memoryValue is the memory use of the process in bytes, and its number of goroutines.
type memoryValue struct {
	HeapBytes  uint64 `json:"heap_bytes"`
	TotalBytes uint64 `json:"total_bytes"`
	Goroutines int    `json:"goroutines"`
}

func memory() memoryValue {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memoryValue{
		HeapBytes:  stats.HeapAlloc,
		TotalBytes: stats.Sys,
		Goroutines: runtime.NumGoroutine(),
	}
}

// fleetValue is the state of the decision core, with configured names in place of
// identifiers.
type fleetValue struct {
	Version          version.Number       `json:"version"`
	RequestsWaiting  int                  `json:"requests_waiting"`
	RequestsRunning  int                  `json:"requests_running"`
	MessagesSent     uint64               `json:"messages_sent"`
	MessagesReceived uint64               `json:"messages_received"`
	CrossRegionBytes uint64               `json:"cross_region_bytes"`
	Members          map[string]int       `json:"members"`
	Pools            map[string]poolValue `json:"pools"`
	// Service is keyed by account name.
	Service map[string]serviceValue `json:"service"`
}

// serviceValue is an account's service in cost units: LevelUnits over the whole fleet and
// divided by the account's weight, CountedUnits as granted by this daemon.
type serviceValue struct {
	LevelUnits   float64 `json:"level_units"`
	CountedUnits float64 `json:"counted_units"`
}

type poolValue struct {
	Entries    int                      `json:"entries"`
	Waiting    int                      `json:"waiting"`
	Offered    int                      `json:"offered"`
	Granted    uint64                   `json:"granted"`
	HandedBack uint64                   `json:"handed_back"`
	Spilled    uint64                   `json:"spilled"`
	Refused    uint64                   `json:"refused"`
	Accounts   map[string]accountValue  `json:"accounts"`
	Upstreams  map[string]upstreamValue `json:"upstreams"`
}

type accountValue struct {
	Waiting       int     `json:"waiting"`
	OldestSeconds float64 `json:"oldest_seconds"`
}

type upstreamValue struct {
	SlotsUsed   int  `json:"slots_used"`
	SlotsLimit  int  `json:"slots_limit"`
	SlotsUsable int  `json:"slots_usable"`
	Cold        bool `json:"cold"`
	Ejected     bool `json:"ejected"`
	// LimitPerSecond is the request rate that the upstream names; absent if it names none.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
}

func (m *Metrics) fleet() fleetValue {
	stats := m.source.Stats()
	if stats == nil {
		return fleetValue{}
	}
	names := namesOf(m.source.Config())
	value := fleetValue{
		Version:          stats.Version,
		RequestsWaiting:  stats.Entry.Waiting,
		RequestsRunning:  stats.Entry.Running,
		MessagesSent:     stats.Sent,
		MessagesReceived: stats.Received,
		CrossRegionBytes: stats.CrossRegionBytes,
		Members:          make(map[string]int),
		Pools:            make(map[string]poolValue),
		Service:          make(map[string]serviceValue),
	}
	for _, account := range stats.Service {
		value.Service[names.account(account.Account)] = serviceValue{
			LevelUnits:   account.Level,
			CountedUnits: account.Counted,
		}
	}
	for _, member := range stats.Members {
		value.Members[stateName(member.State)]++
	}
	for _, pool := range stats.Pools {
		value.Pools[names.pool(pool.Pool)] = poolOf(pool, names)
	}
	return value
}

// stateName returns the name of a membership state; these names are keys of the metrics.
func stateName(state membership.State) string {
	switch state {
	case membership.Alive:
		return "alive"
	case membership.Leaving:
		return "leaving"
	default:
		return "lapsed"
	}
}

func poolOf(stats node.PoolStats, names configNames) poolValue {
	value := poolValue{
		Entries:    stats.Entries,
		Waiting:    stats.Waiting,
		Offered:    stats.Offered,
		Granted:    stats.Granted,
		HandedBack: stats.HandedBack,
		Spilled:    stats.Spilled,
		Refused:    stats.Refused,
		Accounts:   make(map[string]accountValue),
		Upstreams:  make(map[string]upstreamValue),
	}
	for _, account := range stats.Accounts {
		value.Accounts[names.account(account.Account)] = accountValue{
			Waiting:       account.Waiting,
			OldestSeconds: account.Oldest.Seconds(),
		}
	}
	for _, upstream := range stats.Upstreams {
		row := upstreamValue{
			SlotsUsed:   upstream.Used,
			SlotsLimit:  upstream.Limit,
			SlotsUsable: upstream.Usable,
			Cold:        upstream.Cold,
			Ejected:     upstream.Ejected,
		}
		if upstream.NamedLimit.Named() {
			row.LimitPerSecond = &upstream.NamedLimit.PerSecond
		}
		value.Upstreams[names.upstream(upstream.Upstream)] = row
	}
	return value
}

// configNames maps identifiers to their configured names.
type configNames struct{ config *version.Config }

func namesOf(config *version.Config) configNames {
	if config == nil {
		config = &version.Config{}
	}
	return configNames{config: config}
}

func (n configNames) account(id version.AccountID) string {
	if account, found := n.config.Accounts[id]; found {
		return account.Name
	}
	return unnamed(uint32(id))
}

func (n configNames) pool(id version.PoolID) string {
	if pool, found := n.config.Pools[id]; found {
		return pool.Name
	}
	return unnamed(uint32(id))
}

func (n configNames) upstream(id version.UpstreamID) string {
	if upstream, found := n.config.Upstreams[id]; found {
		return upstream.Name
	}
	return unnamed(uint32(id))
}

// unnamed formats the identifier of an object that is no longer in the configuration.
func unnamed(id uint32) string { return "#" + strconv.FormatUint(uint64(id), 10) }
