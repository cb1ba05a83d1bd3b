// Package part cuts a configuration document into the immutable objects that
// hold it in the platform, and joins them again.
//
// Accounts and upstreams are put into buckets by a hash of their name, so that
// a change of one of them changes one small part and leaves the others, and
// their digests, as they were.
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
	// MaxBytes bounds one part. The platform holds objects up to 1 MiB, in which a
	// value takes a third more than its bytes.
	MaxBytes = 750_000
	// MaxParts bounds the parts of one head.
	MaxParts = 4_096
	// accountsPerBucket and upstreamsPerBucket are the most that a bucket
	// holds on average.
	accountsPerBucket  = 128
	upstreamsPerBucket = 128
)

var (
	// ErrTooLarge is returned for a document whose part would be over MaxBytes.
	ErrTooLarge = errors.New("configuration part too large")
	// ErrCorrupt is returned for a head or part that is missing, does not match
	// its digest or cannot be decoded.
	ErrCorrupt = errors.New("configuration object corrupt")
)

// Part is one immutable object.
type Part struct {
	Ref  version.PartRef
	Data []byte
}

// Digest returns the hex SHA-256 that names a part.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Split returns the parts of a document, none of them empty. The same items give the same parts,
// and their order within a section is kept within each bucket only.
func Split(document *version.Document) ([]Part, error) {
	pieces := []piece{
		{"places", version.Document{DataCentres: document.DataCentres, Pools: document.Pools}},
		{"presets", version.Document{Presets: document.Presets}},
	}
	pieces = append(pieces, splitAccounts(document.Accounts)...)
	pieces = append(pieces, splitUpstreams(document.Upstreams)...)
	parts := make([]Part, 0, len(pieces))
	for _, p := range pieces {
		encoded, err := p.encode()
		if err != nil {
			return nil, err
		}
		if len(encoded.Data) > 0 {
			parts = append(parts, encoded)
		}
	}
	return parts, nil
}

// Refs returns the references of parts, in order.
func Refs(parts []Part) []version.PartRef {
	refs := make([]version.PartRef, 0, len(parts))
	for _, p := range parts {
		refs = append(refs, p.Ref)
	}
	return refs
}

// Decode decodes the part that ref names and checks its digest.
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

// Join returns the document of a head whose parts lookup returns by digest.
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

// DecodeHead decodes a head and checks its bounds.
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

// piece is a part before it is encoded.
type piece struct {
	name     string
	document version.Document
}

func (p piece) encode() (Part, error) {
	data, err := toml.Marshal(p.document)
	if err != nil {
		return Part{}, errors.Wrapf(err, "encode part %q", p.name)
	}
	if len(data) > MaxBytes {
		return Part{}, errors.Wrapf(ErrTooLarge, "part %q has %d bytes, the limit is %d", p.name, len(data), MaxBytes)
	}
	return Part{Ref: version.PartRef{Name: p.name, SHA256: Digest(data)}, Data: data}, nil
}

func splitAccounts(accounts []version.AccountSpec) []piece {
	pieces := newBuckets("accounts", len(accounts), accountsPerBucket)
	for _, spec := range accounts {
		bucket := &pieces[bucketOf(uint32(version.NewAccountID(spec.Name)), len(pieces))].document
		bucket.Accounts = append(bucket.Accounts, spec)
	}
	return pieces
}

func splitUpstreams(upstreams []version.UpstreamSpec) []piece {
	pieces := newBuckets("upstreams", len(upstreams), upstreamsPerBucket)
	for _, spec := range upstreams {
		bucket := &pieces[bucketOf(uint32(version.NewUpstreamID(spec.Name)), len(pieces))].document
		bucket.Upstreams = append(bucket.Upstreams, spec)
	}
	return pieces
}

// newBuckets returns a power of two of buckets, so that their number changes
// only when the count doubles or halves.
func newBuckets(name string, count, perBucket int) []piece {
	needed := (count + perBucket - 1) / perBucket
	pieces := make([]piece, 1<<bits.Len(uint(max(needed-1, 0))))
	for i := range pieces {
		pieces[i].name = fmt.Sprintf("%s-%d", name, i)
	}
	return pieces
}

// bucketOf maps an identifier to one of a power of two of buckets.
func bucketOf(id uint32, buckets int) int { return int(id & uint32(buckets-1)) }
