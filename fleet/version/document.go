package version

import "slices"

// Document is the configuration as operators write it in TOML. Validate checks
// it and Compile turns it into a Config.
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
	// Team names the team whose upstreams reserve capacity for the account;
	// empty if there is none.
	Team string `toml:"team,omitempty"`
	// Weight sets the account's fair share relative to other accounts; default 1.
	Weight float64 `toml:"weight,omitempty"`
	// KeyDigests are the lower-case hex SHA-256 digests of the account's API keys.
	KeyDigests []string `toml:"key_digests"`
	// MaxWaiting is the maximum number of the account's requests queued in one
	// dispatcher; default 1000.
	MaxWaiting int `toml:"max_waiting,omitempty"`
}

// PoolSpec describes a pool.
type PoolSpec struct {
	Name string `toml:"name"`
	// Kind is "model" or "service".
	Kind PoolKind `toml:"kind"`
	// Models are the names of the models that a model pool serves.
	Models []string `toml:"models,omitempty"`
	// PathPrefix is the path prefix of a service pool, such as "/booking/".
	PathPrefix string `toml:"path_prefix,omitempty"`
	// NonRepeatable are the HTTP methods whose requests must be executed at most
	// once.
	NonRepeatable []string `toml:"non_repeatable,omitempty"`
	// ExpectedFirstTokenMS is the time to first token of a healthy warm
	// upstream, in milliseconds; default 320.
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
	// LentShare is the fraction of slots, 0 to 1, that the accounts of other
	// teams may use; default 1.
	LentShare *float64 `toml:"lent_share,omitempty"`
	// ColdLimit is the number of slots while the upstream is cold; default 1.
	ColdLimit int `toml:"cold_limit,omitempty"`
	// WarmLimit is the number of slots once the upstream is warm; default 8.
	WarmLimit int `toml:"warm_limit,omitempty"`
	// ChecksFencing is set if the upstream refuses outdated fencing numbers.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
}

// PresetSpec describes a preset, a named set of overrides.
type PresetSpec struct {
	Name string `toml:"name"`
	// Weights overrides AccountSpec.Weight by account name.
	Weights map[string]float64 `toml:"weights,omitempty"`
	// LimitScale multiplies every warm limit; default 1.
	LimitScale float64 `toml:"limit_scale,omitempty"`
	// LentShares overrides UpstreamSpec.LentShare by team name.
	LentShares map[string]float64 `toml:"lent_shares,omitempty"`
}

// MaxRecent is the maximum length of Head.Recent.
const MaxRecent = 32

// Head is the object in the platform that selects the active configuration: it
// references the immutable parts that hold the Document. Every change of the
// configuration is one conditional update of the head.
type Head struct {
	Number Number `json:"number"`
	// Operation identifies the change that wrote this head. A writer that got
	// no answer reads the head back to find out whether its change was made.
	Operation string `json:"operation"`
	Preset    string `json:"preset"`
	// Parts reference the immutable objects that together hold the Document.
	Parts []PartRef         `json:"parts"`
	Out   OutOfServiceNames `json:"out"`
	// Recent are the operations of the latest changes, Operation last; at most
	// MaxRecent. It lets a writer that got no answer find its change even after
	// other changes have followed.
	Recent []string `json:"recent,omitempty"`
	// Absorbed are the latest orders that operators gave to daemons directly,
	// bypassing the platform, and that this head includes; at most MaxAbsorbed.
	Absorbed []Order `json:"absorbed,omitempty"`
}

// Next returns the head with its number increased by one, as written by an
// operation.
func (h Head) Next(operation string) Head {
	h.Number++
	return h.WithOperation(operation)
}

// WithOperation returns the head with the operation set as the latest change.
func (h Head) WithOperation(operation string) Head {
	h.Operation = operation
	recent := append(slices.Clone(h.Recent), operation)
	h.Recent = recent[max(0, len(recent)-MaxRecent):]
	return h
}

// IncludesOperation reports whether an operation is among the recent changes up to and
// including this head.
func (h Head) IncludesOperation(operation string) bool { return slices.Contains(h.Recent, operation) }

// PartRef references an immutable part of the Document by the digest of its
// content.
type PartRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// OutOfServiceNames lists the names of data centres, VMs and upstreams that are out of
// service.
type OutOfServiceNames struct {
	DataCentres []string `json:"datacentres,omitempty"`
	VMs         []string `json:"vms,omitempty"`
	Upstreams   []string `json:"upstreams,omitempty"`
}

// Append appends the items of each section of another document.
func (d *Document) Append(other Document) {
	d.DataCentres = append(d.DataCentres, other.DataCentres...)
	d.Accounts = append(d.Accounts, other.Accounts...)
	d.Pools = append(d.Pools, other.Pools...)
	d.Upstreams = append(d.Upstreams, other.Upstreams...)
	d.Presets = append(d.Presets, other.Presets...)
}
