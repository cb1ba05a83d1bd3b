package metastore

import "maps"

// Copy is the content of a store at one moment.
type Copy struct {
	kinds             map[string]map[string]object
	revision          uint64
	history           []event
	compactedRevision uint64
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := make(map[string]map[string]object, len(s.kinds))
	for kind, objects := range s.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return Copy{kinds: kinds, revision: s.revision, history: s.history[:len(s.history):len(s.history)], compactedRevision: s.compactedRevision}
}

// Restore returns the store to an older copy of itself and begins a new era. Revisions continue
// from the copy, so those since then are given out again, and watches from them fail.
func (s *Store) Restore(older Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = make(map[string]map[string]object, len(older.kinds))
	for kind, objects := range older.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.revision, s.history, s.compactedRevision = older.revision, older.history, older.compactedRevision
	s.era.Add(1)
	s.notifyWatches()
}

// Era returns the store's era, which begins with 1.
func (s *Store) Era() uint64 { return s.era.Load() }
