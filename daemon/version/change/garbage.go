package change

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/version/objects"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

const (
	// garbageAge is how long a part must have been unused before it is
	// removed.
	garbageAge = time.Hour
	// sweepBatch bounds the parts that one Sweep looks at.
	sweepBatch = 1024
	// SweepEvery is how many configuration versions lie between sweeps, so
	// that their cost stays small beside the changes'.
	SweepEvery = 64
)

// unused is a part that no head named when it was seen.
type unused struct {
	// Version is the object's version; a part that was written anew since then
	// has another one and is not removed.
	Version objectstore.ObjectVersion `json:"version"`
	// SinceMillis is when it was first seen, in milliseconds since the Unix
	// epoch.
	SinceMillis int64 `json:"since_ms"`
}

// record lists unused parts by key.
type record map[string]unused

// Sweep removes parts that have been unused for an hour and notes those that
// are unused now. It returns how many it removed.
//
// It is safe beside changes and other sweeps: a change writes each part that it
// needs anew before it writes the head, and a removal is conditional on the
// version that was noted.
func (c *Changer) Sweep(ctx context.Context) (int, error) {
	noted, recordVersion, err := c.readRecord(ctx)
	if err != nil {
		return 0, err
	}
	keys, err := c.unusedKeys(ctx)
	if err != nil {
		return 0, err
	}
	next, removed := make(record), 0
	now := c.options.Now().UnixMilli()
	for _, key := range keys[:min(len(keys), sweepBatch)] {
		entry, known := noted[key]
		if known && now-entry.SinceMillis >= garbageAge.Milliseconds() {
			err := c.options.Store.Delete(ctx, key, entry.Version)
			if err == nil {
				removed++
				continue
			}
			if !errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrNotFound) {
				return removed, unavailable(err)
			}
			known = false
		}
		if !known {
			object, err := c.options.Store.Get(ctx, key)
			if errors.Is(err, objectstore.ErrNotFound) {
				continue
			}
			if err != nil {
				return removed, unavailable(err)
			}
			entry = unused{Version: object.Version, SinceMillis: now}
		}
		next[key] = entry
	}
	return removed, c.writeRecord(ctx, next, recordVersion)
}

// unusedKeys returns the keys of the parts that the head does not name.
func (c *Changer) unusedKeys(ctx context.Context) ([]string, error) {
	keys, err := c.options.Store.List(ctx, objects.PartPrefix)
	if err != nil {
		return nil, unavailable(err)
	}
	object, err := c.options.Store.Get(ctx, objects.HeadKey)
	if err != nil {
		return nil, unavailable(err)
	}
	head, err := part.DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	used := make(map[string]bool, len(head.Parts))
	for _, ref := range head.Parts {
		used[ref.SHA256] = true
	}
	var kept []string
	for _, key := range keys {
		if !used[strings.TrimPrefix(key, objects.PartPrefix)] {
			kept = append(kept, key)
		}
	}
	return kept, nil
}

func (c *Changer) readRecord(ctx context.Context) (record, objectstore.ObjectVersion, error) {
	object, err := c.options.Store.Get(ctx, objects.GarbageKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, unavailable(err)
	}
	var noted record
	if json.Unmarshal(object.Value, &noted) != nil {
		// A record that cannot be read is begun anew; parts are only kept
		// longer by that.
		noted = nil
	}
	return noted, object.Version, nil
}

// writeRecord keeps the record. A sweep that ran at the same time may have been
// first; its record is as good.
func (c *Changer) writeRecord(ctx context.Context, next record, expected objectstore.ObjectVersion) error {
	encoded, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode record of unused parts")
	}
	_, err = c.options.Store.Put(ctx, objects.GarbageKey, encoded, expected)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return unavailable(err)
}
