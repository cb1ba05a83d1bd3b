// Package objects reads the configuration's objects in the platform: the head
// and the immutable parts that it names.
package objects

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

const (
	// HeadKey is the key of the head.
	HeadKey = "config/head"
	// PartPrefix begins the key of a part; its SHA-256 follows.
	PartPrefix = "config/part/"
	// GarbageKey is the key of the record of parts that are to be removed. It does
	// not stand beside the head, whose neighbours wake those who watch it.
	GarbageKey = "config/garbage/parts"
)

// PartKey returns the key of the part with a digest.
func PartKey(digest string) string { return PartPrefix + digest }

// Part reads a part and checks it against its digest.
func Part(ctx context.Context, store objectstore.Store, digest string) ([]byte, error) {
	object, err := store.Get(ctx, PartKey(digest))
	if err != nil {
		return nil, errors.Wrapf(err, "part %s", digest)
	}
	if part.Digest(object.Value) != digest {
		return nil, errors.Wrapf(part.ErrCorrupt, "part %s", digest)
	}
	return object.Value, nil
}

// Document reads the parts of a head.
func Document(ctx context.Context, store objectstore.Store, head version.Head) (*version.Document, error) {
	held := make(map[string][]byte, len(head.Parts))
	for _, ref := range head.Parts {
		data, err := Part(ctx, store, ref.SHA256)
		if err != nil {
			return nil, err
		}
		held[ref.SHA256] = data
	}
	return part.Join(head, func(digest string) ([]byte, bool) {
		data, present := held[digest]
		return data, present
	})
}
