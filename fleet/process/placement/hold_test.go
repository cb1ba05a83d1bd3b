package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against two faults: an account with many VMs that takes all that is left beyond the fair shares,
// while one whose VM can't take more in falls behind; and accounts that are held for others whom that
// does not help, or below what the fleet is known to serve.
func TestAccountFarAheadOfOthersThatWaitIsHeld(t *testing.T) {
	const ahead, other = version.AccountID(1), version.AccountID(2)
	// perBucket is what an account requests and is granted in each bucket of the share window.
	type perBucket struct{ requested, granted float64 }
	for name, test := range map[string]struct {
		other           perBucket
		inTurns         bool
		tokensPerSecond float64
		held            bool
	}{
		"another account waits":            {other: perBucket{9000, 1000}, held: true},
		"the other one is not far behind":  {other: perBucket{9000, 2500}},
		"the other one gets what it asks":  {other: perBucket{1000, 900}},
		"the other one sends now and then": {other: perBucket{9000, 2000}, inTurns: true},
		"something else keeps it":          {other: perBucket{9000, 50}},
		"the fleet is known to serve more": {other: perBucket{9000, 1000}, tokensPerSecond: 20_000},
		"the fleet is known to serve less": {other: perBucket{9000, 1000}, tokensPerSecond: 2000, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := newUsageTracker(4 * time.Second)
			tracker.tokensPerSecond = test.tokensPerSecond
			for i := range 2 * shareBuckets {
				tracker.recordRequest(now, ahead, 40_000)
				tracker.recordGrant(now, ahead, 3000)
				if !test.inTurns || i%2 == 0 {
					tracker.add(now, other, test.other.requested, test.other.granted)
				}
				now = now.Add(tracker.window / shareBuckets)
			}
			now = now.Add(-time.Millisecond)
			if usage := tracker.relativeUsage(now, ahead); usage.held != test.held {
				t.Errorf("the account ahead is held: %v, want %v (%.2f of its share)", usage.held, test.held, usage.shareUsed)
			}
			if tracker.relativeUsage(now, other).held {
				t.Error("the account behind is held")
			}
		})
	}
}

// Guards against an account that is behind most others and holds none of them: they were compared with the mean
// of those that wait, which is high where only one is behind.
func TestAccountsAheadOfTheOneFurthestBehindAreHeld(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 60))
		now, tracker := time.Unix(1000, 0), newUsageTracker(4*time.Second)
		const behind = version.AccountID(0)
		accounts := version.AccountID(3 + random.IntN(8))
		granted := []float64{500 + 500*random.Float64()}
		for range accounts - 1 {
			granted = append(granted, 2000+500*random.Float64())
		}
		for range 2 * shareBuckets {
			for account := range accounts {
				tracker.recordRequest(now, account, 5000+20_000*random.Float64())
				tracker.recordGrant(now, account, granted[account])
			}
			now = now.Add(tracker.window / shareBuckets)
		}
		now = now.Add(-time.Millisecond)
		if tracker.relativeUsage(now, behind).held {
			t.Errorf("seed %d: the account behind is held", seed)
		}
		for account := behind + 1; account < accounts; account++ {
			// An account is never held below the fair share.
			if usage := tracker.relativeUsage(now, account); usage.held != (usage.shareUsed > 1) {
				t.Errorf("seed %d: an account with %.2f of the one furthest behind and %.2f of its share is held: %v",
					seed, granted[account]/granted[behind], usage.shareUsed, usage.held)
			}
		}
	}
}
