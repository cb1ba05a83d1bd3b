package unread

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

func ids(givenUp []GivenUp) []ID {
	var all []ID
	for _, given := range givenUp {
		all = append(all, given.ID)
	}
	return all
}

// grow asks for bytes, without a pause before.
func grow(b *Budget, now time.Time, id ID, account version.AccountID, bytes int64) ([]GivenUp, bool) {
	return b.Grow(now, Request{ID: id, Account: account, Bytes: bytes})
}

// Guards against a crowd that does not read and takes the memory of callers who read slowly: of ten
// answers that have stopped and one that moves, with newcomers, those that have stopped are given up.
func TestAnswersThatDoNotMoveAreGivenUpFirst(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Options{TotalBytes: 1100 << 10, AccountBytes: 1 << 30, AnswerBytes: 1 << 30})
	const moving, newcomer = 100, 101
	for id := range ID(10) {
		grow(b, now, id, version.AccountID(id), 100<<10)
	}
	grow(b, now, moving, 100, 100<<10)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		b.Moved(now, moving, 8<<10, 0)
	}
	for n := range 10 {
		givenUp, pause := grow(b, now, newcomer+ID(n), 101, 100<<10)
		if len(givenUp) != 1 || pause {
			t.Fatalf("given up %+v, pause: %v, want one answer", givenUp, pause)
		}
		if given := givenUp[0]; given.ID >= 10 || given.Cause != CauseProcess || given.HeldBytes != 100<<10 || given.Waited != 20*time.Second {
			t.Fatalf("%+v was given up, want one that has stopped", given)
		}
	}
}

// Guards against breaking the answers of callers who all read on, where the memory is scarce for a
// moment, and against pauses without end.
func TestAnswersThatMovePauseBeforeOneIsGivenUp(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Options{TotalBytes: 200 << 10, AccountBytes: 1 << 30, AnswerBytes: 150 << 10})
	grow(b, now, 1, 1, 150<<10)
	for _, id := range []ID{1, 2} {
		if givenUp, pause := grow(b, now, id, 1, 100<<10); len(givenUp) > 0 || !pause {
			t.Errorf("answer %d: given up %+v, pause: %v, want a pause", id, givenUp, pause)
		}
	}
	givenUp, pause := b.Grow(now, Request{ID: 2, Account: 1, Bytes: 100 << 10, Paused: maxPause})
	if pause || !slices.Equal(ids(givenUp), []ID{1}) {
		t.Errorf("given up %+v, pause: %v, want the answer that holds most", givenUp, pause)
	}
	givenUp, pause = b.Grow(now, Request{ID: 2, Account: 1, Bytes: 100 << 10, Paused: maxPause})
	if pause || !slices.Equal(ids(givenUp), []ID{2}) || givenUp[0].Cause != CauseAnswer {
		t.Errorf("given up %+v, pause: %v, want the answer itself", givenUp, pause)
	}
}

// Guards against one account whose answers take the memory of all others.
func TestAnAccountIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Options{TotalBytes: 1000 << 10, AccountBytes: 500 << 10, AnswerBytes: 300 << 10})
	grow(b, now, 2, 1, 300<<10)
	grow(b, now, 3, 2, 300<<10)
	now = now.Add(time.Minute)
	if got, _ := grow(b, now, 4, 1, 250<<10); len(got) != 1 || got[0].ID != 2 || got[0].Cause != CauseAccount {
		t.Errorf("given up %v, want the other answer of the account", ids(got))
	}
	if stats := b.Stats(); stats.HeldBytes != 550<<10 || stats.Answers != 2 || stats.GivenUp[CauseAccount] != 1 {
		t.Errorf("stats %+v", stats)
	}
}

func TestBudgetHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{TotalBytes: 1000, AccountBytes: 500, AnswerBytes: 250}
		b := New(options)
		now := time.Unix(0, 0)
		held := make(map[ID]int64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			id := ID(rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.End(id)
				delete(held, id)
			case 1:
				freed := held[id] / 2
				b.Moved(now, id, freed, freed)
				if _, known := held[id]; known {
					held[id] -= freed
				}
			default:
				r := Request{ID: id, Account: version.AccountID(id % 3), Bytes: int64(rapid.IntRange(1, 300).Draw(t, "bytes"))}
				r.Paused = time.Duration(rapid.IntRange(0, 2).Draw(t, "paused")) * maxPause / 2
				if _, known := held[id]; !known {
					held[id] = 0
				}
				givenUp, pause := b.Grow(now, r)
				if pause && r.Paused >= maxPause {
					t.Fatal("a pause without end")
				}
				for _, given := range givenUp {
					if given.HeldBytes != held[given.ID] {
						t.Fatalf("%d held %d bytes as it was given up, want %d", given.ID, given.HeldBytes, held[given.ID])
					}
					delete(held, given.ID)
				}
				if _, known := held[id]; known && !pause {
					held[id] += r.Bytes
				}
			}
			total := int64(0)
			byAccount := make(map[version.AccountID]int64)
			for id, bytes := range held {
				total += bytes
				if byAccount[version.AccountID(id%3)] += bytes; bytes > options.AnswerBytes {
					t.Fatalf("answer %d holds %d bytes", id, bytes)
				}
			}
			for account, bytes := range byAccount {
				if bytes > options.AccountBytes {
					t.Fatalf("account %d holds %d bytes", account, bytes)
				}
			}
			if stats := b.Stats(); stats.HeldBytes != total || total > options.TotalBytes || stats.Answers != len(held) {
				t.Fatalf("stats %+v, want %d bytes of %d answers", stats, total, len(held))
			}
		}
	})
}
