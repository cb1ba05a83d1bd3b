package version

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultWeight             = 1.0
	defaultMaxWaiting         = 1_000
	defaultColdLimit          = 1
	defaultWarmLimit          = 8
	defaultExpectedFirstToken = 320 * time.Millisecond
)

// ErrInvalid marks the errors of Compile and Order.Check: the document, head or
// order is invalid.
var ErrInvalid = errors.New("invalid configuration")

// Compile returns the indexed configuration that a document and a head describe,
// with the overrides of the head's preset applied. The document must be valid. It
// returns ErrInvalid if the document does not describe the head's preset.
func Compile(document *Document, head Head) (*Config, error) {
	config := &Config{
		Number:      head.Number,
		Preset:      head.Preset,
		Presets:     make(map[string]Preset),
		Accounts:    make(map[AccountID]*Account),
		Pools:       make(map[PoolID]*Pool),
		Upstreams:   make(map[UpstreamID]*Upstream),
		DataCentres: make(map[DataCentreID]*DataCentre),
	}
	for _, spec := range document.DataCentres {
		id := DataCentreID(spec.Name)
		config.DataCentres[id] = &DataCentre{ID: id, Region: RegionID(spec.Region)}
	}
	for _, spec := range document.Accounts {
		account := compileAccount(spec)
		config.Accounts[account.ID] = account
	}
	for _, spec := range document.Pools {
		pool := compilePool(spec)
		config.Pools[pool.ID] = pool
	}
	for _, spec := range document.Upstreams {
		upstream := compileUpstream(spec)
		config.Upstreams[upstream.ID] = upstream
	}
	for _, spec := range document.Presets {
		config.Presets[spec.Name] = compilePreset(spec)
	}
	preset, present := config.Presets[head.Preset]
	if !present {
		return nil, errors.Wrapf(ErrInvalid, "preset %q is not described", head.Preset)
	}
	config.applyPreset(preset)
	config.Out = compileOut(head.Out)
	config.outNames = head.Out
	config.Index()
	return config, nil
}

func compileAccount(spec AccountSpec) *Account {
	return &Account{
		ID:         NewAccountID(spec.Name),
		Name:       spec.Name,
		Team:       spec.Team,
		Weight:     orDefault(spec.Weight, defaultWeight),
		KeyDigests: spec.KeyDigests,
		MaxWaiting: orDefault(spec.MaxWaiting, defaultMaxWaiting),
	}
}

func compilePool(spec PoolSpec) *Pool {
	firstToken := time.Duration(spec.ExpectedFirstTokenMS) * time.Millisecond
	return &Pool{
		ID:                 NewPoolID(spec.Name),
		Name:               spec.Name,
		Kind:               spec.Kind,
		Models:             spec.Models,
		PathPrefix:         spec.PathPrefix,
		NonRepeatable:      spec.NonRepeatable,
		ExpectedFirstToken: orDefault(firstToken, defaultExpectedFirstToken),
	}
}

func compileUpstream(spec UpstreamSpec) *Upstream {
	lent := 1.0
	if spec.LentShare != nil {
		lent = *spec.LentShare
	}
	return &Upstream{
		ID:            NewUpstreamID(spec.Name),
		Name:          spec.Name,
		Pool:          NewPoolID(spec.Pool),
		DataCentre:    DataCentreID(spec.DataCentre),
		Address:       spec.Address,
		Team:          spec.Team,
		LentShare:     lent,
		ColdLimit:     orDefault(spec.ColdLimit, defaultColdLimit),
		WarmLimit:     orDefault(spec.WarmLimit, defaultWarmLimit),
		ChecksFencing: spec.ChecksFencing,
	}
}

func compilePreset(spec PresetSpec) Preset {
	weights := make(map[AccountID]float64, len(spec.Weights))
	for name, weight := range spec.Weights {
		weights[NewAccountID(name)] = weight
	}
	return Preset{
		Name:       spec.Name,
		Weights:    weights,
		LimitScale: orDefault(spec.LimitScale, 1),
		LentShares: spec.LentShares,
	}
}

func compileOut(names OutOfServiceNames) OutOfService {
	var out OutOfService
	for _, name := range names.DataCentres {
		out.DataCentres = append(out.DataCentres, DataCentreID(name))
	}
	for _, name := range names.VMs {
		out.VMs = append(out.VMs, VMID(name))
	}
	for _, name := range names.Upstreams {
		out.Upstreams = append(out.Upstreams, NewUpstreamID(name))
	}
	return out
}

// applyPreset applies the overrides of a preset to the accounts and upstreams.
func (c *Config) applyPreset(preset Preset) {
	for id, weight := range preset.Weights {
		if account, present := c.Accounts[id]; present {
			account.Weight = weight
		}
	}
	for _, upstream := range c.Upstreams {
		scaled := int(math.Round(float64(upstream.WarmLimit) * preset.LimitScale))
		upstream.WarmLimit = max(scaled, 1)
		upstream.ColdLimit = min(upstream.ColdLimit, upstream.WarmLimit)
		if lent, present := preset.LentShares[upstream.Team]; present {
			upstream.LentShare = lent
		}
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
