package ledger

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Shards is the number of logs that claims are spread over. All daemons
	// must agree on it, as they do on BucketLength.
	Shards = 16
	// BucketLength is the span of key times whose claims share a log.
	BucketLength = 30 * time.Second
	// MaxClockSkew is how far two VMs' clocks may be apart.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long after a bucket's end its objects are kept. A key
	// of the bucket is accepted and its permit used well before that by every
	// clock within MaxClockSkew.
	Retention = claim.MaxKeyAge + PermitValidity + ClaimTimeout + 2*MaxClockSkew
	// Prefix starts the names of all objects of the ledger.
	Prefix = "ledger/"

	nameLayout = Prefix + "%02d/%d/%d-%d"
	nameParts  = 3
	hour       = int64(time.Hour / time.Second)
)

// Shard numbers a log, from 0.
type Shard uint8

// Bucket is the start of a span of key times, in seconds of Unix time.
type Bucket int64

// Place tells where the claims of a key are.
type Place struct {
	Shard  Shard
	Bucket Bucket
}

// PlaceOf finds a key's place from the key and its account alone.
func PlaceOf(account version.AccountID, key claim.Key) Place {
	var text [20]byte
	binary.BigEndian.PutUint32(text[:], uint32(account))
	copy(text[4:], key[:])
	span := int64(BucketLength / time.Second)
	return Place{
		Shard:  Shard(xxhash.Sum64(text[:]) % Shards),
		Bucket: Bucket(key.Time().Unix() / span * span),
	}
}

// End returns the end of the bucket's span.
func (b Bucket) End() time.Time { return time.Unix(int64(b), 0).Add(BucketLength) }

// Expired reports whether the bucket's objects may be removed.
func (b Bucket) Expired(now time.Time) bool { return now.Round(0).After(b.End().Add(Retention)) }

// ObjectName returns the name of a segment's object. The hour in it groups
// names for removal.
func ObjectName(place Place, segment int) string {
	return fmt.Sprintf(nameLayout, place.Shard, int64(place.Bucket)/hour, place.Bucket, segment)
}

// ParseName returns the place of an object's name. It reports false for a name
// that is not the ledger's.
func ParseName(name string) (Place, bool) {
	rest, ours := strings.CutPrefix(name, Prefix)
	parts := strings.Split(rest, "/")
	if !ours || len(parts) != nameParts {
		return Place{}, false
	}
	shard, err := strconv.ParseUint(parts[0], 10, 8)
	if err != nil {
		return Place{}, false
	}
	first, _, found := strings.Cut(parts[2], "-")
	bucket, err := strconv.ParseInt(first, 10, 64)
	if err != nil || !found {
		return Place{}, false
	}
	return Place{Shard: Shard(shard), Bucket: Bucket(bucket)}, true
}

// HourPrefix returns the prefix of a shard's object names within the hour that
// holds t.
func HourPrefix(shard Shard, t time.Time) string {
	return fmt.Sprintf(Prefix+"%02d/%d/", shard, t.Unix()/hour)
}
