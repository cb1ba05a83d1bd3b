package mirror

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

// kindCopy is the copy of all objects of one kind.
type kindCopy struct {
	name string
	// hold is how long the store may hold a watch open, and batchPause the pause after a
	// watch that returned changes.
	hold, batchPause time.Duration
	entries          map[string]*entry
	// mark identifies the present state to other processes; appliedMark identifies the
	// state of another process that was applied last.
	mark, appliedMark uint64
	// revision is the store's revision that the entries reflect, whether read from the
	// store or received from another process. State of an earlier revision is ignored.
	revision uint64
	// listed is set once a full list of the kind was applied.
	listed bool
	// lastAnswer is when the store last answered a call for this kind, by the mirror's
	// clock.
	lastAnswer time.Time
	// missing are the entries that were present before an outage of the store and absent
	// after it. They are kept until missingUntil, by the mirror's clock.
	missing      map[string]bool
	missingUntil time.Time
	// removed are the names of the entries removed since the last finishUpdate.
	removed []string
}

// entry is the copy of one object.
type entry struct {
	object  platform.Object
	decoded bool
	// upstream is the decoded registration; nil if it is malformed or the object is of
	// another kind.
	upstream *version.Upstream
}

func newKind(name string, hold, pause time.Duration) *kindCopy {
	return &kindCopy{name: name, hold: hold, batchPause: pause, entries: make(map[string]*entry), missing: make(map[string]bool)}
}

// keepNone and keepAll are selections of the entries that replace keeps although a list
// lacks them.
func keepNone(string) bool { return false }
func keepAll(string) bool  { return true }

// replace applies a full list and reports whether anything changed. Entries that the list
// lacks are removed, except that those selected by keep are missing until the given time.
func (k *kindCopy) replace(snapshot platform.Snapshot, keep func(name string) bool, until time.Time) bool {
	present := make(map[string]bool, len(snapshot.Objects))
	changed := !k.listed
	k.listed = true
	k.revision = max(k.revision, snapshot.Revision)
	for _, object := range snapshot.Objects {
		present[object.Name] = true
		changed = k.put(object) || changed
	}
	for name := range k.entries {
		switch {
		case present[name], k.missing[name] && keep(name):
		case keep(name):
			k.missing[name] = true
			k.missingUntil = until
		default:
			k.remove(name)
			changed = true
		}
	}
	return changed
}

// change applies the changes returned by a watch and reports whether there was any.
func (k *kindCopy) change(changes platform.Snapshot) bool {
	changed := false
	k.revision = max(k.revision, changes.Revision)
	for _, object := range changes.Objects {
		k.revision = max(k.revision, object.Revision)
		if object.Deleted {
			_, present := k.entries[object.Name]
			k.remove(object.Name)
			changed = changed || present
			continue
		}
		changed = k.put(object) || changed
	}
	return changed
}

// dropMissing removes the missing entries once missingUntil has passed, and reports whether
// it removed any.
func (k *kindCopy) dropMissing(now time.Time) bool {
	if len(k.missing) == 0 || now.Before(k.missingUntil) {
		return false
	}
	for name := range k.missing {
		k.remove(name)
	}
	return true
}

// put stores an object unless the present entry has the same or a newer revision. It
// reports whether it stored it.
func (k *kindCopy) put(object platform.Object) bool {
	if object.Name == "" {
		return false
	}
	delete(k.missing, object.Name)
	current := k.entries[object.Name]
	if current != nil && object.Revision <= current.object.Revision {
		return false
	}
	k.entries[object.Name] = &entry{object: object}
	return true
}

// fillState fills in all objects of the kind for a state response.
func (k *kindCopy) fillState(state *wire.StateKind) {
	state.Changed = true
	state.Objects = make([]wire.StoredObject, 0, len(k.entries))
	for name, entry := range k.entries {
		if k.missing[name] {
			state.Missing = append(state.Missing, name)
			continue
		}
		state.Objects = append(state.Objects,
			wire.StoredObject{Name: name, Revision: entry.object.Revision, Spec: entry.object.Spec})
	}
}

func (k *kindCopy) remove(name string) {
	if _, present := k.entries[name]; present {
		k.removed = append(k.removed, name)
	}
	delete(k.entries, name)
	delete(k.missing, name)
}
