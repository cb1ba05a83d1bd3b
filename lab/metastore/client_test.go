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

// A read is retried through an outage shorter than its retries, and fails with
// ErrUnavailable after the configured number of attempts in a longer one.
func TestReadIsRetriedDuringAnOutage(t *testing.T) {
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

// A write whose answer was lost may have taken effect, so the client must report
// it and not send it again.
func TestWriteWithLostAnswerIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		store.SetFaults(metastore.Faults{LoseWriteAnswers: true})
		_, err := newClient(store).Put(t.Context(), "k", []byte("x"), 0)
		if !errors.Is(err, client.ErrUnavailable) || store.Counts().Put != 1 {
			t.Errorf("got %v after %d writes, want ErrUnavailable after one", err, store.Counts().Put)
		}
	})
}

// A write refused by the store's rate limit had no effect, so the client retries
// it until it succeeds.
func TestRateLimitedWriteIsRetried(t *testing.T) {
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

// The client's own call budget (10 calls a second, burst 5) delays calls over it,
// and fails a call whose deadline comes before its turn.
func TestCallBudgetLimitsCallRate(t *testing.T) {
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

// A watch resumes after a long outage of the store, and does not flood the store
// with calls during the outage.
func TestWatchSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		oldVersion, err := c.Put(t.Context(), "k", []byte("old"), 0)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan client.Object, 1)
		go func() {
			object, err := c.Watch(t.Context(), "k", oldVersion)
			if err != nil {
				t.Error(err)
			}
			got <- object
		}()
		time.Sleep(time.Second)
		store.SetFaults(metastore.Down)
		time.Sleep(10 * time.Minute)
		watchesInOutage := store.Counts().Watch
		store.SetFaults(metastore.Faults{})
		if _, err := c.Put(t.Context(), "k", []byte("new"), oldVersion); err != nil {
			t.Fatal(err)
		}
		if object := <-got; string(object.Value) != "new" {
			t.Errorf("got %q", object.Value)
		}
		// The pauses between watches last up to 5 s and half of that on average,
		// so about 240 watches are expected in 10 minutes.
		if watchesInOutage > 400 {
			t.Errorf("%d watches during an outage of 10 minutes, want at most 400", watchesInOutage)
		}
	})
}

// PutConfirmed reads the object back to find out whether a write with a lost answer
// took effect. A write over another writer's object must not count as its own.
func TestPutConfirmedResolvesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		write := func(value string, expected client.ObjectVersion) (client.ObjectVersion, error) {
			matches := func(object client.Object) bool { return string(object.Value) == value }
			return client.PutConfirmed(t.Context(), c, client.Write{Key: "k", Value: []byte(value), Expected: expected, Matches: matches}, client.DefaultRetry)
		}
		store.SetFaults(metastore.Faults{LoseWriteAnswers: true})
		first, err := write("a", 0)
		if err != nil || first == 0 {
			t.Fatalf("version %d, %v", first, err)
		}
		if _, err := write("b", 0); !errors.Is(err, client.ErrConflict) {
			t.Errorf("write over an object of another writer: %v, want ErrConflict", err)
		}
		store.SetFaults(metastore.Down)
		if _, err := write("c", first); !errors.Is(err, client.ErrUnconfirmed) {
			t.Errorf("write while the platform is down: %v, want ErrUnconfirmed", err)
		}
		store.SetFaults(metastore.Faults{})
		if object, err := c.Get(t.Context(), "k"); err != nil || string(object.Value) != "a" || object.Version != first {
			t.Errorf("object has value %q, %v", object.Value, err)
		}
	})
}

func TestVMListBecomesVisibleAfterItsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		store.SetFaults(metastore.Faults{VMListLag: time.Minute})
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

func TestValueOverTheSizeLimitIsNotSent(t *testing.T) {
	store := metastore.New()
	_, err := newClient(store).Put(t.Context(), "k", make([]byte, client.MaxValueBytes+1), 0)
	if !errors.Is(err, client.ErrRejected) || store.Calls() != 0 {
		t.Errorf("got %v after %d calls, want ErrRejected after none", err, store.Calls())
	}
}

// The platform's store keeps the revision of an object that is written again
// unchanged. The client must still return a new version: the removal of an unused
// configuration part must fail once another change has written the part again.
func TestRewrittenValueHasANewVersion(t *testing.T) {
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
		t.Errorf("removal at an old version: %v, want ErrConflict", err)
	}
	if err := c.Delete(t.Context(), "config/part/a", second); err != nil {
		t.Errorf("removal: %v", err)
	}
	if _, err := c.Put(t.Context(), "config/part/a", []byte("x"), second); !errors.Is(err, client.ErrConflict) {
		t.Errorf("write over a deleted object: %v, want ErrConflict", err)
	}
}

// A list with a prefix holds the keys from all pages of the store's answer, and no
// key of another prefix.
func TestListReturnsAllPagesOfAPrefix(t *testing.T) {
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

// A watch must notice a change even if the store delivered no event for it and has
// dropped the event from its history since.
func TestWatchSurvivesADroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		c := newClient(store)
		oldVersion, err := c.Put(t.Context(), "config/head", []byte("old"), 0)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan client.Object, 1)
		go func() {
			object, err := c.Watch(t.Context(), "config/head", oldVersion)
			if err != nil {
				t.Error(err)
			}
			got <- object
		}()
		time.Sleep(time.Second)
		store.SetFaults(metastore.Faults{WithholdEvents: true})
		if _, err := c.Put(t.Context(), "config/head", []byte("new"), oldVersion); err != nil {
			t.Fatal(err)
		}
		store.DropHistory()
		store.SetFaults(metastore.Faults{})
		if object := <-got; string(object.Value) != "new" || object.Version == oldVersion {
			t.Errorf("got %+v", object)
		}
	})
}

// Guards against a conditional write that replaces another object than the one that was read: the
// store has returned from an older copy and given the revision out again.
func TestWriteOnARevisionThatWasGivenOutAgainConflicts(t *testing.T) {
	store := metastore.New()
	mine := newClient(store)
	const key = "config/x"
	first, err := mine.Put(t.Context(), key, []byte("first"), 0)
	if err != nil {
		t.Fatal(err)
	}
	older := store.Copy()
	lost, err := mine.Put(t.Context(), key, []byte("lost"), first)
	if err != nil {
		t.Fatal(err)
	}
	store.Restore(older)
	other := newClient(store)
	found, err := other.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Put(t.Context(), key, []byte("another"), found.Version); err != nil {
		t.Fatal(err)
	}
	if _, err := mine.Get(t.Context(), key); err != nil {
		t.Fatal(err)
	}
	if _, err := mine.Put(t.Context(), key, []byte("mine"), lost); !errors.Is(err, client.ErrConflict) {
		t.Errorf("error %v of a write that is conditional on a lost revision, want ErrConflict", err)
	}
	if err := mine.Delete(t.Context(), key, lost); !errors.Is(err, client.ErrConflict) {
		t.Errorf("error %v of a removal that is conditional on a lost revision, want ErrConflict", err)
	}
	if now, err := mine.Get(t.Context(), key); err != nil || string(now.Value) != "another" {
		t.Errorf("stored %q (error %v), want the other writer's value", now.Value, err)
	}
}

// Guards against a watch that stays silent after the store's return, although other calls of the
// process show it.
func TestSilentWatchEndsWithTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		defer store.Close()
		c := newClient(store)
		const key = "config/head"
		first, err := c.Put(t.Context(), key, []byte("first"), 0)
		if err != nil {
			t.Fatal(err)
		}
		older := store.Copy()
		second, err := c.Put(t.Context(), key, []byte("second"), first)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan client.Object, 1)
		go func() {
			object, err := c.Watch(t.Context(), key, second)
			if err != nil {
				t.Error(err)
			}
			got <- object
		}()
		time.Sleep(time.Second)
		store.SetFaults(metastore.Faults{Silent: true})
		store.Restore(older)
		time.Sleep(time.Second)
		store.SetFaults(metastore.Faults{})
		returned := time.Now()
		if _, err := c.Get(t.Context(), "config/other"); !errors.Is(err, client.ErrNotFound) {
			t.Fatal(err)
		}
		object := <-got
		if took := time.Since(returned); took > 2*time.Second || string(object.Value) != "first" {
			t.Errorf("got %q %v after the era was known, want the older value within 2 s", object.Value, took)
		}
	})
}
