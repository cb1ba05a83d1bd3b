package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against usage that leaves the share window all at once: what was granted in a burst was granted in a
// burst again, by all VMs at the same moment, and the engines had no time for accounts far below their share.
func TestUsageFadesWithoutSteps(t *testing.T) {
	const step, most = 5 * time.Millisecond, 0.02
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 56))
		now, tracker := time.Unix(1000, random.Int64N(1e9)), newUsageTracker(4*time.Second)
		accounts := version.AccountID(2 + random.IntN(8))
		for account := range accounts {
			tracker.add(now, account, 1e6*random.Float64(), 1e5*random.Float64())
		}
		// A burst, and nothing after it.
		now = now.Add(time.Duration(random.Int64N(int64(time.Second))))
		burst := version.AccountID(random.IntN(int(accounts)))
		tracker.add(now, burst, 1e6, 1e6*random.Float64())
		before := math.NaN()
		for range 1500 {
			tracker.computedAt = time.Time{}
			used := tracker.relativeUsage(now, burst).shareUsed
			if math.Abs(used-before) > most*before {
				t.Fatalf("seed %d: the account has used %.3f of its share, and %.3f %v before", seed, used, before, step)
			}
			before, now = used, now.Add(step)
		}
	}
}

// Guards against an account that counts as above its share at its other VMs because one VM turns away most of its
// requests: what that VM granted was estimated from all that reached it.
func TestGrantsAreNotEstimatedFromRequestsThatVMsTurnAway(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 57))
		now, tracker := time.Unix(1000, 0), newUsageTracker(4*time.Second)
		here, there, other := version.AccountID(1), 1+20*random.Float64(), version.AccountID(2)
		const perStep = 1000.0
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			// Another VM grants the account as much, and turns a multiple of it away.
			tracker.recordRequest(now, here, 5*perStep)
			tracker.recordGrant(now, here, perStep)
			tracker.add(now, here, 5*perStep*there, perStep)
			tracker.add(now, other, 10*perStep, 2*perStep)
		}
		tracker.computedAt = time.Time{}
		if used := tracker.relativeUsage(now, here).shareUsed; used > 1.15 || used < 0.85 {
			t.Errorf("seed %d: %.2f of the share used, want 1", seed, used)
		}
	}
}

// Guards against an account that is alone, asks for far more than it is granted and counts as above its share:
// what others granted it was added to its usage and not to the fair share.
func TestAccountAloneIsNotAboveItsShare(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 58))
		now, tracker := time.Unix(1000, 0), newUsageTracker(4*time.Second)
		vms := float64(2 + random.IntN(100))
		granted := 100 + 1000*random.Float64()
		for range 100 + random.IntN(300) {
			now = now.Add(10 * time.Millisecond)
			tracker.recordRequest(now, 1, 10*granted)
			tracker.add(now, 1, 10*granted*(vms-1), granted*(vms-1))
			tracker.recordGrant(now, 1, granted)
			tracker.computedAt = time.Time{}
			if used := tracker.relativeUsage(now, 1).shareUsed; used > 1+1e-9 {
				t.Fatalf("seed %d: %.2f of the share used", seed, used)
			}
		}
	}
}
