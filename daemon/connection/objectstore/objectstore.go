// Package objectstore stores values by key in the platform's metadata store. It
// keeps calls within a budget, retries them, and determines the outcome of writes
// whose answers were lost.
package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

var (
	// ErrNotFound is returned if no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned for a write whose precondition did not hold. The
	// write had no effect.
	ErrConflict = errors.New("precondition failed")
	// ErrUnavailable is returned if the store did not answer or refused the call
	// temporarily. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRateLimited is returned for a call that exceeded the store's rate limit
	// or this process's budget. The call had no effect.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrRejected is returned for a call that the store will never accept.
	ErrRejected = errors.New("platform rejected the call")

	// errNoEffect marks a refusal that guarantees that the call had no effect.
	errNoEffect = errors.New("the call had no effect")
	// errHistoryGone is returned for a watch from a revision for which the store
	// no longer keeps the changes.
	errHistoryGone = errors.New("history is gone")
)

// ObjectVersion identifies one state of an object. The version of an object that
// does not exist is 0.
//
// It holds the store's era above the object's revision, because the store gives
// revisions out again after it has returned from an older copy of itself.
type ObjectVersion uint64

// eraShift is the number of bits of an ObjectVersion that hold the revision.
const eraShift = 40

// versionOf returns the version of an object that was last changed at a position.
func versionOf(p storeera.Position) ObjectVersion {
	return ObjectVersion(p.Era<<eraShift | p.Revision)
}

// position returns the position at which an object of the version was last changed.
func (v ObjectVersion) position() storeera.Position {
	return storeera.Position{Era: uint64(v) >> eraShift, Revision: uint64(v) & (1<<eraShift - 1)}
}

// Object is a stored value. The part of its key after the last slash is its name;
// the part before groups the objects that are listed together.
type Object struct {
	Key     string
	Version ObjectVersion
	Value   []byte
}

// VMState is a VM's state in the platform's list of VMs.
type VMState string

const (
	// VMLive is the state of a VM that runs.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that will be removed.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list may lag behind the VMs'
// actual state.
type VM struct {
	// ID is the name of the VM's object.
	ID         version.VMID         `json:"-"`
	DataCentre version.DataCentreID `json:"datacentre"`
	// PeerAddress is the host:port of the VM's peer listener.
	PeerAddress string  `json:"peer_address"`
	State       VMState `json:"state"`
}

// Store reads and writes objects.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version equals expected, where 0 means that
	// the object must not exist. It returns the new version, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error)
	// Delete removes an object if its version equals expected, or returns
	// ErrConflict.
	Delete(ctx context.Context, key string, expected ObjectVersion) error
	// List returns the keys with a prefix, sorted. The prefix must contain all
	// parts of the keys except the last, up to the last slash.
	List(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the object's version differs from known, and returns the
	// object. It returns ErrNotFound once the object was deleted.
	Watch(ctx context.Context, key string, known ObjectVersion) (Object, error)
}

// Directory lists VMs.
type Directory interface {
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
