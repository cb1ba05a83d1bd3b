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

// TestRetryThroughAnotherDaemonIsReplayed guards against a retry that executes a
// request again: a retry that reaches another daemon while the first attempt runs
// must wait and get the recorded answer, and the same key with another request
// must be refused.
func TestRetryThroughAnotherDaemonIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := startLedgers(t, newFakeStore(), "b", "a", "b", "c")
		key := newKey()
		first := newClaim(key)
		startedAt := time.Now()
		verdict := links["a"].Claim(t.Context(), first)
		if verdict.Run == nil {
			t.Fatalf("got %+v, want a permit", verdict)
		}
		if elapsed := time.Since(startedAt); elapsed != storeLatency {
			t.Errorf("the claim took %s, want the duration of one store call", elapsed)
		}
		if !verdict.Run.Deadline.Before(startedAt.Add(core.PermitValidity + time.Millisecond)) {
			t.Errorf("the permit expires %s after the claim was submitted", verdict.Run.Deadline.Sub(startedAt))
		}
		retry := make(chan claim.Verdict)
		go func() { retry <- links["c"].Claim(t.Context(), newClaim(key)) }()
		time.Sleep(3 * time.Second)
		links["a"].Record(first, &claim.Answer{Status: 201, Body: []byte("booked")})
		if got := <-retry; got.Replay == nil || string(got.Replay.Body) != "booked" {
			t.Errorf("the retry got %+v, want the recorded answer", got)
		}
		otherRequest := newClaim(key)
		otherRequest.Request = claim.Digest{1}
		if got := links["c"].Claim(t.Context(), otherRequest); got.Refusal == nil || got.Refusal.Reason != request.ReasonKeyReuse {
			t.Errorf("another request with the same key got %+v, want a refusal for key reuse", got)
		}
	})
}

// TestKeyIsNotRunAgainAfterAReturnOfTheStore guards against a request that is executed again because
// the store returned from an older copy and lost its claim: a retry that reaches another daemon right
// then must wait and get the recorded answer. No call of the store is in progress at that moment.
func TestKeyIsNotRunAgainAfterAReturnOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		links := startLedgers(t, store, "", "a", "b")
		key := newKey()
		first := newClaim(key)
		if verdict := links["a"].Claim(t.Context(), first); verdict.Run == nil {
			t.Fatalf("got %+v, want a permit", verdict)
		}
		links["a"].Record(first, &claim.Answer{Status: 201, Body: []byte("booked")})
		time.Sleep(2 * core.FlushDelay)
		store.configure(func(s *fakeStore) { clear(s.objects) })
		links["b"].StoreReturned(2)
		retry := make(chan claim.Verdict)
		go func() { retry <- links["b"].Claim(t.Context(), newClaim(key)) }()
		time.Sleep(time.Second)
		links["a"].StoreReturned(2)
		if got := <-retry; got.Replay == nil || string(got.Replay.Body) != "booked" {
			t.Errorf("the retry got %+v, want the recorded answer", got)
		}
	})
}

// TestLostWriteAnswerIsReadBack guards against a claim that is refused, or written
// twice, because the store's answer to a successful write was lost.
func TestLostWriteAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		links := startLedgers(t, store, "a", "a")
		store.configure(func(s *fakeStore) { s.loseAnswers = true })
		if got := links["a"].Claim(t.Context(), newClaim(newKey())); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		if store.putCount != 1 {
			t.Errorf("got %d writes, want 1 followed by a read", store.putCount)
		}
	})
}

// TestClaimReturnsWhenContextEnds guards against a claim that outlasts its caller
// while the store is down, and against a key that stays blocked afterwards.
func TestClaimReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		links := startLedgers(t, store, "a", "a", "b")
		store.configure(func(s *fakeStore) { s.unavailable = true })
		key := newKey()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		got := links["a"].Claim(ctx, newClaim(key))
		if got.Refusal == nil || got.Refusal.Reason != request.ReasonLedgerUnavailable || got.Refusal.Execution != request.ExecutionUnknown {
			t.Errorf("got %+v, want a refusal with execution unknown", got)
		}
		if elapsed := time.Since(startedAt); elapsed != time.Second {
			t.Errorf("the refusal took %s, want the time to the deadline of the context", elapsed)
		}
		store.configure(func(s *fakeStore) { s.unavailable = false })
		if got := links["b"].Claim(t.Context(), newClaim(key)); got.Run == nil {
			t.Errorf("after the outage got %+v, want a permit", got)
		}
	})
}

// TestReleasedKeyCanBeClaimedAgain guards against a key that stays held by an
// attempt that was never sent.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := startLedgers(t, newFakeStore(), "b", "a", "b")
		key := newKey()
		first := newClaim(key)
		if got := links["a"].Claim(t.Context(), first); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		links["a"].Release(first)
		if got := links["b"].Claim(t.Context(), newClaim(key)); got.Run == nil {
			t.Errorf("got %+v, want a permit", got)
		}
	})
}

// TestDrainRecordsOutcomes guards against outcomes lost at shutdown: Drain must
// record them without waiting for FlushDelay, so that another process replays them.
func TestDrainRecordsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		key := newKey()
		first := newClaim(key)
		drained := startLedgers(t, store, "a", "a")["a"]
		if got := drained.Claim(t.Context(), first); got.Run == nil {
			t.Fatalf("got %+v, want a permit", got)
		}
		drained.Record(first, &claim.Answer{Status: 201})
		startedAt := time.Now()
		drained.Drain(t.Context())
		if elapsed := time.Since(startedAt); elapsed >= core.FlushDelay {
			t.Errorf("the drain took %s, want less than FlushDelay", elapsed)
		}
		if got := startLedgers(t, store, "a", "a")["a"].Claim(t.Context(), newClaim(key)); got.Replay == nil {
			t.Errorf("another process got %+v, want the recorded answer", got)
		}
	})
}

// TestFullEventQueueRefusesClaim guards against claims that block while the core
// is overloaded, and against waiters left behind by refused claims.
func TestFullEventQueueRefusesClaim(t *testing.T) {
	l := New(Options{VM: "a", Store: newFakeStore(), Log: slog.New(slog.DiscardHandler)})
	for range eventQueueLength {
		l.events <- core.Flush{}
	}
	got := l.Claim(t.Context(), newClaim(newKey()))
	if got.Refusal == nil || got.Refusal.Execution != request.ExecutionUnknown || got.Refusal.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal with a retry delay", got)
	}
	if l.waiters.Len() != 0 {
		t.Error("a refused claim left a waiter behind")
	}
}

// TestSweepRemovesOnlyExpiredObjects guards against the removal of objects within
// their retention, without which a key could be executed again, and against
// expired objects that stay.
func TestSweepRemovesOnlyExpiredObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		keptName := objectNameAt(time.Now().Add(-core.Retention + 10*time.Minute))
		names := []string{
			keptName,
			objectNameAt(time.Now().Add(-core.Retention - 2*core.BucketLength)),
			objectNameAt(time.Now().Add(-core.Retention - 30*time.Hour)),
		}
		for _, name := range names {
			if _, err := store.Put(t.Context(), name, []byte("x"), 0); err != nil {
				t.Fatal(err)
			}
		}
		l := startLedgers(t, store, "a", "a")["a"]
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := l.Sweep(ctx); err == nil {
			t.Error("the sweep returned before its context ended")
		}
		if keys := store.keys(); len(keys) != 1 || keys[0] != keptName {
			t.Errorf("the sweep left %v, want only %s", keys, keptName)
		}
	})
}

// objectNameAt returns the name of the object that holds keys of keyTime.
func objectNameAt(keyTime time.Time) string {
	bucket := keyTime.Truncate(core.BucketLength).Unix()
	return core.ObjectName(core.LogID{Bucket: core.Bucket(bucket)}, 0)
}

// TestResultOfError guards against taking a call that may have had an effect for
// one without.
func TestResultOfError(t *testing.T) {
	for err, want := range map[error]core.Result{
		nil:                        core.Succeeded,
		objectstore.ErrNotFound:    core.NotFound,
		objectstore.ErrConflict:    core.Conflict,
		objectstore.ErrRateLimited: core.Limited,
		objectstore.ErrRejected:    core.Limited,
		objectstore.ErrUnavailable: core.Unresolved,
		context.DeadlineExceeded:   core.Unresolved,
		core.ErrMalformed:          core.Unresolved,
	} {
		if got := resultOfError(err); got != want {
			t.Errorf("%v: got %d, want %d", err, got, want)
		}
	}
}
