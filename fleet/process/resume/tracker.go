package resume

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Tracker holds what one VM knows of software versions and of the streams that they began. It is
// not safe for concurrent use.
type Tracker struct {
	versions versionState
	streams  *originTable
	// untold are the streams of this VM that the other VMs have not been told of.
	untold []Stream
	// told are the pools whose streams the other VMs are told of.
	told map[string]bool
}

// New returns a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{versions: newVersionState(), streams: newOriginTable(), told: make(map[string]bool)}
}

// Configure takes in the upstreams that are registered.
func (t *Tracker) Configure(now time.Time, config *version.Config) {
	t.versions.configure(now, config)
	t.updateTold()
}

// Adopt takes in a record, unless a later one is known. It reports whether it did.
func (t *Tracker) Adopt(now time.Time, record Record) bool {
	adopted := t.versions.adopt(now, record)
	t.updateTold()
	return adopted
}

// Record returns the newest record that is known, or nil.
func (t *Tracker) Record() *Record { return t.versions.record }

// Wanted returns the record that the store should have, and how it differs from the one that is
// known. firstStart is set while the fleet starts for the first time.
func (t *Tracker) Wanted(now time.Time, era uint64, firstStart bool) (Record, Change) {
	return t.versions.wanted(now, era, firstStart)
}

// IsRecorded reports whether a stream that callers may take up again may begin at a version of a
// pool.
func (t *Tracker) IsRecorded(pool version.PoolID, software string) bool {
	return t.versions.record.contains(t.versions.pools[pool], software)
}

// MayBeOneVersion reports whether the record that is known leaves it open that only one version
// began a stream of a pool. It has to be read again to be sure.
func (t *Tracker) MayBeOneVersion(pool string) bool {
	r := t.versions.record
	return r == nil || r.Certain && len(r.Pools[pool]) <= 1
}

// mayBeAmbiguous reports whether a stream of a pool may also have been begun by another version or
// pool, or it is not known.
func (t *Tracker) mayBeAmbiguous(pool string) bool {
	r := t.versions.record
	return t.versions.split[pool] || r != nil && (!r.Certain || len(r.Pools[pool]) > 1)
}

// updateTold updates the pools whose streams the others are told of. When another version comes to
// serve a pool, the streams that have begun there before are told too.
func (t *Tracker) updateTold() {
	for pool := range t.versions.present {
		ambiguous := t.mayBeAmbiguous(pool)
		if ambiguous && !t.told[pool] {
			t.untold = append(t.untold, t.streamsOf(pool)...)
		}
		t.told[pool] = ambiguous
	}
}

// streamsOf returns the streams of a pool that this VM has begun.
func (t *Tracker) streamsOf(pool string) []Stream {
	var streams []Stream
	for _, generation := range t.streams.generations {
		for stream, e := range generation {
			if e.own && t.streams.origins[e.origin].Pool == pool {
				streams = append(streams, stream)
			}
		}
	}
	return streams
}

// Begin records that an attempt of a stream is sent to a version of a pool.
func (t *Tracker) Begin(now time.Time, stream Stream, pool version.PoolID, software string, attempt int) {
	name := t.versions.pools[pool]
	if software == "" || name == "" {
		// Nothing is known to fit the stream, which is not inferred to be of the only version.
		software = ""
	}
	isNew := t.streams.put(now, t.versions.retention, stream, Origin{name, software}, uint8(min(max(attempt, 0), 255)), true)
	if isNew && t.told[name] && len(t.untold) < maxGenerationStreams {
		t.untold = append(t.untold, stream)
	}
}

// Origin returns what began a stream, if this VM knows it.
func (t *Tracker) Origin(stream Stream) (Origin, bool) {
	e, present := t.streams.find(stream)
	if !present {
		return Origin{}, false
	}
	return t.streams.origins[e.origin], true
}

// Tick returns what to tell the other VMs. It has to be called several times a second.
func (t *Tracker) Tick() []wire.StreamOrigins {
	untold := t.untold
	t.untold = nil
	return t.streams.encode(untold)
}

// maxToldWhenLinked limits the streams of which a VM is told that has just been linked.
const maxToldWhenLinked = 1 << 14

// All returns what a VM needs to know that has just been linked: the streams of the pools at which
// several versions may serve, the newest ones.
func (t *Tracker) All() []wire.StreamOrigins {
	var streams []Stream
	for _, generation := range t.streams.generations {
		for stream, e := range generation {
			if len(streams) >= maxToldWhenLinked {
				break
			}
			if t.told[t.streams.origins[e.origin].Pool] {
				streams = append(streams, stream)
			}
		}
	}
	return t.streams.encode(streams)
}

// Merge adds the streams that another VM tells of, and returns those that are new.
func (t *Tracker) Merge(now time.Time, message wire.StreamOrigins) wire.StreamOrigins {
	var added wire.StreamOrigins
	budget := maxToldWhenLinked
	for _, group := range message.Groups {
		if len(group.Pool) > maxNameBytes || len(group.Software) > maxNameBytes {
			continue
		}
		fresh := wire.OriginGroup{Pool: group.Pool, Software: group.Software, Attempt: group.Attempt}
		for keys := group.Keys; len(keys) >= wire.StreamKeyBytes && budget > 0; keys = keys[wire.StreamKeyBytes:] {
			budget--
			key := binary.BigEndian.Uint64(keys)
			if t.streams.put(now, t.versions.retention, Stream(key), Origin{group.Pool, group.Software}, group.Attempt, false) {
				fresh.Keys = append(fresh.Keys, keys[:wire.StreamKeyBytes]...)
			}
		}
		if len(fresh.Keys) > 0 {
			added.Groups = append(added.Groups, fresh)
		}
	}
	return added
}

// PoolVersion is a software version of a pool, for operators.
type PoolVersion struct {
	Pool     string `json:"pool"`
	Software string `json:"software"`
	// Upstreams is the number of upstreams that are registered with the version.
	Upstreams int `json:"upstreams"`
	// Recorded is set if the version is in the record: streams may begin at it, and may have.
	Recorded bool `json:"recorded"`
}

// Versions returns the versions that are registered or recorded, by pool.
func (t *Tracker) Versions() []PoolVersion {
	var list []PoolVersion
	for pool, versions := range t.versions.present {
		for software, upstreams := range versions {
			list = append(list, PoolVersion{pool, software, upstreams, t.versions.record.contains(pool, software)})
		}
	}
	if r := t.versions.record; r != nil {
		for pool, versions := range r.Pools {
			for _, software := range versions {
				if t.versions.present[pool][software] == 0 {
					list = append(list, PoolVersion{Pool: pool, Software: software, Recorded: true})
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b PoolVersion) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Software, b.Software))
	})
	return list
}

// Streams returns the number of streams that are remembered, some of which may be counted twice.
func (t *Tracker) Streams() int { return t.streams.size() }
