package mirror

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

// kind is the copy of one kind of objects.
type kind struct {
	name string
	// wait is how long a watch may be held, and gather the pause after one that
	// brought changes.
	wait, gather time.Duration
	entries      map[string]*entry
	// mark names the present state, and taken the state that another process told
	// last.
	mark, taken uint64
	// revision is the store's revision as of which the entries are known, whoever
	// told them. What is told as of an earlier one is not taken.
	revision uint64
	// listed is set once all objects of the kind were known.
	listed bool
	// heard is when the store last answered, by the mirror's clock.
	heard time.Time
	// missing are entries that were there before an outage and not after it.
	// They are kept until missingUntil, by the mirror's clock.
	missing      map[string]bool
	missingUntil time.Time
	// gone are the entries that were removed since the last settle.
	gone []string
}

// entry is one object.
type entry struct {
	object  platform.Object
	decoded bool
	// upstream is what a registration describes; nil if it is malformed.
	upstream *version.Upstream
}

func newKind(name string, wait, gather time.Duration) *kind {
	return &kind{name: name, wait: wait, gather: gather, entries: make(map[string]*entry), missing: make(map[string]bool)}
}

// keepNone and keepAll tell replace which entries to keep that a list lacks.
func keepNone(string) bool { return false }
func keepAll(string) bool  { return true }

// replace takes a whole list and reports whether anything changed. Of the entries
// that the list lacks, those that keep names are kept until then.
func (k *kind) replace(snapshot platform.Snapshot, keep func(name string) bool, until time.Time) bool {
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

// change takes the changes of a watch and reports whether there was any.
func (k *kind) change(changes platform.Snapshot) bool {
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

// dropMissing removes the entries that did not come back in time.
func (k *kind) dropMissing(now time.Time) bool {
	if len(k.missing) == 0 || now.Before(k.missingUntil) {
		return false
	}
	for name := range k.missing {
		k.remove(name)
	}
	return true
}

// put takes an object unless it is known or older than what is known.
func (k *kind) put(object platform.Object) bool {
	if object.Name == "" {
		return false
	}
	delete(k.missing, object.Name)
	known := k.entries[object.Name]
	if known != nil && object.Revision <= known.object.Revision {
		return false
	}
	k.entries[object.Name] = &entry{object: object}
	return true
}

// tell fills in all objects for another process.
func (k *kind) tell(state *wire.StateKind) {
	state.Changed = true
	state.Objects = make([]wire.Stored, 0, len(k.entries))
	for name, entry := range k.entries {
		if k.missing[name] {
			state.Missing = append(state.Missing, name)
			continue
		}
		state.Objects = append(state.Objects,
			wire.Stored{Name: name, Revision: entry.object.Revision, Spec: entry.object.Spec})
	}
}

func (k *kind) remove(name string) {
	if _, present := k.entries[name]; present {
		k.gone = append(k.gone, name)
	}
	delete(k.entries, name)
	delete(k.missing, name)
}
