package app

import (
	"context"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/ledger"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	core "github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ledgerCallsPerSecond and ledgerCallsBurst bound the ledger's calls of
	// one daemon: it may have to write all shards alone.
	ledgerCallsPerSecond = 200
	ledgerCallsBurst     = 200
	// ownersInterval is how often the shards' writers are worked out.
	ownersInterval = 500 * time.Millisecond
	// ledgerDrainTimeout bounds the recording of the last outcomes.
	ledgerDrainTimeout = 3 * time.Second
)

// newLedger returns the daemon's part in the ledger. It has a client of its
// own, because the decision core itself decides when to call again.
func (a *App) newLedger(observe func(objectstore.Call, error)) *ledger.Ledger {
	store := objectstore.New(objectstore.Options{
		URL:            a.settings.Platform.URL,
		Token:          a.settings.Platform.Token,
		Transport:      a.dialling.platform,
		CallsPerSecond: ledgerCallsPerSecond,
		CallsBurst:     ledgerCallsBurst,
		Retry:          objectstore.Retry{Attempts: 1},
		Observe:        observe,
	})
	return ledger.New(ledger.Options{VM: a.settings.VM, Store: store, Sender: a.peers, Log: a.log})
}

// followOwners tells the ledger who writes its shards.
func (a *App) followOwners(ctx context.Context) error {
	ticker := time.NewTicker(ownersInterval)
	defer ticker.Stop()
	for {
		a.updateOwners()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (a *App) updateOwners() {
	if config := a.loop.Config(); config != nil {
		a.ledger.SetOwners(a.ledgerOwners(config))
	}
}

// ledgerOwners gives the shards to the daemons that are linked and in service.
func (a *App) ledgerOwners(config *version.Config) core.Owners {
	self := membership.Member{VM: a.settings.VM, DataCentre: a.settings.DataCentre}
	var members []membership.Member
	if !a.leaving.Load() && !config.VMOut(self.VM) {
		members = append(members, self)
	}
	for _, linked := range a.inbox.members() {
		if !linked.Leaving && !config.VMOut(linked.VM) {
			members = append(members, memberOf(linked))
		}
	}
	var dataCentres []version.DataCentreID
	for id := range config.DataCentres {
		if !config.DataCentreOut(id) {
			dataCentres = append(dataCentres, id)
		}
	}
	return core.NewOwners(self, dataCentres, membership.NewView(members))
}

// recordClaim puts what the ledger said of a claim on the time line.
func (a *App) recordClaim(c serve.Claimed) {
	a.timeline.Record(time.Now(), timeline.Event{
		Kind:     timeline.KindClaimed,
		Request:  request.Key{Entry: a.settings.VM, Incarnation: a.incarnation, ID: c.Grant.ID},
		Attempt:  c.Grant.Attempt,
		Account:  c.Account,
		Pool:     c.Grant.Pool,
		Upstream: c.Grant.Upstream,
		Detail:   c.Verdict,
	})
}

func memberOf(m operator.Member) membership.Member {
	return membership.Member{VM: m.VM, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
}
