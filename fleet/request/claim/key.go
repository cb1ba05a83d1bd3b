package claim

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// MaxKeyAge is the age up to which a key is accepted. It is the same in the whole
	// fleet, because the ledger's objects are removed by it.
	MaxKeyAge = 24 * time.Hour
	// MaxKeyAhead is how far a key's time may be ahead of this VM's clock.
	MaxKeyAhead = time.Minute
	// keyVersion is the UUID version of a key (RFC 9562).
	keyVersion = 7
)

var (
	// ErrKeyMalformed is returned for a key that is not a UUIDv7.
	ErrKeyMalformed = errors.New("the idempotency key is not a UUID of version 7 (RFC 9562)")
	// ErrKeyOld is returned for a key older than MaxKeyAge.
	ErrKeyOld = errors.New("the idempotency key is older than 24 hours, so whether it was used is no longer known")
	// ErrKeyAhead is returned for a key more than MaxKeyAhead in the future.
	ErrKeyAhead = errors.New("the time in the idempotency key is more than a minute in the future")
)

// ParseKey parses the value of an Idempotency-Key header. It returns ErrKeyMalformed,
// ErrKeyOld or ErrKeyAhead if the key is not accepted.
func ParseKey(text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) {
		return Key{}, ErrKeyMalformed
	}
	key := Key(id)
	return key, key.Check(now)
}

// NewKey returns a key with the given time; its other bits are taken from random.
func NewKey(at time.Time, random [10]byte) Key {
	var key Key
	unixMillis := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(unixMillis >> (8 * (5 - i)))
	}
	copy(key[6:], random[:])
	key[6] = key[6]&0x0f | keyVersion<<4
	key[8] = key[8]&0x3f | 0x80
	return key
}

// Time returns the time in the key, in whole milliseconds.
func (k Key) Time() time.Time {
	var unixMillis int64
	for _, b := range k[:6] {
		unixMillis = unixMillis<<8 | int64(b)
	}
	return time.UnixMilli(unixMillis)
}

// Check returns nil if the key is accepted at the given time, and otherwise
// ErrKeyMalformed, ErrKeyOld or ErrKeyAhead.
func (k Key) Check(now time.Time) error {
	id := uuid.UUID(k)
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return ErrKeyMalformed
	}
	age := now.Round(0).Sub(k.Time())
	switch {
	case age > MaxKeyAge:
		return ErrKeyOld
	case age < -MaxKeyAhead:
		return ErrKeyAhead
	default:
		return nil
	}
}

// String returns the key as a UUID.
func (k Key) String() string { return uuid.UUID(k).String() }
