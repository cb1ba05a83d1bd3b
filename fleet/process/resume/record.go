package resume

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// minRetention is the shortest time for which a version is kept in the record after its last
	// upstream has gone, and for which streams are remembered.
	minRetention = 30 * time.Second
	// retentionSlack is how much longer than the timeout of a route a caller may go on to take
	// up a stream of it.
	retentionSlack = 15 * time.Second
	// maxRecordVersions limits the versions of a pool in a record. A pool with more is not
	// joined for want of a record that can be trusted.
	maxRecordVersions = 64
)

// Record says which software versions may have begun the streams that callers can still take
// up. It is kept in the platform's store.
type Record struct {
	// Era is the era of the store in which the record was written, and Seq rises with each
	// write.
	Era uint64 `json:"era"`
	Seq uint64 `json:"seq"`
	// Certain is set if no other version can have begun such a stream.
	Certain bool `json:"certain"`
	// Pools are the versions by the name of their pool, in the order of their names, which means
	// nothing else.
	Pools map[string][]string `json:"pools"`
}

// isLaterThan reports whether a record replaces another one.
func (r Record) isLaterThan(other Record) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Seq > other.Seq
}

// contains reports whether the record has a version of a pool.
func (r *Record) contains(pool, software string) bool {
	return r != nil && slices.Contains(r.Pools[pool], software)
}

// OnlyVersion returns the version that must have begun a stream of a pool, if there is only one.
// era is the present era of the store, which the record was just read from: one that was written
// in an older era may lack what was written since.
func (r Record) OnlyVersion(pool string, era uint64) (software string, known bool) {
	versions := r.Pools[pool]
	if !r.Certain || r.Era != era || len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// Change says how a wanted record differs from the present one.
type Change uint8

const (
	// ChangeNone means that they are the same.
	ChangeNone Change = iota
	// ChangeTidy means that the record could say less, or be more certain.
	ChangeTidy
	// ChangeNeeded means that upstreams cannot be used for streams without the change.
	ChangeNeeded
)

// versionState holds what a tracker knows of the versions of all pools.
type versionState struct {
	record *Record
	// uncertainSince is when the record was first known to be uncertain; zero if it is certain.
	uncertainSince time.Time
	// present are the versions that are registered now, by pool, with the number of their
	// upstreams.
	present map[string]map[string]int
	// seenAt is when a version was last registered, as far as this VM knows; pools are the names of
	// the pools.
	seenAt map[Origin]time.Time
	pools  map[version.PoolID]string
	// split are the pools that share a route with others.
	split     map[string]bool
	retention time.Duration
}

func newVersionState() versionState {
	return versionState{seenAt: make(map[Origin]time.Time), retention: minRetention}
}

// configure takes in the upstreams that are registered.
func (s *versionState) configure(now time.Time, config *version.Config) {
	s.touch(now)
	s.present = make(map[string]map[string]int)
	s.pools = make(map[version.PoolID]string, len(config.Pools))
	for id, pool := range config.Pools {
		s.pools[id] = pool.Name
	}
	for _, upstream := range config.Upstreams {
		pool, known := s.pools[upstream.Pool]
		if !known {
			continue
		}
		if s.present[pool] == nil {
			s.present[pool] = make(map[string]int)
		}
		s.present[pool][upstream.Software]++
	}
	s.retention, s.split = minRetention, make(map[string]bool)
	for _, route := range config.Routes.All() {
		if route.Repeat != version.RepeatResume {
			continue
		}
		s.retention = max(s.retention, route.Timeout+retentionSlack)
		for _, weighted := range route.Pools {
			s.split[s.pools[weighted.Pool]] = s.split[s.pools[weighted.Pool]] || len(route.Pools) > 1
		}
	}
	s.touch(now)
}

// touch records that the present versions are still registered.
func (s *versionState) touch(now time.Time) {
	for pool, versions := range s.present {
		for software := range versions {
			s.seenAt[Origin{pool, software}] = now
		}
	}
}

// adopt takes in a record, unless a later one is known. It reports whether it did.
func (s *versionState) adopt(now time.Time, record Record) bool {
	if s.record != nil && !record.isLaterThan(*s.record) {
		return false
	}
	s.record = &record
	for pool, versions := range record.Pools {
		for _, software := range versions {
			if _, seen := s.seenAt[Origin{pool, software}]; !seen {
				s.seenAt[Origin{pool, software}] = now
			}
		}
	}
	for origin := range s.seenAt {
		if !record.contains(origin.Pool, origin.Software) && s.present[origin.Pool][origin.Software] == 0 {
			delete(s.seenAt, origin)
		}
	}
	switch {
	case record.Certain:
		s.uncertainSince = time.Time{}
	case s.uncertainSince.IsZero():
		s.uncertainSince = now
	}
	return true
}

// wanted returns the record that the store should have, and how it differs from the present one.
// firstStart is set while the fleet starts for the first time, so that no stream was begun before.
func (s *versionState) wanted(now time.Time, era uint64, firstStart bool) (Record, Change) {
	s.touch(now)
	if s.present == nil {
		return Record{}, ChangeNone
	}
	want := Record{Era: era, Seq: 1, Certain: firstStart, Pools: make(map[string][]string)}
	add := func(pool, software string) {
		if !want.contains(pool, software) && len(want.Pools[pool]) < maxRecordVersions {
			want.Pools[pool] = append(want.Pools[pool], software)
		}
	}
	change := ChangeNone
	for pool, versions := range s.present {
		for software := range versions {
			add(pool, software)
			if !s.record.contains(pool, software) {
				change = ChangeNeeded
			}
		}
	}
	if s.record == nil {
		change = ChangeNeeded
	} else {
		want.Seq = s.record.Seq + 1
		want.Certain = s.record.Certain || now.Sub(s.uncertainSince) >= s.retention
		for pool, versions := range s.record.Pools {
			for _, software := range versions {
				if now.Sub(s.seenAt[Origin{pool, software}]) < s.retention {
					add(pool, software)
				}
			}
		}
		if era > s.record.Era {
			change = ChangeNeeded
		}
	}
	for _, versions := range want.Pools {
		slices.Sort(versions)
	}
	if change == ChangeNone && (want.Certain != s.record.Certain || !maps.EqualFunc(want.Pools, s.record.Pools, slices.Equal)) {
		change = ChangeTidy
	}
	return want, change
}
