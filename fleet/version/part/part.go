// Package part splits a configuration document into parts, the immutable objects
// in which the platform stores it, and joins the parts into a document again.
//
// Accounts and upstreams are distributed over buckets by a hash of their name.
// Each bucket is a part, so a change of one account or upstream changes one small
// part and leaves the other parts and their digests as they are.
package part

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// MaxBytes is the maximum size of a part or a head. The platform stores
	// objects of up to 1 MiB, and encodes values in them so that they take a
	// third more than their size.
	MaxBytes = 750_000
	// MaxParts is the maximum number of parts of one head.
	MaxParts = 4_096
	// accountsPerBucket and upstreamsPerBucket are the maximum average numbers
	// of accounts and upstreams in a bucket.
	accountsPerBucket  = 128
	upstreamsPerBucket = 128
)

var (
	// ErrTooLarge is returned for a document that has a part of more than
	// MaxBytes.
	ErrTooLarge = errors.New("configuration part too large")
	// ErrCorrupt is returned for a head that cannot be decoded or is out of its
	// bounds, and for a part that is missing, does not match its digest or
	// cannot be decoded.
	ErrCorrupt = errors.New("configuration object corrupt")
)

// Part is an immutable object that holds a part of a document in TOML.
type Part struct {
	Ref  version.PartRef
	Data []byte
}

// Digest returns the hex SHA-256 digest that identifies a part with the given
// data.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Split returns the parts of a document, without empty parts. The same accounts,
// pools, upstreams and so on give the same parts. Their order within a section is
// kept only within each bucket. It returns ErrTooLarge if a part is too large.
func Split(document *version.Document) ([]Part, error) {
	contents := []content{
		{"places", version.Document{DataCentres: document.DataCentres, Pools: document.Pools}},
		{"presets", version.Document{Presets: document.Presets}},
	}
	contents = append(contents, splitAccounts(document.Accounts)...)
	contents = append(contents, splitUpstreams(document.Upstreams)...)
	parts := make([]Part, 0, len(contents))
	for _, c := range contents {
		encoded, err := c.encode()
		if err != nil {
			return nil, err
		}
		if len(encoded.Data) > 0 {
			parts = append(parts, encoded)
		}
	}
	return parts, nil
}

// Refs returns the references to the parts, in the same order.
func Refs(parts []Part) []version.PartRef {
	refs := make([]version.PartRef, 0, len(parts))
	for _, p := range parts {
		refs = append(refs, p.Ref)
	}
	return refs
}

// Decode decodes the part that ref references and checks its digest. It returns
// ErrCorrupt if that fails.
func Decode(ref version.PartRef, data []byte) (*version.Document, error) {
	if Digest(data) != ref.SHA256 {
		return nil, errors.Wrapf(ErrCorrupt, "part %q does not match its digest", ref.Name)
	}
	var document version.Document
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decode part %q", ref.Name), ErrCorrupt)
	}
	return &document, nil
}

// Join returns the document of a head. lookup returns the data of a part by its
// digest and whether the part is present. It returns ErrCorrupt if a part is
// missing or invalid.
func Join(head version.Head, lookup func(digest string) ([]byte, bool)) (*version.Document, error) {
	var document version.Document
	for _, ref := range head.Parts {
		data, present := lookup(ref.SHA256)
		if !present {
			return nil, errors.Wrapf(ErrCorrupt, "part %q is missing", ref.Name)
		}
		decoded, err := Decode(ref, data)
		if err != nil {
			return nil, err
		}
		document.Append(*decoded)
	}
	return &document, nil
}

// DecodeHead decodes a head from JSON and checks that it has a number and at most
// MaxParts parts. It returns ErrCorrupt if that fails.
func DecodeHead(encoded []byte) (version.Head, error) {
	var head version.Head
	if err := json.Unmarshal(encoded, &head); err != nil {
		return version.Head{}, errors.Mark(errors.Wrap(err, "decode head"), ErrCorrupt)
	}
	if head.Number == 0 || len(head.Parts) > MaxParts {
		return version.Head{}, errors.Wrapf(ErrCorrupt, "head has number %d and %d parts", head.Number, len(head.Parts))
	}
	return head, nil
}

// content is the content of a part before it is encoded.
type content struct {
	name     string
	document version.Document
}

// encode returns the encoded part, or ErrTooLarge if it has more than MaxBytes.
func (c content) encode() (Part, error) {
	data, err := toml.Marshal(c.document)
	if err != nil {
		return Part{}, errors.Wrapf(err, "encode part %q", c.name)
	}
	if len(data) > MaxBytes {
		return Part{}, errors.Wrapf(ErrTooLarge, "part %q has %d bytes, the limit is %d", c.name, len(data), MaxBytes)
	}
	return Part{Ref: version.PartRef{Name: c.name, SHA256: Digest(data)}, Data: data}, nil
}

func splitAccounts(accounts []version.AccountSpec) []content {
	buckets := newBuckets("accounts", len(accounts), accountsPerBucket)
	for _, spec := range accounts {
		bucket := &buckets[bucketOf(uint32(version.NewAccountID(spec.Name)), len(buckets))].document
		bucket.Accounts = append(bucket.Accounts, spec)
	}
	return buckets
}

func splitUpstreams(upstreams []version.UpstreamSpec) []content {
	buckets := newBuckets("upstreams", len(upstreams), upstreamsPerBucket)
	for _, spec := range upstreams {
		bucket := &buckets[bucketOf(uint32(version.NewUpstreamID(spec.Name)), len(buckets))].document
		bucket.Upstreams = append(bucket.Upstreams, spec)
	}
	return buckets
}

// newBuckets returns empty buckets for count elements. Their number is a power of
// two, so that it changes only when the count doubles or halves.
func newBuckets(name string, count, perBucket int) []content {
	needed := (count + perBucket - 1) / perBucket
	buckets := make([]content, 1<<bits.Len(uint(max(needed-1, 0))))
	for i := range buckets {
		buckets[i].name = fmt.Sprintf("%s-%d", name, i)
	}
	return buckets
}

// bucketOf returns the index of the bucket of an identifier. The number of buckets
// must be a power of two.
func bucketOf(id uint32, bucketCount int) int { return int(id & uint32(bucketCount-1)) }
