// Package version holds what lives as long as one configuration version: the
// compiled client accounts, pools, upstreams and presets that a daemon applies.
//
// A Config is immutable once compiled, so it may be shared between goroutines.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Number orders configuration versions. It only grows.
type Number uint64

// PoolKind tells what stands behind a pool.
type PoolKind string

const (
	// PoolModel is a pool of model engines that stream tokens.
	PoolModel PoolKind = "model"
	// PoolService is a pool of plain HTTP services.
	PoolService PoolKind = "service"
)

// Account is a client account: a tenant with a weight in the fair share.
type Account struct {
	ID   AccountID
	Name string
	// Team names the team whose lent-out capacity is kept for this account.
	Team string
	// Weight is the account's share relative to the others; it is positive.
	Weight float64
	// KeyDigests are hex SHA-256 digests of the account's API keys.
	KeyDigests []string
	// MaxWaiting bounds the account's queued requests in one dispatcher.
	MaxWaiting int
	// Priority ranks the account's requests in place of their route's; nil
	// leaves the route's.
	Priority *int
	// Regions are where the account's requests may be served; nil is anywhere.
	Regions []RegionID
}

// Pool is a set of upstreams that can serve the same requests.
type Pool struct {
	ID   PoolID
	Name string
	Kind PoolKind
	// Models lists the model names that callers may ask of a PoolModel.
	Models []string
	// PathPrefix is the path under which callers reach a PoolService. It
	// starts and ends with a slash.
	PathPrefix string
	// NonRepeatable lists the HTTP methods of a PoolService whose calls must
	// run at most once.
	NonRepeatable []string
	// ExpectedFirstToken is the first-token time of a healthy warm upstream.
	ExpectedFirstToken time.Duration
	// Engine describes the engines of a PoolModel that tells of them, or nil.
	Engine *Engine
	// SlowStart bounds what cold upstreams get.
	SlowStart SlowStart
	// MaxConnections bounds the connections of all callers to one upstream; 0
	// is unknown.
	MaxConnections int
}

// Upstream is one back end that a team owns.
type Upstream struct {
	ID         UpstreamID
	Name       string
	Pool       PoolID
	DataCentre DataCentreID
	// Address is the host:port that serves the upstream's HTTP interface.
	Address string
	Team    string
	// LentShare is the fraction of slots, 0 to 1, that other teams may use.
	LentShare float64
	// ColdLimit and WarmLimit bound concurrent requests, in slots.
	ColdLimit int
	WarmLimit int
	// ChecksFencing is set if the upstream refuses an order whose fencing
	// number is lower than one it has seen.
	ChecksFencing bool
	// Instance names the process behind Address; one that starts later at the
	// same address has another name.
	Instance string
	// Slots is how many requests the upstream runs at once; 0 is unknown.
	Slots int
	// Draining is set once the upstream is about to leave.
	Draining bool
	// ColdUntil is when the upstream is warm by its own account; zero if it is.
	ColdUntil time.Time
}

// DataCentre is a failure domain with its own VMs and upstreams.
type DataCentre struct {
	ID     DataCentreID
	Region RegionID
}

// Preset is a named set of overrides; exactly one preset is in force.
type Preset struct {
	Name string
	// Weights overrides Account.Weight.
	Weights map[AccountID]float64
	// LimitScale multiplies every warm limit; 1 leaves them as described.
	LimitScale float64
	// LentShares overrides Upstream.LentShare for all upstreams of a team.
	LentShares map[string]float64
}

// OutOfService lists what operators have taken out.
type OutOfService struct {
	DataCentres []DataCentreID
	VMs         []VMID
	Upstreams   []UpstreamID
}

// Config is one compiled configuration version with its preset applied.
type Config struct {
	Number Number
	// Preset is the preset in force; its overrides are already applied to
	// Accounts and Upstreams.
	Preset      string
	Presets     map[string]Preset
	Accounts    map[AccountID]*Account
	Pools       map[PoolID]*Pool
	Upstreams   map[UpstreamID]*Upstream
	DataCentres map[DataCentreID]*DataCentre
	Out         OutOfService
	// Routes finds the route of a request by host and path; nil without any.
	Routes *RouteTable
	// Limits bound what callers may send.
	Limits CallerLimits

	outNames         OutNames
	accountsByDigest map[string]*Account
	poolsByModel     map[string]*Pool
}

// Index builds the lookup tables. It must be called once, before the Config is
// shared.
func (c *Config) Index() {
	c.accountsByDigest = make(map[string]*Account)
	for _, account := range c.Accounts {
		for _, digest := range account.KeyDigests {
			c.accountsByDigest[digest] = account
		}
	}
	c.poolsByModel = make(map[string]*Pool)
	for _, pool := range c.Pools {
		for _, model := range pool.Models {
			c.poolsByModel[model] = pool
		}
	}
}

// WithUpstreams returns the configuration with other upstreams and out of
// service sets. It shares everything else.
func (c *Config) WithUpstreams(upstreams map[UpstreamID]*Upstream, out OutOfService) *Config {
	changed := *c
	changed.Upstreams = upstreams
	changed.Out = out
	return &changed
}

// KeyDigest returns the hex SHA-256 digest under which an API key is stored.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the client account that owns the API key.
func (c *Config) AccountByKey(key string) (*Account, bool) {
	account, ok := c.accountsByDigest[KeyDigest(key)]
	return account, ok
}

// PoolByModel returns the pool that serves a model name.
func (c *Config) PoolByModel(model string) (*Pool, bool) {
	pool, ok := c.poolsByModel[model]
	return pool, ok
}

// OutNames returns what operators have taken out, by name.
func (c *Config) OutNames() OutNames { return c.outNames }

// DataCentreOut reports whether operators have taken the data centre out.
func (c *Config) DataCentreOut(id DataCentreID) bool {
	for _, out := range c.Out.DataCentres {
		if out == id {
			return true
		}
	}
	return false
}

// VMOut reports whether operators have taken the VM out.
func (c *Config) VMOut(id VMID) bool {
	for _, out := range c.Out.VMs {
		if out == id {
			return true
		}
	}
	return false
}

// UpstreamOut reports whether the upstream, or its data centre, is out.
func (c *Config) UpstreamOut(upstream *Upstream) bool {
	if c.DataCentreOut(upstream.DataCentre) {
		return true
	}
	for _, out := range c.Out.Upstreams {
		if out == upstream.ID {
			return true
		}
	}
	return false
}
