package metastore_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
)

func newClient(store *metastore.Store) *client.Client {
	return client.New(client.Options{URL: "http://platform", Transport: store.Transport()})
}

func TestReadsOutlastAShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		if _, err := c.Put(t.Context(), "a/b", []byte("x"), 0); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(metastore.Down)
		time.AfterFunc(time.Millisecond, func() { store.SetFaults(metastore.Faults{}) })
		if object, err := c.Get(t.Context(), "a/b"); err != nil || string(object.Value) != "x" {
			t.Errorf("got %q, %v", object.Value, err)
		}
		store.SetFaults(metastore.Down)
		before := store.Calls()
		if _, err := c.Get(t.Context(), "a/b"); !errors.Is(err, client.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		if calls := store.Calls() - before; calls != client.DefaultRetry.Attempts {
			t.Errorf("%d attempts, want %d", calls, client.DefaultRetry.Attempts)
		}
	})
}

func TestAWriteIsNotRepeatedBlindly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		store.SetFaults(metastore.Faults{LoseWrites: true})
		_, err := newClient(store).Put(t.Context(), "k", []byte("x"), 0)
		if !errors.Is(err, client.ErrUnavailable) || store.Counts().Put != 1 {
			t.Errorf("got %v after %d writes, want ErrUnavailable after one", err, store.Counts().Put)
		}
	})
}

func TestARateLimitIsWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		store.SetFaults(metastore.Faults{WritesPerSecond: 1})
		c := newClient(store)
		for range 3 {
			object, err := c.Get(t.Context(), "k")
			if err != nil && !errors.Is(err, client.ErrNotFound) {
				t.Fatal(err)
			}
			if _, err := c.Put(t.Context(), "k", []byte("x"), object.Version); err != nil {
				t.Fatal(err)
			}
		}
		if counts := store.Counts(); counts.Refused == 0 || counts.Put-counts.Refused != 3 {
			t.Errorf("got %+v, want three writes that took effect and some refused", counts)
		}
	})
}

func TestTheBudgetBoundsTheCallsOfAProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := client.New(client.Options{URL: "http://platform", Transport: store.Transport(), CallsPerSecond: 10, CallsBurst: 5})
		started := time.Now()
		for range 25 {
			if _, err := c.VMs(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if spent := time.Since(started); spent != 2*time.Second {
			t.Errorf("25 calls took %v of virtual time, want 2s", spent)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := c.VMs(ctx); !errors.Is(err, client.ErrRateLimited) {
			t.Errorf("got %v, want ErrRateLimited", err)
		}
	})
}

func TestAWatchSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		known, err := c.Put(t.Context(), "k", []byte("old"), 0)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan client.Object, 1)
		go func() {
			object, err := c.Watch(t.Context(), "k", known)
			if err != nil {
				t.Error(err)
			}
			got <- object
		}()
		time.Sleep(time.Second)
		store.SetFaults(metastore.Down)
		time.Sleep(10 * time.Minute)
		during := store.Counts().Watch
		store.SetFaults(metastore.Faults{})
		if _, err := c.Put(t.Context(), "k", []byte("new"), known); err != nil {
			t.Fatal(err)
		}
		if object := <-got; string(object.Value) != "new" {
			t.Errorf("got %q", object.Value)
		}
		// Ten minutes of pauses up to five seconds, half as long on average.
		if during > 400 {
			t.Errorf("%d watches during the outage", during)
		}
	})
}

func TestSettleResolvesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		write := func(value string, expected client.ObjectVersion) (client.ObjectVersion, error) {
			mine := func(object client.Object) bool { return string(object.Value) == value }
			return client.Settle(t.Context(), c, client.Write{Key: "k", Value: []byte(value), Expected: expected, Mine: mine}, client.DefaultRetry)
		}
		store.SetFaults(metastore.Faults{LoseWrites: true})
		first, err := write("a", 0)
		if err != nil || first == 0 {
			t.Fatalf("version %d, %v", first, err)
		}
		if _, err := write("b", 0); !errors.Is(err, client.ErrConflict) {
			t.Errorf("a write over another's: %v, want ErrConflict", err)
		}
		store.SetFaults(metastore.Down)
		if _, err := write("c", first); !errors.Is(err, client.ErrUnconfirmed) {
			t.Errorf("platform down: %v, want ErrUnconfirmed", err)
		}
		store.SetFaults(metastore.Faults{})
		if object, err := c.Get(t.Context(), "k"); err != nil || string(object.Value) != "a" || object.Version != first {
			t.Errorf("the object holds %q, %v", object.Value, err)
		}
	})
}

func TestTheListOfVMsLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		store.SetFaults(metastore.Faults{ListLag: time.Minute})
		store.SetVMs([]client.VM{{ID: "vm-1"}})
		c := newClient(store)
		if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 0 {
			t.Errorf("got %v, %v, want none yet", vms, err)
		}
		time.Sleep(time.Minute)
		if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 1 {
			t.Errorf("got %v, %v, want one", vms, err)
		}
	})
}

func TestAValueOverTheLimitIsNotSent(t *testing.T) {
	store := metastore.New()
	_, err := newClient(store).Put(t.Context(), "k", make([]byte, client.MaxValueBytes+1), 0)
	if !errors.Is(err, client.ErrRejected) || store.Calls() != 0 {
		t.Errorf("got %v after %d calls, want ErrRejected after none", err, store.Calls())
	}
}

// The store keeps the revision of an object that is written again unchanged. A
// removal of a part as unused must fail once the part was written again.
func TestAValueWrittenAgainHasAnotherVersion(t *testing.T) {
	c := newClient(metastore.New())
	first, err := c.Put(t.Context(), "config/part/a", []byte("x"), 0)
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.Put(t.Context(), "config/part/a", []byte("x"), first)
	if err != nil || second == first {
		t.Fatalf("version %d after %d, %v", second, first, err)
	}
	if err := c.Delete(t.Context(), "config/part/a", first); !errors.Is(err, client.ErrConflict) {
		t.Errorf("removed at an old version: %v", err)
	}
	if err := c.Delete(t.Context(), "config/part/a", second); err != nil {
		t.Errorf("removal: %v", err)
	}
	if _, err := c.Put(t.Context(), "config/part/a", []byte("x"), second); !errors.Is(err, client.ErrConflict) {
		t.Errorf("written over an object that is gone: %v", err)
	}
}

func TestAListHasTheKeysOfItsPrefixFromAllPages(t *testing.T) {
	c := newClient(metastore.New())
	var want []string
	for i := range 13 {
		key := fmt.Sprintf("ledger/03/77/%02d-1", i)
		want = append(want, key)
		if _, err := c.Put(t.Context(), key, []byte{0xff, byte(i)}, 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, other := range []string{"ledger/03/78/00-1", "ledger/03/head", "ledger/13/77/00-1"} {
		if _, err := c.Put(t.Context(), other, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	if keys, err := c.List(t.Context(), "ledger/03/77/"); err != nil || !slices.Equal(keys, want) {
		t.Errorf("got %v, %v", keys, err)
	}
	if object, err := c.Get(t.Context(), want[9]); err != nil || !slices.Equal(object.Value, []byte{0xff, 9}) {
		t.Errorf("got %+v, %v", object, err)
	}
}

func TestAWatchOutlivesAForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		known, err := c.Put(t.Context(), "config/head", []byte("old"), 0)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan client.Object, 1)
		go func() {
			object, err := c.Watch(t.Context(), "config/head", known)
			if err != nil {
				t.Error(err)
			}
			got <- object
		}()
		time.Sleep(time.Second)
		store.SetFaults(metastore.Faults{Deaf: true})
		if _, err := c.Put(t.Context(), "config/head", []byte("new"), known); err != nil {
			t.Fatal(err)
		}
		store.Forget()
		store.SetFaults(metastore.Faults{})
		if object := <-got; string(object.Value) != "new" || object.Version == known {
			t.Errorf("got %+v", object)
		}
	})
}
