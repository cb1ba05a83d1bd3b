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
	// garbageAge is how long a part must have been unused before it is removed.
	garbageAge = time.Hour
	// maxSweepParts is the highest number of unused parts that one Sweep handles.
	maxSweepParts = 1024
	// VersionsPerSweep is the number of configuration versions between two sweeps. It
	// keeps their cost small compared with that of the changes.
	VersionsPerSweep = 64
)

// unusedPart is a part that no head named when a sweep found it.
type unusedPart struct {
	// Version is the object's version. A part that has been written again since then has
	// another version and is not removed.
	Version objectstore.ObjectVersion `json:"version"`
	// SinceMillis is when a sweep first found the part unused, in milliseconds since the
	// Unix epoch.
	SinceMillis int64 `json:"since_ms"`
}

// unusedParts are the recorded unused parts by key.
type unusedParts map[string]unusedPart

// Sweep removes parts that have been unused for garbageAge and records those that are
// unused now. It returns the number of removed parts.
//
// It is safe to run at the same time as changes and other sweeps: a change writes each part
// that it needs again before it writes the head, and a removal is conditional on the
// recorded version.
func (c *Changer) Sweep(ctx context.Context) (int, error) {
	recorded, recordVersion, err := c.readRecord(ctx)
	if err != nil {
		return 0, err
	}
	keys, err := c.unusedKeys(ctx)
	if err != nil {
		return 0, err
	}
	next, removed := make(unusedParts), 0
	now := c.options.Now().UnixMilli()
	for _, key := range keys[:min(len(keys), maxSweepParts)] {
		entry, found := recorded[key]
		if found && now-entry.SinceMillis >= garbageAge.Milliseconds() {
			err := c.options.Store.Delete(ctx, key, entry.Version)
			if err == nil {
				removed++
				continue
			}
			if !errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrNotFound) {
				return removed, unavailable(err)
			}
			found = false
		}
		if !found {
			object, err := c.options.Store.Get(ctx, key)
			if errors.Is(err, objectstore.ErrNotFound) {
				continue
			}
			if err != nil {
				return removed, unavailable(err)
			}
			entry = unusedPart{Version: object.Version, SinceMillis: now}
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
	var unusedKeys []string
	for _, key := range keys {
		if !used[strings.TrimPrefix(key, objects.PartPrefix)] {
			unusedKeys = append(unusedKeys, key)
		}
	}
	return unusedKeys, nil
}

func (c *Changer) readRecord(ctx context.Context) (unusedParts, objectstore.ObjectVersion, error) {
	object, err := c.options.Store.Get(ctx, objects.GarbageKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, unavailable(err)
	}
	var recorded unusedParts
	if json.Unmarshal(object.Value, &recorded) != nil {
		// A record that cannot be decoded is started again. Its only effect is that parts
		// are kept longer.
		recorded = nil
	}
	return recorded, object.Version, nil
}

// writeRecord stores the record. A conflict with a sweep that ran at the same time is
// ignored, since that sweep's record is as good.
func (c *Changer) writeRecord(ctx context.Context, next unusedParts, expected objectstore.ObjectVersion) error {
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
