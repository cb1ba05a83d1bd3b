package placement

import (
	"math"
	"time"
)

// Capacity that is left beyond the fair shares goes to accounts in the order in which they find it. An
// account whose callers reach few VMs, or VMs that are short of processor time, finds little, while one
// with many VMs takes nearly all. So an account is held at a usage not far above that of each other one
// that waits.

const (
	// maxLead is the usage of an account, relative to the least of those that wait, at which it is held.
	maxLead = 1.4
	// An account waits if it requested more than unmetFactor times what it was granted in each of the
	// last waitBuckets buckets of the share window: accounts that send in turns do not wait for each
	// other. One that was granted less than blockedFraction of the highest usage is kept from its share by
	// something else, such as a region without upstreams, and holding others does not help it.
	waitBuckets     = 4
	unmetFactor     = 1.5
	blockedFraction = 0.1
	// guaranteedFraction is the fraction of the fleet's token rate of which no account is held below
	// its fair share. Without it an account that can't use more than a little, whatever others leave,
	// would hold back everybody.
	guaranteedFraction = 0.75
)

// holdLevels say at which usage accounts are held.
type holdLevels struct {
	// leastWaiting is the least usage of the accounts that wait, in tokens; infinity if none waits.
	leastWaiting float64
	// guaranteed is the usage in tokens below which no account is held.
	guaranteed float64
}

// computeHoldLevels returns the levels of the present usage. requests is what accounts requested, in
// ascending order, as t.sorted is.
func (t *usageTracker) computeHoldLevels(now time.Time, requests []float64, fairShare, highest float64) holdLevels {
	capacity := guaranteedFraction * t.tokensPerSecond * t.covered(now).Seconds()
	levels := holdLevels{leastWaiting: math.Inf(1), guaranteed: max(fairShare, maxMinShare(requests, capacity))}
	for i := range t.sorted {
		if u := &t.sorted[i]; u.waits(t.bucketOf(now), highest) {
			levels.leastWaiting = min(levels.leastWaiting, u.granted)
		}
	}
	return levels
}

// waits reports whether an account waited for more than it was granted until a bucket began. highest is
// the highest usage of any account.
func (u *accountUsage) waits(bucket int64, highest float64) bool {
	for i := range int64(waitBuckets) {
		b := u.lately[(bucket-1-i)%latelyBuckets]
		if b.number != bucket-1-i || b.requested <= unmetFactor*b.granted {
			return false
		}
	}
	return u.granted > blockedFraction*highest
}

// holdLimit returns the usage at which accounts are held; infinity if none waits.
func (l *holdLevels) holdLimit() float64 { return max(maxLead*l.leastWaiting, l.guaranteed) }

// covered returns the time that the counted usage stands for: the mean life of usage but in the first seconds of
// a process.
func (t *usageTracker) covered(now time.Time) time.Duration {
	life := t.meanLife()
	counted := max(now.Sub(t.startedAt), t.window/shareBuckets)
	return time.Duration(float64(life) * -math.Expm1(-float64(counted)/float64(life)))
}
