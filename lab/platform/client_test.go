package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/platform"
	"github.com/trefoilwell/trefoilwell/lab/platform"
)

func newClient(store *platform.Platform) *client.Client {
	return client.New(client.Options{URL: "http://platform", Transport: store.Transport()})
}

func TestReadsOutlastAShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		c := newClient(store)
		if _, err := c.Put(t.Context(), "a/b", []byte("x"), 0); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(platform.Faults{Down: true})
		time.AfterFunc(time.Millisecond, func() { store.SetFaults(platform.Faults{}) })
		if object, err := c.Get(t.Context(), "a/b"); err != nil || string(object.Value) != "x" {
			t.Errorf("got %q, %v", object.Value, err)
		}
		store.SetFaults(platform.Faults{Down: true})
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
		store := platform.New()
		store.SetFaults(platform.Faults{LoseAnswers: true})
		_, err := newClient(store).Put(t.Context(), "k", []byte("x"), 0)
		if !errors.Is(err, client.ErrUnavailable) || store.Counts().Put != 1 {
			t.Errorf("got %v after %d writes, want ErrUnavailable after one", err, store.Counts().Put)
		}
	})
}

func TestARateLimitIsWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		store.SetFaults(platform.Faults{WritesPerSecond: 1})
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
		store := platform.New()
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
		store := platform.New()
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
		store.SetFaults(platform.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		during := store.Counts().Watch
		store.SetFaults(platform.Faults{})
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
		store := platform.New()
		c := newClient(store)
		write := func(value string, expected client.ObjectVersion) (client.ObjectVersion, error) {
			mine := func(object client.Object) bool { return string(object.Value) == value }
			return client.Settle(t.Context(), c, client.Write{Key: "k", Value: []byte(value), Expected: expected, Mine: mine}, client.DefaultRetry)
		}
		store.SetFaults(platform.Faults{LoseAnswers: true})
		first, err := write("a", 0)
		if err != nil || first == 0 {
			t.Fatalf("version %d, %v", first, err)
		}
		if _, err := write("b", 0); !errors.Is(err, client.ErrConflict) {
			t.Errorf("a write over another's: %v, want ErrConflict", err)
		}
		store.SetFaults(platform.Faults{Down: true})
		if _, err := write("c", first); !errors.Is(err, client.ErrUnconfirmed) {
			t.Errorf("platform down: %v, want ErrUnconfirmed", err)
		}
		store.SetFaults(platform.Faults{})
		if object, err := c.Get(t.Context(), "k"); err != nil || string(object.Value) != "a" || object.Version != first {
			t.Errorf("the object holds %q, %v", object.Value, err)
		}
	})
}

func TestTheListOfVMsLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		store.SetFaults(platform.Faults{ListLag: time.Minute})
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
	store := platform.New()
	_, err := newClient(store).Put(t.Context(), "k", make([]byte, client.MaxValueBytes+1), 0)
	if !errors.Is(err, client.ErrRejected) || store.Calls() != 0 {
		t.Errorf("got %v after %d calls, want ErrRejected after none", err, store.Calls())
	}
}
