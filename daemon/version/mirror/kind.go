package mirror

import (
	"bytes"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
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
	// at is the store's position that the entries reflect, whether read from the store or
	// received from another process. State of an earlier position is ignored.
	at storeera.Position
	// listed is set once a full list of the kind was applied.
	listed bool
	// lastAnswer is when the store last answered a call for this kind, by the mirror's
	// clock.
	lastAnswer time.Time
	// missing are the entries that were present before an outage of the store and absent
	// after it. They are kept until missingUntil, by the mirror's clock.
	missing      map[string]bool
	missingUntil time.Time
	// settledAt is when the store has caught up after its last return from an older copy.
	settledAt time.Time
	// gone are the entries that were removed lately, and revived those of them that the
	// store has again after its return, until revivedAt.
	gone      map[string]goneEntry
	revived   map[string]platform.Object
	revivedAt time.Time
	// removed are the names of the entries removed since the last finishUpdate.
	removed []string
}

const (
	// goneRetention is how long a removed entry is remembered, and maxGone how many are, those
	// removed last. A store returns from a copy some seconds old.
	goneRetention = 2 * time.Minute
	maxGone       = 1024
	// reviveTime is how long after the store's return a removed entry that it has again
	// stays out, so that its writer, or the lapse of its registration, can remove it again.
	reviveTime = 5 * time.Second
)

// goneEntry is an entry that was removed.
type goneEntry struct {
	spec []byte
	at   time.Time
}

// entry is the copy of one object.
type entry struct {
	// object has revision 0 if it is of an older era than the copy: any object of the
	// present era is newer.
	object  platform.Object
	decoded bool
	// upstream is the decoded registration; nil if it is malformed or the object is of
	// another kind.
	upstream *version.Upstream
	// order is the decoded order for a rollout; nil if it is malformed or the object is of
	// another kind.
	order *rollout.Order
}

func newKind(name string, hold, pause time.Duration) *kindCopy {
	return &kindCopy{name: name, hold: hold, batchPause: pause, entries: make(map[string]*entry), missing: make(map[string]bool), gone: make(map[string]goneEntry), revived: make(map[string]platform.Object)}
}

// keepNone and keepAll are selections of the entries that replace keeps although a list
// lacks them.
func keepNone(string) bool { return false }
func keepAll(string) bool  { return true }

// enterEra prepares the copy for state of a newer era. What it has stays until the store, or the
// time, says otherwise.
func (k *kindCopy) enterEra(now time.Time, era uint64) {
	k.at = storeera.Position{Era: era}
	// What is written again comes with a watch, up to batchPause later.
	k.settledAt, k.revivedAt = now.Add(storeera.SettleTime+k.batchPause), now.Add(reviveTime)
	clear(k.revived)
	if len(k.missing) > 0 {
		// Their writers have had no time since this return.
		k.missingUntil = k.settledAt
	}
	for _, entry := range k.entries {
		entry.object.Revision = 0
	}
}

// replace applies a full list and reports whether anything changed. Entries that the list
// lacks are removed, except that those selected by keep are missing until the given time.
func (k *kindCopy) replace(now time.Time, snapshot platform.Snapshot, keep func(name string) bool, until time.Time) bool {
	present := make(map[string]bool, len(snapshot.Objects))
	changed := !k.listed
	k.listed = true
	k.at.Revision = max(k.at.Revision, snapshot.Revision)
	for _, object := range snapshot.Objects {
		present[object.Name] = true
		changed = k.put(now, object) || changed
	}
	for name := range k.revived {
		if !present[name] {
			delete(k.revived, name)
		}
	}
	for name := range k.entries {
		switch {
		case present[name], k.missing[name] && keep(name):
		case keep(name):
			k.missing[name] = true
			k.missingUntil = until
		default:
			k.remove(now, name)
			changed = true
		}
	}
	return changed
}

// change applies the changes returned by a watch and reports whether there was any.
func (k *kindCopy) change(now time.Time, changes platform.Snapshot) bool {
	changed := false
	k.at.Revision = max(k.at.Revision, changes.Revision)
	for _, object := range changes.Objects {
		k.at.Revision = max(k.at.Revision, object.Revision)
		if object.Deleted {
			_, present := k.entries[object.Name]
			k.remove(now, object.Name)
			changed = changed || present
			continue
		}
		changed = k.put(now, object) || changed
	}
	return changed
}

// expire removes the missing entries once missingUntil has passed, and restores the revived ones
// once revivedAt has. It reports whether anything changed.
func (k *kindCopy) expire(now time.Time) bool {
	changed := false
	if len(k.missing) > 0 && !now.Before(k.missingUntil) {
		for name := range k.missing {
			k.remove(now, name)
		}
		changed = true
	}
	if len(k.revived) > 0 && !now.Before(k.revivedAt) {
		for _, object := range k.revived {
			changed = k.put(now, object) || changed
		}
		clear(k.revived)
	}
	return changed
}

// due returns when expire has something to do; zero if it has nothing.
func (k *kindCopy) due() time.Time {
	due := time.Time{}
	if len(k.missing) > 0 {
		due = k.missingUntil
	}
	if len(k.revived) > 0 && (due.IsZero() || k.revivedAt.Before(due)) {
		due = k.revivedAt
	}
	return due
}

// put stores an object unless the present entry has the same or a newer revision. It
// reports whether it stored it.
func (k *kindCopy) put(now time.Time, object platform.Object) bool {
	if object.Name == "" {
		return false
	}
	if gone, was := k.gone[object.Name]; was && now.Before(k.revivedAt) && bytes.Equal(gone.spec, object.Spec) {
		k.revived[object.Name] = object
		return false
	}
	delete(k.missing, object.Name)
	delete(k.revived, object.Name)
	current := k.entries[object.Name]
	if current != nil && object.Revision <= current.object.Revision && !current.precedes(now, object) {
		return false
	}
	if current != nil && current.object.Revision == 0 && (k.sameContent(current.object, object) || current.follows(now, object)) {
		current.object.Revision = object.Revision
		return false
	}
	k.entries[object.Name] = &entry{object: object}
	return true
}

// sameContent reports whether two objects have the same content. Only the status of a rollout is part
// of it: nobody uses that of other kinds.
func (k *kindCopy) sameContent(a, b platform.Object) bool {
	if k.name == platform.KindRollout && (!bytes.Equal(a.Status, b.Status) || a.Created != b.Created) {
		return false
	}
	return bytes.Equal(a.Spec, b.Spec)
}

// precedes reports whether an object of the same revision is a later registration of the upstream:
// another process knows it from before the store's return.
func (e *entry) precedes(now time.Time, object platform.Object) bool {
	if e.upstream == nil || object.Revision != e.object.Revision || bytes.Equal(object.Spec, e.object.Spec) {
		return false
	}
	other, err := platform.DecodeUpstream(object.Name, object.Spec, now)
	return err == nil && isLater(other, e.upstream)
}

// follows reports whether an object of a newer era is an earlier registration of the upstream, from
// the copy that the store has returned to.
func (e *entry) follows(now time.Time, object platform.Object) bool {
	if e.upstream == nil {
		return false
	}
	restored, err := platform.DecodeUpstream(object.Name, object.Spec, now)
	return err == nil && isLater(e.upstream, restored)
}

// isLater reports whether a is a later incarnation of an upstream than b, or the same one that has
// begun to drain: a process that drains does not return to service.
func isLater(a, b *version.Upstream) bool {
	return a.StartedAt.After(b.StartedAt) || a.ID == b.ID && a.Draining && !b.Draining
}

// adoptMissing adds entries that are missing at another process, unless they are present here or
// were removed. It reports whether it added any.
func (k *kindCopy) adoptMissing(now time.Time, objects []platform.Object) bool {
	adopted := false
	for _, object := range objects {
		if _, removed := k.gone[object.Name]; removed || object.Name == "" || k.entries[object.Name] != nil {
			continue
		}
		k.entries[object.Name] = &entry{object: object}
		k.missing[object.Name], k.missingUntil = true, now.Add(storeera.SettleTime+k.batchPause)
		adopted = true
	}
	return adopted
}

// maxSharedSpecBytes limits the content of an object that is passed on to other processes. One that
// is larger cannot be used anyway, and would make the whole response too large to send.
const maxSharedSpecBytes = 64 << 10

// fillState fills in all objects of the kind for a state response.
func (k *kindCopy) fillState(state *wire.StateKind) {
	state.Changed = true
	state.Objects = make([]wire.StoredObject, 0, len(k.entries))
	for name, entry := range k.entries {
		if len(name) > maxSharedSpecBytes {
			continue
		}
		stored := wire.StoredObject{Name: name, Revision: entry.object.Revision, Spec: entry.object.Spec}
		if k.name == platform.KindRollout {
			stored.Created, stored.Status = entry.object.Created, entry.object.Status
		}
		if len(stored.Spec) > maxSharedSpecBytes {
			stored.Spec = nil
		}
		if len(stored.Status) > maxSharedSpecBytes {
			stored.Status = nil
		}
		if k.missing[name] {
			state.Missing = append(state.Missing, stored)
			continue
		}
		state.Objects = append(state.Objects, stored)
	}
}

func (k *kindCopy) remove(now time.Time, name string) {
	if entry, present := k.entries[name]; present {
		k.removed = append(k.removed, name)
		k.remember(now, name, entry.object.Spec)
	}
	delete(k.entries, name)
	delete(k.missing, name)
	delete(k.revived, name)
}

// remember keeps a removed entry among the gone ones, within goneRetention and maxGone.
func (k *kindCopy) remember(now time.Time, name string, spec []byte) {
	oldest, oldestAt := "", now
	for other, entry := range k.gone {
		if now.Sub(entry.at) > goneRetention {
			delete(k.gone, other)
		} else if !entry.at.After(oldestAt) {
			oldest, oldestAt = other, entry.at
		}
	}
	if len(k.gone) >= maxGone {
		delete(k.gone, oldest)
	}
	k.gone[name] = goneEntry{spec: spec, at: now}
}

// recordComplete records that the copy of a kind has all that the store had at a time. While the
// store lacks what was written before its return, or entries are kept that it lacks, that is not
// known.
func (m *Mirror) recordComplete(k *kindCopy, now, at time.Time) {
	if k == m.upstreams && len(k.missing) == 0 && m.eras.Settled(now) {
		m.options.UpstreamsRead(at)
	}
}
