package measure

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
)

// recordBytes is the encoded size of a service record.
const recordBytes = 20

// Bound returns the largest difference in weighted service, in cost units, that
// any two backlogged accounts may see over any interval. It is 2·B of the design
// note, where B is the sum of the service that all slots can give one account
// during the propagation time T, the threshold for spilling, and twice the
// largest request in every slot.
func Bound(d Deployment) float64 {
	slots, minWeight, totalWeight := 0, 1.0, 0.0
	for _, upstream := range d.Document.Upstreams {
		if upstream.Pool == d.Document.Pools[0].Name {
			slots += upstream.WarmLimit
		}
	}
	for _, account := range d.Document.Accounts {
		minWeight = min(minWeight, account.Weight)
		totalWeight += account.Weight
	}
	maxCost := maxLongCost / minWeight
	unitsPerSecond := float64(slots) * float64(time.Second/pump.TimePerCostUnit)
	spillThreshold := max(dispatcher.SpillThreshold, dispatcher.SpillLevelAge.Seconds()*unitsPerSecond/totalWeight)
	b := propagation(d).Seconds()*unitsPerSecond/minWeight + spillThreshold + 2*float64(slots)*maxCost
	return 2 * b
}

// propagation returns T of the design note, the time within which service
// records reach all daemons: three send intervals, four network latencies between
// regions, and the time that a daemon needs within its bandwidth budget to send a
// record of each backlogged account to each other data centre. It assumes that
// the accounting homes of the accounts are distributed evenly over the daemons.
func propagation(d Deployment) time.Duration {
	backlogged := 0
	for _, load := range d.Loads {
		if load.ThinkTime == 0 {
			backlogged++
		}
	}
	accountsPerHome := float64(backlogged) * float64(len(d.Document.DataCentres)) / float64(len(d.VMs))
	recordsPerHome := accountsPerHome * float64(len(d.Document.DataCentres)+1)
	transferTime := time.Duration(recordsPerHome * recordBytes / service.BytesPerSecond * float64(time.Second))
	return 3*service.ReportInterval + 4*pump.CrossRegionDelay + transferTime
}
