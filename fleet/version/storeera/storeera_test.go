package storeera

import (
	"testing"
	"time"
)

// Guards against a higher revision of an older era that is taken for newer.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{{}, {0, 900}, {1, 5}, {1, 6}, {2, 1}, {2, 5}, {3, 0}}
	for i, p := range ordered {
		for j, q := range ordered {
			if got := p.Compare(q); (got < 0) != (i < j) || (got == 0) != (i == j) {
				t.Errorf("Compare(%v, %v) = %d", p, q, got)
			}
		}
	}
}

// Guards against an answer of the era before, or of none, that begins an era or counts as present.
func TestLateAnswersOfAnOlderEraAreOutdated(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	for i, c := range []struct {
		era  uint64
		want Verdict
	}{
		{0, Current}, {4, Advanced}, {4, Current}, {0, Outdated}, {5, Advanced}, {4, Outdated}, {5, Current}, {7, Advanced}, {6, Outdated},
	} {
		if got := tracker.Observe(now, c.era); got != c.want {
			t.Errorf("answer %d, of era %d: verdict %d, want %d", i, c.era, got, c.want)
		}
	}
	if tracker.Era() != 7 || tracker.Settled(now.Add(SettleTime-1)) || !tracker.Settled(now.Add(SettleTime)) {
		t.Errorf("era %d, settled %v after SettleTime", tracker.Era(), tracker.Settled(now.Add(SettleTime)))
	}
}

// Guards against a process that takes the first era it hears of for a return of the store.
func TestFirstEraIsSettled(t *testing.T) {
	var tracker Tracker
	tracker.Observe(time.Unix(1000, 0), 9)
	if !tracker.Settled(time.Unix(1000, 0)) || !tracker.Since().IsZero() {
		t.Error("the first era counts as a return of the store")
	}
}
