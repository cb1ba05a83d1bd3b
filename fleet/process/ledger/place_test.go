package ledger

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// TestNoAttemptOutlivesItsObject lets one daemon send as late as it may and
// another remove as early as it may, with clocks as far apart as they may be.
func TestNoAttemptOutlivesItsObject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.UnixMilli(rapid.Int64Range(1_500_000_000_000, 4_000_000_000_000).Draw(t, "time"))
		key := claim.NewKey(at, [10]byte(rapid.SliceOfN(rapid.Byte(), 10, 10).Draw(t, "random")))
		place := PlaceOf(version.AccountID(rapid.Uint32().Draw(t, "account")), key)
		entry := at.Add(claim.MaxKeyAge)
		if key.Check(entry) != nil || place.Shard >= Shards {
			t.Fatalf("key %s is not accepted, or its shard is %d", key, place.Shard)
		}
		sent := entry.Add(PermitValidity)
		if place.Bucket.Expired(sent.Add(MaxClockSkew)) {
			t.Fatalf("the objects of key %s are removed while an attempt can be sent", key)
		}
		name := ObjectName(place, rapid.IntRange(0, 10_000).Draw(t, "segment"))
		if parsed, ours := ParseName(name); !ours || parsed != place {
			t.Fatalf("%s is read as %+v", name, parsed)
		}
	})
}

// TestAKeyThatGetsTooOldWhileItWaitsGetsNoPermit covers a claim that was
// accepted in time and written late.
func TestAKeyThatGetsTooOldWhileItWaitsGetsNoPermit(t *testing.T) {
	now := modelStart
	l := New(Options{VM: "a", Start: now})
	c := claim.Claim{Account: 1, Key: claim.NewKey(now.Add(-claim.MaxKeyAge), [10]byte{}), Attempt: uuid.UUID{1}}
	l.Step(now, Submit{Claim: c, Deadline: now.Add(time.Minute)})
	now = now.Add(time.Second)
	var refusal *request.Refusal
	for actions := l.Ready(); len(actions) > 0; actions = l.Ready() {
		for _, action := range actions {
			switch a := action.(type) {
			case Read:
				l.Step(now, ReadDone{Operation: a.Operation, Result: NotFound})
			case Write:
				l.Step(now, WriteDone{Operation: a.Operation, Version: 1})
			case Decide:
				refusal = a.Verdict.Refusal
			}
		}
	}
	if refusal == nil || refusal.Reason != request.ReasonBadIdempotencyKey || refusal.Execution != request.Unknown {
		t.Fatalf("got %+v, want that the key is too old and may have run", refusal)
	}
	if a := l.attempts[c.Attempt]; a == nil || !a.ending.closed {
		t.Error("the attempt was not closed")
	}
}

// TestKeysOutOfTime checks that a key is refused at once, and that only one
// that no daemon accepts is said not to have run.
func TestKeysOutOfTime(t *testing.T) {
	for execution, key := range map[request.Execution]claim.Key{
		request.NotRun:  {},
		request.Unknown: claim.NewKey(modelStart.Add(-claim.MaxKeyAge-time.Second), [10]byte{}),
	} {
		l := New(Options{VM: "a", Start: modelStart})
		l.Step(modelStart, Submit{Claim: claim.Claim{Account: 1, Key: key}, Deadline: modelStart.Add(time.Minute)})
		actions := l.Ready()
		if len(actions) != 1 {
			t.Fatalf("%d actions, want the refusal alone", len(actions))
		}
		refusal := actions[0].(Decide).Verdict.Refusal
		if refusal == nil || refusal.Reason != request.ReasonBadIdempotencyKey || refusal.Execution != execution {
			t.Errorf("got %+v, want %s", refusal, execution)
		}
	}
}
