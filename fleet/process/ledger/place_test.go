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

// TestObjectsOutlivePermits guards against the removal of a key's objects while an
// attempt with the key can still be sent, which would let the key execute twice.
// One daemon sends as late as it may and another removes as early as it may, with
// clocks that differ by MaxClockSkew.
func TestObjectsOutlivePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keyTime := time.UnixMilli(rapid.Int64Range(1_500_000_000_000, 4_000_000_000_000).Draw(t, "time"))
		key := claim.NewKey(keyTime, [10]byte(rapid.SliceOfN(rapid.Byte(), 10, 10).Draw(t, "random")))
		id := LogIDOf(version.AccountID(rapid.Uint32().Draw(t, "account")), key)
		submitted := keyTime.Add(claim.MaxKeyAge)
		if key.Check(submitted) != nil || id.Shard >= ShardCount {
			t.Fatalf("key %s is not accepted, or its shard is %d", key, id.Shard)
		}
		sentAt := submitted.Add(PermitValidity)
		if id.Bucket.Expired(sentAt.Add(MaxClockSkew)) {
			t.Fatalf("the objects of key %s are removed while an attempt can still be sent", key)
		}
		name := ObjectName(id, rapid.IntRange(0, 10_000).Draw(t, "segment"))
		if parsed, ours := ParseObjectName(name); !ours || parsed != id {
			t.Fatalf("ParseObjectName(%s) returned %+v", name, parsed)
		}
	})
}

// TestKeyExpiringBeforeVerdictGetsNoPermit guards against a permit for a key that
// was accepted in time but exceeds the maximum age before its claim is written.
func TestKeyExpiringBeforeVerdictGetsNoPermit(t *testing.T) {
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
	if refusal == nil || refusal.Reason != request.ReasonBadIdempotencyKey || refusal.Execution != request.ExecutionUnknown {
		t.Fatalf("got %+v, want a refusal of the key as too old with execution unknown", refusal)
	}
	if a := l.attempts[c.Attempt]; a == nil || !a.completion.closed {
		t.Error("the attempt was not closed")
	}
}

// TestUnacceptableKeysAreRefused checks that a malformed or expired key is refused
// at once, and that only the malformed one, which no daemon ever accepts, is said
// not to have been executed.
func TestUnacceptableKeysAreRefused(t *testing.T) {
	for execution, key := range map[request.Execution]claim.Key{
		request.NotExecuted:      {},
		request.ExecutionUnknown: claim.NewKey(modelStart.Add(-claim.MaxKeyAge-time.Second), [10]byte{}),
	} {
		l := New(Options{VM: "a", Start: modelStart})
		l.Step(modelStart, Submit{Claim: claim.Claim{Account: 1, Key: key}, Deadline: modelStart.Add(time.Minute)})
		actions := l.Ready()
		if len(actions) != 1 {
			t.Fatalf("got %d actions, want only the refusal", len(actions))
		}
		refusal := actions[0].(Decide).Verdict.Refusal
		if refusal == nil || refusal.Reason != request.ReasonBadIdempotencyKey || refusal.Execution != execution {
			t.Errorf("got %+v, want a refusal with execution %s", refusal, execution)
		}
	}
}
