// Package objects reads the configuration from the platform: the head, and the immutable
// parts that it names.
package objects

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

const (
	// HeadKey is the key of the configuration head.
	HeadKey = "config/head"
	// PartPrefix is the prefix of a part's key; the part's SHA-256 digest in hexadecimal
	// follows.
	PartPrefix = "config/part/"
	// GarbageKey is the key of the record of unused parts that are to be removed. It is
	// under another prefix than the head, because a change of a key next to the head wakes
	// the watches of the head.
	GarbageKey = "config/garbage/parts"
)

// PartKey returns the key of the part with the digest.
func PartKey(digest string) string { return PartPrefix + digest }

// Part reads a part. It returns part.ErrCorrupt if the content does not match the digest.
func Part(ctx context.Context, store objectstore.Store, digest string) ([]byte, error) {
	object, err := store.Get(ctx, PartKey(digest))
	if err != nil {
		return nil, errors.Wrapf(err, "read part %s", digest)
	}
	if part.Digest(object.Value) != digest {
		return nil, errors.Wrapf(part.ErrCorrupt, "check part %s", digest)
	}
	return object.Value, nil
}

// Document reads the parts of a head and returns the configuration that they form.
func Document(ctx context.Context, store objectstore.Store, head version.Head) (*version.Document, error) {
	parts := make(map[string][]byte, len(head.Parts))
	for _, ref := range head.Parts {
		data, err := Part(ctx, store, ref.SHA256)
		if err != nil {
			return nil, err
		}
		parts[ref.SHA256] = data
	}
	return part.Join(head, func(digest string) ([]byte, bool) {
		data, present := parts[digest]
		return data, present
	})
}
