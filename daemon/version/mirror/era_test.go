package mirror

import (
	"testing"

	"github.com/trefoilwell/trefoilwell/platform"
)

// ofEra returns an object as an answer of an era has it.
func ofEra(era uint64, object platform.Object) platform.Object {
	object.Era = era
	return object
}

// read lets the process read a configuration from the store.
func (f *fixture) read(t *testing.T, era, number, revision uint64) {
	t.Helper()
	f.store.config, f.store.err = ofEra(era, configObject(number, revision)), nil
	f.readConfig(t.Context())
}

// Guards against the fault of 4 December 2026: the store returned older, and a newer version got
// the revision that a lost one had had. The hub put it in force, and the VMs that it reads for were
// taken to have it already.
func TestVersionWithTheRevisionOfALostOneReachesTheOtherVMs(t *testing.T) {
	hub, leaf := newFixture(), newFixture()
	hub.listEmpty()
	hub.read(t, 1, 13, 171)
	leaf.askHub(t, hub)
	hub.read(t, 2, 10, 150)
	leaf.askHub(t, hub)
	if leaf.applied == nil || leaf.applied.Number != 13 {
		t.Fatalf("in force at the other VM while the store is behind: %+v, want version 13", leaf.applied)
	}
	hub.read(t, 2, 16, 171)
	leaf.askHub(t, hub)
	if hub.applied.Number != 16 || leaf.applied.Number != 16 {
		t.Errorf("in force: version %d at the hub, %d at the other VM, want 16", hub.applied.Number, leaf.applied.Number)
	}
}
