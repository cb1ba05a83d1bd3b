package version

import "github.com/cespare/xxhash/v2"

// AccountID identifies a client account. It is derived from the account's
// name, so it is the same in every configuration version and on every VM.
type AccountID uint32

// PoolID identifies a pool of interchangeable upstreams. It is derived from
// the pool's name.
type PoolID uint32

// UpstreamID identifies an upstream. It is derived from the upstream's name.
type UpstreamID uint32

// VMID is the unique name of a VM that runs a daemon.
type VMID string

// DataCentreID is the unique name of a data centre.
type DataCentreID string

// RegionID is the unique name of a region, a set of data centres joined by
// fast links.
type RegionID string

// NewAccountID returns the identifier of the client account called name.
func NewAccountID(name string) AccountID { return AccountID(hashName("account", name)) }

// NewPoolID returns the identifier of the pool called name.
func NewPoolID(name string) PoolID { return PoolID(hashName("pool", name)) }

// NewUpstreamID returns the identifier of the upstream called name.
func NewUpstreamID(name string) UpstreamID { return UpstreamID(hashName("upstream", name)) }

// hashName returns a 32-bit hash of a kind and a name. Validation rejects a
// configuration in which two names of the same kind have the same hash.
func hashName(kind, name string) uint32 {
	return uint32(xxhash.Sum64String(kind + "\x00" + name))
}
