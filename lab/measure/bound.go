package measure

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
)

// recordBytes is the size of a service record on the wire.
const recordBytes = 20

// Bound returns 2·B of the design note: the largest difference in weighted
// service that any two backlogged accounts may see over any interval.
func Bound(d Deployment) float64 {
	slots, least, weights := 0, 1.0, 0.0
	for _, upstream := range d.Document.Upstreams {
		if upstream.Pool == d.Document.Pools[0].Name {
			slots += upstream.WarmLimit
		}
	}
	for _, account := range d.Document.Accounts {
		least = min(least, account.Weight)
		weights += account.Weight
	}
	c := longMost / least
	served := float64(slots) * float64(time.Second/pump.Pace)
	threshold := max(dispatcher.SpillThreshold, dispatcher.SpillTime.Seconds()*served/weights)
	b := propagation(d).Seconds()*served/least + threshold + 2*float64(slots)*c
	return 2 * b
}

// propagation returns T of the design note: three sendings, the delays between
// regions, and the time in which a daemon's budget carries a record of each
// backlogged account to each other data centre.
func propagation(d Deployment) time.Duration {
	backlogged := 0
	for _, load := range d.Loads {
		if load.Pause == 0 {
			backlogged++
		}
	}
	perHome := float64(backlogged) * float64(len(d.Document.DataCentres)) / float64(len(d.VMs))
	records := perHome * float64(len(d.Document.DataCentres)+1)
	paced := time.Duration(records * recordBytes / service.BytesPerSecond * float64(time.Second))
	return 3*service.Interval + 4*pump.CrossRegionDelay + paced
}
