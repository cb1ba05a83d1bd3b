package measure

import (
	"fmt"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Of the coming size: per daemon.
	upstreamsPerDaemon = 32
	accountsPerDaemon  = 3
	// grownWarmLimit makes the slots of a daemon's share of the upstreams
	// carry about 14 requests a second.
	grownWarmLimit = 3
	// backloggedEvery makes every tenth account backlogged.
	backloggedEvery = 10
	// grownLongShare gives about 360 units a request.
	grownLongShare = 0.37
	// backloggedCallers and otherCallers share the slots about by half, with
	// half as many again waiting.
	backloggedCallers = 240
	otherCallers      = 16
	deskPause         = 2 * time.Second
)

// grow adds the upstreams and accounts of a grown deployment.
func (d *Deployment) grow(daemons, dataCentres, pools int) {
	for i := range daemons * upstreamsPerDaemon {
		d.Document.Upstreams = append(d.Document.Upstreams, version.UpstreamSpec{
			Name:       fmt.Sprintf("upstream-%05d", i),
			Pool:       d.Document.Pools[i/dataCentres%pools].Name,
			DataCentre: d.Document.DataCentres[i%dataCentres].Name,
			Address:    "127.0.0.1:1",
			ColdLimit:  coldLimit,
			WarmLimit:  grownWarmLimit,
		})
	}
	for i := range daemons * accountsPerDaemon {
		name := accountName(i)
		d.Document.Accounts = append(d.Document.Accounts, version.AccountSpec{Name: name, Weight: 1})
		load := Load{
			Account: name, Callers: otherCallers, LongShare: grownLongShare,
			Pool: d.Document.Pools[i%pools].Name, Pause: time.Second,
		}
		if i%backloggedEvery == 0 {
			load.Callers, load.Pause = backloggedCallers, 0
			load.Pool = d.Document.Pools[i/backloggedEvery%pools].Name
		}
		d.Loads = append(d.Loads, load)
	}
}
