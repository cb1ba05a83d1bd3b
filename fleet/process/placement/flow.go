package placement

import (
	"math"
	"time"
)

// rateHalfLife is the time after which an amount that other VMs reported counts half: two
// report intervals of a large fleet.
const rateHalfLife = 250 * time.Millisecond

// rateEstimator estimates a rate from amounts that are reported from time to time, and from it
// the amount that has not been reported yet. While an engine prefills, old reports miss as
// much as it prefills during their age, however long its queue is.
type rateEstimator struct {
	// decayedSum is the sum of the amounts at updatedAt, each halved for every rateHalfLife of
	// its age.
	decayedSum float64
	updatedAt  time.Time
	// reportAge is how old the newest amount was when it was reported.
	reportAge time.Duration
}

// add counts an amount that was age old when it was reported.
func (e *rateEstimator) add(now time.Time, amount float64, age time.Duration) {
	e.decayedSum = e.currentSum(now) + amount
	e.updatedAt, e.reportAge = now, age
}

// currentSum returns decayedSum, decayed to now.
func (e *rateEstimator) currentSum(now time.Time) float64 {
	return e.decayedSum * decay(max(now.Sub(e.updatedAt), 0), rateHalfLife)
}

// unreported estimates the amount that has arrived since the state that the newest report
// describes.
func (e *rateEstimator) unreported(now time.Time) float64 {
	if e.decayedSum == 0 {
		return 0
	}
	perSecond := e.currentSum(now) * math.Ln2 / rateHalfLife.Seconds()
	return perSecond * (e.reportAge + max(now.Sub(e.updatedAt), 0)).Seconds()
}
