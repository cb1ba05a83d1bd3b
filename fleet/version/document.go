package version

import "slices"

// Document is a configuration as operators write it, in TOML, before it is
// validated and compiled.
type Document struct {
	DataCentres []DataCentreSpec `toml:"datacentre,omitempty"`
	Accounts    []AccountSpec    `toml:"account,omitempty"`
	Pools       []PoolSpec       `toml:"pool,omitempty"`
	Upstreams   []UpstreamSpec   `toml:"upstream,omitempty"`
	Presets     []PresetSpec     `toml:"preset,omitempty"`
}

// DataCentreSpec describes a data centre.
type DataCentreSpec struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// AccountSpec describes a client account.
type AccountSpec struct {
	Name string `toml:"name"`
	// Team is the team whose upstreams keep capacity for the account; empty
	// is none.
	Team string `toml:"team,omitempty"`
	// Weight is the share relative to other accounts; default 1.
	Weight float64 `toml:"weight,omitempty"`
	// KeyDigests are hex SHA-256 digests of API keys.
	KeyDigests []string `toml:"key_digests"`
	// MaxWaiting bounds queued requests in one dispatcher; default 1000.
	MaxWaiting int `toml:"max_waiting,omitempty"`
}

// PoolSpec describes a pool.
type PoolSpec struct {
	Name string `toml:"name"`
	// Kind is "model" or "service".
	Kind PoolKind `toml:"kind"`
	// Models are the model names of a model pool.
	Models []string `toml:"models,omitempty"`
	// PathPrefix is the path of a service pool, such as "/booking/".
	PathPrefix string `toml:"path_prefix,omitempty"`
	// NonRepeatable are the HTTP methods that must run at most once.
	NonRepeatable []string `toml:"non_repeatable,omitempty"`
	// ExpectedFirstTokenMS is the healthy first-token time in milliseconds;
	// default 320.
	ExpectedFirstTokenMS int `toml:"expected_first_token_ms,omitempty"`
}

// UpstreamSpec describes an upstream.
type UpstreamSpec struct {
	Name       string `toml:"name"`
	Pool       string `toml:"pool"`
	DataCentre string `toml:"datacentre"`
	// Address is host:port.
	Address string `toml:"address"`
	Team    string `toml:"team,omitempty"`
	// LentShare is the fraction of slots that other teams may use; default 1.
	LentShare *float64 `toml:"lent_share,omitempty"`
	// ColdLimit is the slots after a cold start; default 1.
	ColdLimit int `toml:"cold_limit,omitempty"`
	// WarmLimit is the slots when warm; default 8.
	WarmLimit int `toml:"warm_limit,omitempty"`
	// ChecksFencing says that the upstream refuses old fencing numbers.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
}

// PresetSpec describes a preset.
type PresetSpec struct {
	Name string `toml:"name"`
	// Weights overrides weights by account name.
	Weights map[string]float64 `toml:"weights,omitempty"`
	// LimitScale multiplies warm limits; default 1.
	LimitScale float64 `toml:"limit_scale,omitempty"`
	// LentShares overrides lent shares by team name.
	LentShares map[string]float64 `toml:"lent_shares,omitempty"`
}

// MaxRecent bounds Head.Recent.
const MaxRecent = 32

// Head is the one object that puts a configuration in force. Every change is
// one conditional update of it.
type Head struct {
	Number Number `json:"number"`
	// Operation identifies the change that wrote this head, so that a lost
	// answer can be resolved by reading back.
	Operation string `json:"operation"`
	Preset    string `json:"preset"`
	// Parts are the immutable objects that together hold the Document.
	Parts []PartRef `json:"parts"`
	Out   OutNames  `json:"out"`
	// Recent are the operations of the latest changes, this one last; at most
	// MaxRecent. A change whose answer was lost is found here even after
	// others have followed.
	Recent []string `json:"recent,omitempty"`
	// Absorbed are the latest orders that daemons took past the platform and
	// that this head includes; at most MaxAbsorbed.
	Absorbed []Order `json:"absorbed,omitempty"`
}

// Next returns the head that follows as the change of an operation.
func (h Head) Next(operation string) Head {
	h.Number++
	return h.By(operation)
}

// By returns the head as written by an operation.
func (h Head) By(operation string) Head {
	h.Operation = operation
	recent := append(slices.Clone(h.Recent), operation)
	h.Recent = recent[max(0, len(recent)-MaxRecent):]
	return h
}

// Includes reports whether the head was written by an operation or follows it.
func (h Head) Includes(operation string) bool { return slices.Contains(h.Recent, operation) }

// PartRef names an immutable part by its content.
type PartRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// OutNames lists what is out of service, by name.
type OutNames struct {
	DataCentres []string `json:"datacentres,omitempty"`
	VMs         []string `json:"vms,omitempty"`
	Upstreams   []string `json:"upstreams,omitempty"`
}

// Append adds the items of another document.
func (d *Document) Append(other Document) {
	d.DataCentres = append(d.DataCentres, other.DataCentres...)
	d.Accounts = append(d.Accounts, other.Accounts...)
	d.Pools = append(d.Pools, other.Pools...)
	d.Upstreams = append(d.Upstreams, other.Upstreams...)
	d.Presets = append(d.Presets, other.Presets...)
}
