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
	// ShardCount is the number of shards that claims are spread over. All daemons
	// must agree on it and on BucketLength.
	ShardCount = 16
	// BucketLength is the span of key times whose claims share a log.
	BucketLength = 30 * time.Second
	// MaxClockSkew is the largest difference between the clocks of two VMs.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long the objects of a bucket are kept after its end. By
	// any clock within MaxClockSkew, a key of the bucket is accepted and its
	// permit used well before that.
	Retention = claim.MaxKeyAge + PermitValidity + ClaimTimeout + 2*MaxClockSkew
	// ObjectNamePrefix is the prefix of the names of all ledger objects.
	ObjectNamePrefix = "ledger/"

	objectNameLayout = ObjectNamePrefix + "%02d/%d/%d-%d"
	objectNameParts  = 3
	secondsPerHour   = int64(time.Hour / time.Second)
)

// Shard numbers a shard, from 0.
type Shard uint8

// Bucket is the start of a span of key times, in seconds of Unix time.
type Bucket int64

// LogID identifies the log that holds the claims of a key.
type LogID struct {
	Shard  Shard
	Bucket Bucket
}

// LogIDOf returns the log of a key. It depends on the key and its account alone.
func LogIDOf(account version.AccountID, key claim.Key) LogID {
	var input [20]byte
	binary.BigEndian.PutUint32(input[:], uint32(account))
	copy(input[4:], key[:])
	bucketSeconds := int64(BucketLength / time.Second)
	return LogID{
		Shard:  Shard(xxhash.Sum64(input[:]) % ShardCount),
		Bucket: Bucket(key.Time().Unix() / bucketSeconds * bucketSeconds),
	}
}

// End returns the end of the bucket's span.
func (b Bucket) End() time.Time { return time.Unix(int64(b), 0).Add(BucketLength) }

// Expired reports whether the bucket's objects may be removed.
func (b Bucket) Expired(now time.Time) bool { return now.Round(0).After(b.End().Add(Retention)) }

// ObjectName returns the name of a segment's object. The name contains the hour,
// so that a sweep can list the objects of one hour.
func ObjectName(id LogID, segment int) string {
	return fmt.Sprintf(objectNameLayout, id.Shard, int64(id.Bucket)/secondsPerHour, id.Bucket, segment)
}

// ParseObjectName returns the log that an object belongs to. It reports false for a
// name that is not a ledger object's.
func ParseObjectName(name string) (LogID, bool) {
	suffix, ours := strings.CutPrefix(name, ObjectNamePrefix)
	parts := strings.Split(suffix, "/")
	if !ours || len(parts) != objectNameParts {
		return LogID{}, false
	}
	shard, err := strconv.ParseUint(parts[0], 10, 8)
	if err != nil {
		return LogID{}, false
	}
	bucketText, _, found := strings.Cut(parts[2], "-")
	bucket, err := strconv.ParseInt(bucketText, 10, 64)
	if err != nil || !found {
		return LogID{}, false
	}
	return LogID{Shard: Shard(shard), Bucket: Bucket(bucket)}, true
}

// HourPrefix returns the prefix of a shard's object names within the hour that
// contains t.
func HourPrefix(shard Shard, t time.Time) string {
	return fmt.Sprintf(ObjectNamePrefix+"%02d/%d/", shard, t.Unix()/secondsPerHour)
}
