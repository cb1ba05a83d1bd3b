// Package version defines the versions of the fleet's configuration.
//
// Operators write a Document. The platform stores it in immutable parts, and a
// Head that references these parts. Compile turns the Document and the Head into
// a Config: the client accounts, pools, upstreams, presets and routes that a
// daemon applies.
//
// A Config is immutable once it is compiled and indexed, so it may be shared
// between goroutines.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Number is the number of a configuration version. A later version has a higher
// number.
type Number uint64

// PoolKind is the kind of upstreams that a pool contains.
type PoolKind string

const (
	// PoolModel is a pool of model engines that stream tokens.
	PoolModel PoolKind = "model"
	// PoolService is a pool of plain HTTP services.
	PoolService PoolKind = "service"
)

// Account is a client account: a tenant with a weight in fair sharing.
type Account struct {
	ID   AccountID
	Name string
	// Team names the team whose upstreams reserve capacity for the account;
	// empty if there is none.
	Team string
	// Weight sets the account's fair share relative to other accounts; it is
	// positive.
	Weight float64
	// KeyDigests are the hex SHA-256 digests of the account's API keys.
	KeyDigests []string
	// MaxWaiting is the maximum number of the account's requests queued in one
	// dispatcher.
	MaxWaiting int
	// Priority replaces the priority of the route for the account's requests;
	// nil keeps the priority of the route.
	Priority *int
	// Regions are the regions in which the account's requests may be served;
	// nil allows every region.
	Regions []RegionID
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	ID   PoolID
	Name string
	Kind PoolKind
	// Models lists the names of the models that a PoolModel serves.
	Models []string
	// PathPrefix is the path prefix of the requests that a PoolService serves.
	// It starts and ends with a slash.
	PathPrefix string
	// NonRepeatable lists the HTTP methods of a PoolService whose requests must
	// be executed at most once.
	NonRepeatable []string
	// ExpectedFirstToken is the time to first token of a healthy warm upstream.
	ExpectedFirstToken time.Duration
	// Engine describes the engines of a PoolModel; nil if the configuration
	// does not describe them.
	Engine *Engine
	// SlowStart limits the requests that cold upstreams receive.
	SlowStart SlowStart
	// MaxConnections is the maximum number of connections that all clients
	// together may open to one upstream; 0 if unknown.
	MaxConnections int
}

// Upstream is one back end of a pool, owned by a team.
type Upstream struct {
	ID         UpstreamID
	Name       string
	Pool       PoolID
	DataCentre DataCentreID
	// Address is the host:port that serves the upstream's HTTP interface.
	Address string
	Team    string
	// LentShare is the fraction of slots, 0 to 1, that the accounts of other
	// teams may use.
	LentShare float64
	// ColdLimit and WarmLimit are the maximum numbers of concurrent requests, in
	// slots, while the upstream is cold and once it is warm.
	ColdLimit int
	WarmLimit int
	// ChecksFencing is set if the upstream refuses a request whose fencing
	// number is lower than the highest that it has received.
	ChecksFencing bool
	// Instance identifies the process that serves Address. A process that
	// starts later at the same address has another identifier.
	Instance string
	// Software is the version of the upstream's software; empty if unknown. Versions have no
	// order. What two versions of a pool write does not fit together.
	Software string
	// Slots is the number of requests that the upstream runs concurrently; 0 if
	// unknown.
	Slots int
	// StartedAt is when the upstream's incarnation started; zero if that is not known.
	StartedAt time.Time
	// Draining is set once the upstream has announced that it will shut down.
	Draining bool
	// ColdUntil is the time at which the upstream expects to be warm; zero if it
	// is warm.
	ColdUntil time.Time
}

// DataCentre is a failure domain with its own VMs and upstreams.
type DataCentre struct {
	ID     DataCentreID
	Region RegionID
}

// Preset is a named set of overrides. Exactly one preset is active.
type Preset struct {
	Name string
	// Weights overrides Account.Weight.
	Weights map[AccountID]float64
	// LimitScale multiplies Upstream.WarmLimit of every upstream; 1 changes
	// nothing.
	LimitScale float64
	// LentShares overrides Upstream.LentShare for all upstreams of a team.
	LentShares map[string]float64
}

// OutOfService lists the data centres, VMs and upstreams that operators have
// taken out of service.
type OutOfService struct {
	DataCentres []DataCentreID
	VMs         []VMID
	Upstreams   []UpstreamID
}

// Config is one compiled configuration version with its preset applied.
type Config struct {
	Number Number
	// Preset names the active preset. Its overrides are already applied to
	// Accounts and Upstreams.
	Preset   string
	Presets  map[string]Preset
	Accounts map[AccountID]*Account
	// Keyless is set if the configuration defines no section of client accounts, so that
	// requests carry no API key. A section without any account is not keyless.
	Keyless     bool
	Pools       map[PoolID]*Pool
	Upstreams   map[UpstreamID]*Upstream
	DataCentres map[DataCentreID]*DataCentre
	Out         OutOfService
	// Routes finds the route of a request by host and path; nil if the
	// configuration has no routes.
	Routes *RouteTable
	// Limits limit the requests and connections of callers.
	Limits CallerLimits

	outNames         OutOfServiceNames
	accountsByDigest map[string]*Account
	poolsByModel     map[string]*Pool
}

// Index builds the lookup tables of AccountByKey and PoolByModel. It must be
// called once, before the Config is shared between goroutines.
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

// WithUpstreams returns a copy of the configuration with other upstreams and
// another out-of-service list. The copy shares everything else with c.
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

// Authenticate returns the client account of a request to route with an API key; nil if the
// request belongs to none. It reports false if the request must be refused. A public route
// accepts any key and none. In a keyless configuration requests run without a key, while no key
// is valid: any that a caller still has was revoked.
func (c *Config) Authenticate(route *Route, key string) (account *Account, admitted bool) {
	if key == "" {
		return nil, route.Public || c.Keyless
	}
	if account, found := c.AccountByKey(key); found {
		return account, true
	}
	return nil, route.Public
}

// PoolByModel returns the pool that serves a model name.
func (c *Config) PoolByModel(model string) (*Pool, bool) {
	pool, ok := c.poolsByModel[model]
	return pool, ok
}

// OutOfServiceNames returns the names of the data centres, VMs and upstreams that
// operators have taken out of service.
func (c *Config) OutOfServiceNames() OutOfServiceNames { return c.outNames }

// DataCentreOut reports whether operators have taken the data centre out of
// service.
func (c *Config) DataCentreOut(id DataCentreID) bool {
	for _, out := range c.Out.DataCentres {
		if out == id {
			return true
		}
	}
	return false
}

// VMOut reports whether operators have taken the VM out of service.
func (c *Config) VMOut(id VMID) bool {
	for _, out := range c.Out.VMs {
		if out == id {
			return true
		}
	}
	return false
}

// UpstreamOut reports whether the upstream or its data centre is out of service.
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
