package placement

import (
	"math"
	"time"
)

// flowHalfLife is how long it takes until half of what other VMs sent is forgotten: two
// reports of a large fleet.
const flowHalfLife = 250 * time.Millisecond

// flow estimates a rate from amounts that are told from time to time, and from it what
// has flowed and was not told yet. While an engine reads, reports that are old leave out
// as much as it reads in that time, however long its queue is.
type flow struct {
	// recent is the sum of the amounts, each halved every flowHalfLife since at.
	recent float64
	at     time.Time
	// age is how old the newest amount was when it was told.
	age time.Duration
}

// add takes an amount that was so old when it was told.
func (f *flow) add(now time.Time, amount float64, age time.Duration) {
	f.recent = f.left(now) + amount
	f.at, f.age = now, age
}

// left returns what is left of the amounts.
func (f *flow) left(now time.Time) float64 {
	return f.recent * halve(max(now.Sub(f.at), 0), flowHalfLife)
}

// untold estimates what has flowed since the newest amount was so.
func (f *flow) untold(now time.Time) float64 {
	if f.recent == 0 {
		return 0
	}
	perSecond := f.left(now) * math.Ln2 / flowHalfLife.Seconds()
	return perSecond * (f.age + max(now.Sub(f.at), 0)).Seconds()
}
