package ledger

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

func TestARetryElsewhereGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := start(t, newStore(), "b", "a", "b", "c")
		key := newKey()
		first := newClaim(key)
		began := time.Now()
		verdict := all["a"].Claim(t.Context(), first)
		if verdict.Run == nil {
			t.Fatalf("got %+v, want a permit", verdict)
		}
		if took := time.Since(began); took != storeTime {
			t.Errorf("the claim took %s, want one call of the store", took)
		}
		if !verdict.Run.Deadline.Before(began.Add(core.PermitValidity + time.Millisecond)) {
			t.Errorf("the permit ends %s after the claim began", verdict.Run.Deadline.Sub(began))
		}
		retry := make(chan claim.Verdict)
		go func() { retry <- all["c"].Claim(t.Context(), newClaim(key)) }()
		time.Sleep(3 * time.Second)
		all["a"].Record(first, &claim.Answer{Status: 201, Body: []byte("booked")})
		if got := <-retry; got.Replay == nil || string(got.Replay.Body) != "booked" {
			t.Errorf("the retry got %+v, want the recorded answer", got)
		}
		other := newClaim(key)
		other.Request = claim.Digest{1}
		if got := all["c"].Claim(t.Context(), other); got.Refusal == nil || got.Refusal.Reason != request.ReasonKeyReuse {
			t.Errorf("another request got %+v", got)
		}
	})
}

func TestALostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		all := start(t, store, "a", "a")
		store.set(func(s *fakeStore) { s.loseAnswers = true })
		if got := all["a"].Claim(t.Context(), newClaim(newKey())); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		if store.puts != 1 {
			t.Errorf("%d writes, want 1 and a read", store.puts)
		}
	})
}

func TestACallerThatLeavesIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		all := start(t, store, "a", "a", "b")
		store.set(func(s *fakeStore) { s.down = true })
		key := newKey()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		got := all["a"].Claim(ctx, newClaim(key))
		if got.Refusal == nil || got.Refusal.Reason != request.ReasonLedgerUnavailable || got.Refusal.Execution != request.Unknown {
			t.Errorf("got %+v", got)
		}
		if took := time.Since(began); took != time.Second {
			t.Errorf("the refusal took %s", took)
		}
		store.set(func(s *fakeStore) { s.down = false })
		if got := all["b"].Claim(t.Context(), newClaim(key)); got.Run == nil {
			t.Errorf("after the outage got %+v, want a permit", got)
		}
	})
}

func TestAReleasedKeyMayRunLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := start(t, newStore(), "b", "a", "b")
		key := newKey()
		first := newClaim(key)
		if got := all["a"].Claim(t.Context(), first); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		all["a"].Release(first)
		if got := all["b"].Claim(t.Context(), newClaim(key)); got.Run == nil {
			t.Errorf("got %+v, want a permit", got)
		}
	})
}

func TestDrainRecordsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		key := newKey()
		first := newClaim(key)
		old := start(t, store, "a", "a")["a"]
		if got := old.Claim(t.Context(), first); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		old.Record(first, &claim.Answer{Status: 201})
		began := time.Now()
		old.Drain(t.Context())
		if took := time.Since(began); took >= core.FlushDelay {
			t.Errorf("the drain took %s", took)
		}
		if got := start(t, store, "a", "a")["a"].Claim(t.Context(), newClaim(key)); got.Replay == nil {
			t.Errorf("another process got %+v, want the recorded answer", got)
		}
	})
}

func TestAFullRingRefusesAtOnce(t *testing.T) {
	l := New(Options{VM: "a", Store: newStore(), Log: slog.New(slog.DiscardHandler)})
	for range ringEvents {
		l.events <- core.Flush{}
	}
	got := l.Claim(t.Context(), newClaim(newKey()))
	if got.Refusal == nil || got.Refusal.Execution != request.Unknown || got.Refusal.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal that says when to come back", got)
	}
	if l.waiters.Len() != 0 {
		t.Error("a refused claim is still waited for")
	}
}

func TestSweepRemovesOnlyWhatIsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		kept := name(time.Now().Add(-core.Retention + 10*time.Minute))
		put := []string{
			kept,
			name(time.Now().Add(-core.Retention - 2*core.BucketLength)),
			name(time.Now().Add(-core.Retention - 30*time.Hour)),
		}
		for _, name := range put {
			if _, err := store.Put(t.Context(), name, []byte("x"), 0); err != nil {
				t.Fatal(err)
			}
		}
		l := start(t, store, "a", "a")["a"]
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := l.Sweep(ctx); err == nil {
			t.Error("the sweep ended by itself")
		}
		if keys := store.keys(); len(keys) != 1 || keys[0] != kept {
			t.Errorf("left %v, want %s", keys, kept)
		}
	})
}

// name returns the name of an object that holds keys of a time.
func name(at time.Time) string {
	bucket := at.Truncate(core.BucketLength).Unix()
	return core.ObjectName(core.Place{Bucket: core.Bucket(bucket)}, 0)
}

func TestResults(t *testing.T) {
	for err, want := range map[error]core.Result{
		nil:                        core.Done,
		objectstore.ErrNotFound:    core.NotFound,
		objectstore.ErrConflict:    core.Conflict,
		objectstore.ErrRateLimited: core.Limited,
		objectstore.ErrRejected:    core.Limited,
		objectstore.ErrUnavailable: core.Unresolved,
		context.DeadlineExceeded:   core.Unresolved,
		core.ErrMalformed:          core.Unresolved,
	} {
		if got := resultOf(err); got != want {
			t.Errorf("%v: got %d, want %d", err, got, want)
		}
	}
}
