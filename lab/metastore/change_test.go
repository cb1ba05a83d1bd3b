package metastore_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/daemon/version/objects"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

// addDocument sets a small valid configuration.
func addDocument(state *change.State) error {
	state.Document = &version.Document{Presets: []version.PresetSpec{{Name: "ordinary"}, {Name: "peak"}, {Name: "calm"}}}
	state.Head.Preset = "ordinary"
	return nil
}

// selectPreset returns an edit that activates a preset.
func selectPreset(preset string) func(*change.State) error {
	return func(state *change.State) error {
		state.Head.Preset = preset
		return nil
	}
}

func newChanger(store *metastore.Store) *change.Changer {
	return change.New(change.Options{Store: newClient(store)})
}

// Two operators change the same version of the configuration at once, while the
// store loses answers. Exactly one change may be applied, and the result that each
// operator gets must say whether their own change was applied.
func TestExactlyOneOfConcurrentChangesIsApplied(t *testing.T) {
	for round := range 30 {
		synctest.Test(t, func(t *testing.T) {
			store := metastore.New()
			if _, err := newChanger(store).Change(t.Context(), addDocument); err != nil {
				t.Fatal(err)
			}
			store.SetFaults(metastore.Faults{LoseWriteAnswersFraction: float64(round%10) / 10, Jitter: 50 * time.Millisecond})
			var read, done sync.WaitGroup
			read.Add(2)
			presets := []string{"peak", "calm"}
			heads, results := make([]version.Head, 2), make([]error, 2)
			for i := range presets {
				done.Go(func() {
					heads[i], results[i] = newChanger(store).Change(t.Context(), func(state *change.State) error {
						read.Done()
						read.Wait()
						return selectPreset(presets[i])(state)
					})
				})
			}
			done.Wait()
			store.SetFaults(metastore.Faults{})
			state, err := newChanger(store).Read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for i := range presets {
				applied := state.Head.Operation == heads[i].Operation
				switch {
				case applied && results[i] != nil, !applied && !errors.Is(results[i], change.ErrConflict):
					t.Errorf("round %d: change of operator %d applied: %v, but Change returned %v", round, i, applied, results[i])
				case applied && state.Head.Preset != presets[i]:
					t.Errorf("round %d: preset %q is active, want %q", round, state.Head.Preset, presets[i])
				}
			}
			if (results[0] == nil) == (results[1] == nil) || state.Head.Number != 2 {
				t.Errorf("round %d: results %v, version %d", round, results, state.Head.Number)
			}
		})
	}
}

// A change whose answer was lost must be recognised as applied even if another
// change has been made on top of it before the result is read back.
func TestLostChangeIsFoundAfterLaterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), addDocument); err != nil {
			t.Fatal(err)
		}
		// The platform executes the write and loses its answer. Another operator
		// changes the configuration before the first one reads it back.
		store.SetFaults(metastore.Faults{LoseWriteAnswers: true})
		slow := change.New(change.Options{
			Store: hookAfterLostHead{newClient(store), func() {
				store.SetFaults(metastore.Faults{})
				if _, err := changer.Change(t.Context(), selectPreset("calm")); err != nil {
					t.Error(err)
				}
			}},
		})
		if _, err := slow.Change(t.Context(), selectPreset("peak")); err != nil {
			t.Errorf("got error %v for a change that was applied", err)
		}
		state, err := changer.Read(t.Context())
		if err != nil || state.Head.Number != 3 || state.Head.Preset != "calm" {
			t.Errorf("got %+v, %v, want version 3 with preset calm", state.Head, err)
		}
	})
}

// hookAfterLostHead is a store that calls afterLostWrite between a lost write of
// the head and the read that resolves it.
type hookAfterLostHead struct {
	*client.Client
	afterLostWrite func()
}

func (h hookAfterLostHead) Put(ctx context.Context, key string, value []byte, expected client.ObjectVersion) (client.ObjectVersion, error) {
	written, err := h.Client.Put(ctx, key, value, expected)
	if err != nil && key == objects.HeadKey {
		h.afterLostWrite()
	}
	return written, err
}

func TestInvalidChangeIsRejected(t *testing.T) {
	store := metastore.New()
	changer := newChanger(store)
	if _, err := changer.Change(t.Context(), selectPreset("peak")); !errors.Is(err, change.ErrInvalid) {
		t.Errorf("preset without a document: %v, want ErrInvalid", err)
	}
	if _, err := changer.Read(t.Context()); !errors.Is(err, change.ErrNoConfiguration) {
		t.Errorf("got %v, want ErrNoConfiguration", err)
	}
	if _, err := changer.Change(t.Context(), addDocument); err != nil {
		t.Fatal(err)
	}
	if _, err := changer.Change(t.Context(), selectPreset("absent")); !errors.Is(err, change.ErrInvalid) {
		t.Errorf("unknown preset: %v, want ErrInvalid", err)
	}
}

// While the platform is down, a change must be reported as unconfirmed if it may
// have been written, and as unavailable if nothing can have been written.
func TestChangeDuringAnOutageIsNotReportedAsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), addDocument); err != nil {
			t.Fatal(err)
		}
		_, err := changer.Change(t.Context(), func(state *change.State) error {
			store.SetFaults(metastore.Down)
			return selectPreset("peak")(state)
		})
		if !errors.Is(err, change.ErrUnconfirmed) {
			t.Errorf("platform down before the write: %v, want ErrUnconfirmed", err)
		}
		if _, err := changer.Change(t.Context(), selectPreset("peak")); !errors.Is(err, change.ErrUnavailable) {
			t.Errorf("platform down before the read: %v, want ErrUnavailable", err)
		}
	})
}

// Sweep removes a part of the configuration only after it has been unused for an
// hour, and never a part that a change uses again.
func TestSweepRemovesOnlyPartsUnusedForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		setScale := func(scale float64) func(*change.State) error {
			return func(state *change.State) error {
				state.Document.Presets[0].LimitScale = scale
				return nil
			}
		}
		for _, edit := range []func(*change.State) error{addDocument, setScale(2), setScale(3)} {
			if _, err := changer.Change(t.Context(), edit); err != nil {
				t.Fatal(err)
			}
		}
		sweep := func(want int) {
			t.Helper()
			if removed, err := changer.Sweep(t.Context()); err != nil || removed != want {
				t.Errorf("removed %d parts, %v, want %d", removed, err, want)
			}
		}
		sweep(0)
		time.Sleep(59 * time.Minute)
		sweep(0)
		// A change uses a part again that is old enough to be removed.
		time.Sleep(2 * time.Minute)
		_, err := newChanger(store).Change(t.Context(), func(state *change.State) error { return setScale(2)(state) })
		if err != nil {
			t.Fatal(err)
		}
		sweep(1)
		sweep(0)
		state, err := changer.Read(t.Context())
		if err != nil || state.Document.Presets[0].LimitScale != 2 {
			t.Errorf("after the sweep: %v", err)
		}
	})
}

// A sweep that runs between a change's write of a part and its write of the head
// must not remove the part, although the current head does not name it.
func TestSweepKeepsAPartJustWrittenByAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), addDocument); err != nil {
			t.Fatal(err)
		}
		old, err := changer.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Change(t.Context(), func(state *change.State) error {
			state.Document.Presets[0].LimitScale = 2
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Sweep(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Hour)
		// Another operator returns to the old document. The sweep runs after that
		// change has written its part and before it writes the head.
		sweptDuringChange := change.New(change.Options{Store: hookBeforeHead{newClient(store), func() {
			if removed, err := changer.Sweep(t.Context()); err != nil || removed != 0 {
				t.Errorf("removed %d parts, %v, want none", removed, err)
			}
		}}})
		if _, err := sweptDuringChange.Change(t.Context(), func(state *change.State) error {
			state.Document = old.Document
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Read(t.Context()); err != nil {
			t.Errorf("the head names a part that was removed: %v", err)
		}
	})
}

// hookBeforeHead is a store that calls beforeWrite before each write of the head.
type hookBeforeHead struct {
	*client.Client
	beforeWrite func()
}

func (h hookBeforeHead) Put(ctx context.Context, key string, value []byte, expected client.ObjectVersion) (client.ObjectVersion, error) {
	if key == objects.HeadKey {
		h.beforeWrite()
	}
	return h.Client.Put(ctx, key, value, expected)
}
