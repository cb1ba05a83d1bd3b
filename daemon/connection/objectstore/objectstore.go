// Package objectstore keeps values by key in the platform's metadata store, with
// a budget of calls, retries and writes whose lost answers are resolved.
package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var (
	// ErrNotFound is returned for a key without an object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned if a write's precondition did not hold. The
	// write had no effect.
	ErrConflict = errors.New("precondition failed")
	// ErrUnavailable is returned if the store did not answer or refused for
	// now. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRateLimited is returned if the store refused a call over its rate.
	// The call had no effect.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrRejected is returned for a call that the store will never accept.
	ErrRejected = errors.New("platform rejected the call")

	// errNoEffect marks a refusal that promises that nothing was done.
	errNoEffect = errors.New("nothing was done")
	// errHistoryGone is a watch from a revision that the store has forgotten.
	errHistoryGone = errors.New("history is gone")
)

// ObjectVersion identifies one state of an object. It is 0 for an object that
// does not exist.
type ObjectVersion uint64

// Object is a stored value. The last part of its key, after the last slash, is
// its name; what comes before groups objects that are listed together.
type Object struct {
	Key     string
	Version ObjectVersion
	Value   []byte
}

// VMState is a VM's state in the platform's list.
type VMState string

const (
	// VMLive is a VM that runs.
	VMLive VMState = "live"
	// VMLeaving is a VM that will be removed.
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list of VMs. The list lags.
type VM struct {
	// ID is the object's name.
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
	// Put writes an object if its version is still expected, where 0 means
	// that it must not exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, expected ObjectVersion) (ObjectVersion, error)
	// Delete removes an object if its version is still expected.
	Delete(ctx context.Context, key string, expected ObjectVersion) error
	// List returns the keys with a prefix, in order. The prefix has all parts
	// of the keys but the last.
	List(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the object's version is other than known, and returns
	// it. It returns ErrNotFound for an object that was deleted.
	Watch(ctx context.Context, key string, known ObjectVersion) (Object, error)
}

// Directory lists VMs.
type Directory interface {
	// VMs returns the platform's list.
	VMs(ctx context.Context) ([]VM, error)
}
