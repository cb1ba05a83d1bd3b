// Package metrics publishes a daemon's metrics in expvar's form. Names and
// units are documented in docs/metrics.md.
//
// The variables are kept apart from expvar's global registry, because several
// daemons may run in one process.
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

// Source gives the state that metrics are read from.
type Source interface {
	// Stats returns the latest picture of the decision core, or nil.
	Stats() *node.Stats
	// Config returns the configuration in force, or nil.
	Config() *version.Config
	// RingFill returns how many events wait for the decision core, and how
	// many may.
	RingFill() (waiting, capacity int)
}

// Counters are counted outside the decision core; each is a monotone total.
type Counters struct {
	// PeerBytesSent and PeerBytesReceived count encoded frames between
	// daemons.
	PeerBytesSent     func() uint64
	PeerBytesReceived func() uint64
	// PlatformCalls counts calls of the platform's API.
	PlatformCalls func() uint64
	// Ledger returns the totals of the ledger of non-idempotent requests, in
	// a form for JSON.
	Ledger func() any
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
	m.vars.Set("event_ring", expvar.Func(func() any { return m.ring() }))
	m.vars.Set("memory", expvar.Func(func() any { return memory() }))
	m.vars.Set("fleet", expvar.Func(func() any { return m.fleet() }))
	return m
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason request.Reason) { m.refusals.Add(string(reason), 1) }

// Answered counts an answer that was relayed whole.
func (m *Metrics) Answered() { m.answers.Add(1) }

// ServeHTTP writes every variable as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, m.vars.String())
}

func total(count func() uint64) expvar.Var {
	return expvar.Func(func() any {
		if count == nil {
			return uint64(0)
		}
		return count()
	})
}

// ringValue is how full the decision core's event ring is.
type ringValue struct {
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
}

func (m *Metrics) ring() ringValue {
	waiting, capacity := m.source.RingFill()
	return ringValue{Waiting: waiting, Capacity: capacity}
}

// memoryValue is the process's memory in bytes.
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

// fleetValue is the decision core's state with names in place of identifiers.
type fleetValue struct {
	Version          version.Number       `json:"version"`
	RequestsWaiting  int                  `json:"requests_waiting"`
	RequestsRunning  int                  `json:"requests_running"`
	MessagesSent     uint64               `json:"messages_sent"`
	MessagesReceived uint64               `json:"messages_received"`
	CrossRegionBytes uint64               `json:"cross_region_bytes"`
	Members          map[string]int       `json:"members"`
	Pools            map[string]poolValue `json:"pools"`
	// Service is by account.
	Service map[string]serviceValue `json:"service"`
}

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

func poolOf(stats node.PoolStats, names names) poolValue {
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
		value.Upstreams[names.upstream(upstream.Upstream)] = upstreamValue{
			SlotsUsed:   upstream.Used,
			SlotsLimit:  upstream.Limit,
			SlotsUsable: upstream.Usable,
			Cold:        upstream.Cold,
			Ejected:     upstream.Ejected,
		}
	}
	return value
}

// names turns identifiers into configured names.
type names struct{ config *version.Config }

func namesOf(config *version.Config) names {
	if config == nil {
		config = &version.Config{}
	}
	return names{config: config}
}

func (n names) account(id version.AccountID) string {
	if account, known := n.config.Accounts[id]; known {
		return account.Name
	}
	return unnamed(uint32(id))
}

func (n names) pool(id version.PoolID) string {
	if pool, known := n.config.Pools[id]; known {
		return pool.Name
	}
	return unnamed(uint32(id))
}

func (n names) upstream(id version.UpstreamID) string {
	if upstream, known := n.config.Upstreams[id]; known {
		return upstream.Name
	}
	return unnamed(uint32(id))
}

// unnamed shows the identifier of something that the configuration no longer
// describes.
func unnamed(id uint32) string { return "#" + strconv.FormatUint(uint64(id), 10) }
