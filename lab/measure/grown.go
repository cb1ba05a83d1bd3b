package measure

import (
	"fmt"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// Upstreams and accounts per daemon at the projected fleet size.
	upstreamsPerDaemon = 32
	accountsPerDaemon  = 3
	// grownWarmLimit is the warm limit of each upstream. With it, the slots of
	// the upstreamsPerDaemon upstreams carry about 14 requests per second.
	grownWarmLimit = 3
	// backloggedEvery is the interval of backlogged accounts: every tenth one.
	backloggedEvery = 10
	// grownLongFraction gives a mean cost of about 360 units per request.
	grownLongFraction = 0.37
	// With backloggedCallers and otherCallers, backlogged accounts and the others
	// each use about half of the slots, and half as many requests again wait.
	backloggedCallers = 240
	otherCallers      = 16
	// serviceThinkTime is the think time of callers of a service pool.
	serviceThinkTime = 2 * time.Second
)

// addLoad adds the upstreams, accounts and callers of a grown deployment.
func (d *Deployment) addLoad(daemons, dataCentres, pools int) {
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
			Account: name, Callers: otherCallers, LongFraction: grownLongFraction,
			Pool: d.Document.Pools[i%pools].Name, ThinkTime: time.Second,
		}
		if i%backloggedEvery == 0 {
			load.Callers, load.ThinkTime = backloggedCallers, 0
			load.Pool = d.Document.Pools[i/backloggedEvery%pools].Name
		}
		d.Loads = append(d.Loads, load)
	}
}
