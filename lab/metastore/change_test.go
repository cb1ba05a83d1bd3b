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

// describe fills a state with a small valid configuration.
func describe(state *change.State) error {
	state.Document = &version.Document{Presets: []version.PresetSpec{{Name: "ordinary"}, {Name: "peak"}, {Name: "calm"}}}
	state.Head.Preset = "ordinary"
	return nil
}

func use(preset string) func(*change.State) error {
	return func(state *change.State) error {
		state.Head.Preset = preset
		return nil
	}
}

func newChanger(store *metastore.Store) *change.Changer {
	return change.New(change.Options{Store: newClient(store)})
}

func TestOfRacingOperatorsExactlyOneWins(t *testing.T) {
	for round := range 30 {
		synctest.Test(t, func(t *testing.T) {
			store := metastore.New()
			if _, err := newChanger(store).Change(t.Context(), describe); err != nil {
				t.Fatal(err)
			}
			store.SetFaults(metastore.Faults{LoseShare: float64(round%10) / 10, Jitter: 50 * time.Millisecond})
			var read, done sync.WaitGroup
			read.Add(2)
			presets := []string{"peak", "calm"}
			heads, results := make([]version.Head, 2), make([]error, 2)
			for i := range presets {
				done.Go(func() {
					heads[i], results[i] = newChanger(store).Change(t.Context(), func(state *change.State) error {
						read.Done()
						read.Wait()
						return use(presets[i])(state)
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
				won := state.Head.Operation == heads[i].Operation
				switch {
				case won && results[i] != nil, !won && !errors.Is(results[i], change.ErrConflict):
					t.Errorf("round %d: operator %d won: %v, was told %v", round, i, won, results[i])
				case won && state.Head.Preset != presets[i]:
					t.Errorf("round %d: preset %q in force, want %q", round, state.Head.Preset, presets[i])
				}
			}
			if (results[0] == nil) == (results[1] == nil) || state.Head.Number != 2 {
				t.Errorf("round %d: results %v, version %d", round, results, state.Head.Number)
			}
		})
	}
}

func TestALostChangeIsFoundAfterOthersFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), describe); err != nil {
			t.Fatal(err)
		}
		// The platform takes the write, loses the answer and goes away; another
		// operator is first to change the configuration once it is back.
		store.SetFaults(metastore.Faults{LoseWrites: true})
		slow := change.New(change.Options{
			Store: followed{newClient(store), func() {
				store.SetFaults(metastore.Faults{})
				if _, err := changer.Change(t.Context(), use("calm")); err != nil {
					t.Error(err)
				}
			}},
		})
		if _, err := slow.Change(t.Context(), use("peak")); err != nil {
			t.Errorf("got %v, though the change was made", err)
		}
		state, err := changer.Read(t.Context())
		if err != nil || state.Head.Number != 3 || state.Head.Preset != "calm" {
			t.Errorf("got %+v, %v, want version 3 with preset calm", state.Head, err)
		}
	})
}

// followed is a store in which something happens between a lost write of the
// head and the read that resolves it.
type followed struct {
	*client.Client
	between func()
}

func (f followed) Put(ctx context.Context, key string, value []byte, expected client.ObjectVersion) (client.ObjectVersion, error) {
	written, err := f.Client.Put(ctx, key, value, expected)
	if err != nil && key == objects.HeadKey {
		f.between()
	}
	return written, err
}

func TestAnInvalidChangeIsNotMade(t *testing.T) {
	store := metastore.New()
	changer := newChanger(store)
	if _, err := changer.Change(t.Context(), use("peak")); !errors.Is(err, change.ErrInvalid) {
		t.Errorf("a preset without a document: %v", err)
	}
	if _, err := changer.Read(t.Context()); !errors.Is(err, change.ErrNone) {
		t.Errorf("got %v, want ErrNone", err)
	}
	if _, err := changer.Change(t.Context(), describe); err != nil {
		t.Fatal(err)
	}
	if _, err := changer.Change(t.Context(), use("absent")); !errors.Is(err, change.ErrInvalid) {
		t.Errorf("an absent preset: %v", err)
	}
}

func TestWithThePlatformDownNothingIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), describe); err != nil {
			t.Fatal(err)
		}
		_, err := changer.Change(t.Context(), func(state *change.State) error {
			store.SetFaults(metastore.Down)
			return use("peak")(state)
		})
		if !errors.Is(err, change.ErrUnconfirmed) {
			t.Errorf("down before the write: %v, want ErrUnconfirmed", err)
		}
		if _, err := changer.Change(t.Context(), use("peak")); !errors.Is(err, change.ErrUnavailable) {
			t.Errorf("down from the start: %v, want ErrUnavailable", err)
		}
	})
}

func TestUnusedPartsAreRemovedOnlyWithAgeAndNeverUnderAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		scale := func(scale float64) func(*change.State) error {
			return func(state *change.State) error {
				state.Document.Presets[0].LimitScale = scale
				return nil
			}
		}
		for _, edit := range []func(*change.State) error{describe, scale(2), scale(3)} {
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
		// A change takes a part back into use while a sweep would remove it.
		time.Sleep(2 * time.Minute)
		_, err := newChanger(store).Change(t.Context(), func(state *change.State) error { return scale(2)(state) })
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

func TestASweepSparesAPartThatAChangeHasJustWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		changer := newChanger(store)
		if _, err := changer.Change(t.Context(), describe); err != nil {
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
		// Another operator goes back to the old presets; the sweep comes after
		// its part was written and before its head is.
		between := change.New(change.Options{Store: beforeHead{newClient(store), func() {
			if removed, err := changer.Sweep(t.Context()); err != nil || removed != 0 {
				t.Errorf("removed %d parts, %v", removed, err)
			}
		}}})
		if _, err := between.Change(t.Context(), func(state *change.State) error {
			state.Document = old.Document
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Read(t.Context()); err != nil {
			t.Errorf("the head names a part that is gone: %v", err)
		}
	})
}

// beforeHead is a store in which something happens before the head is written.
type beforeHead struct {
	*client.Client
	before func()
}

func (b beforeHead) Put(ctx context.Context, key string, value []byte, expected client.ObjectVersion) (client.ObjectVersion, error) {
	if key == objects.HeadKey {
		b.before()
	}
	return b.Client.Put(ctx, key, value, expected)
}
