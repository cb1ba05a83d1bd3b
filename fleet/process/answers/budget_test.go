package answers

import (
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against faulty upstreams whose answers take the memory that sound ones need: three of
// five that take whatever they can leave a quarter.
func TestFaultyUpstreamsLeaveMemoryToOthers(t *testing.T) {
	const limit, faulty = 6 << 20, 3
	b := NewBudget(limit)
	for taken := true; taken; {
		taken = false
		for id := range version.UpstreamID(faulty) {
			taken = b.Reserve(id, 4096) == nil || taken
		}
	}
	if free := limit - b.Stats().HeldBytes; free < limit/(faulty+1) {
		t.Errorf("%d bytes are left, want %d", free, limit/(faulty+1))
	}
	if err := b.Reserve(faulty, 256<<10); err != nil {
		t.Errorf("an answer of 256 KiB of a sound upstream: %v", err)
	}
}

func TestBudgetHoldsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		b := NewBudget(limit)
		held := make(map[version.UpstreamID][]int64)
		total := int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := version.UpstreamID(rapid.Uint64Range(0, 4).Draw(t, "upstream"))
			if sizes := held[id]; len(sizes) > 0 && rapid.Bool().Draw(t, "release") {
				b.Release(id, sizes[0])
				total -= sizes[0]
				held[id] = sizes[1:]
				continue
			}
			n := rapid.Int64Range(1, 1<<19).Draw(t, "bytes")
			switch err := b.Reserve(id, n); {
			case err == nil:
				held[id] = append(held[id], n)
				total += n
			case !errors.Is(err, ErrExceeded):
				t.Fatalf("error is %v, want ErrExceeded", err)
			}
			if got := b.Stats().HeldBytes; got != total || got > limit {
				t.Fatalf("%d bytes are held, want %d, at most %d", got, total, limit)
			}
		}
	})
}
