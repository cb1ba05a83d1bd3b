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
	// ledgerCallsPerSecond and ledgerCallsBurst limit the store calls of one daemon's
	// ledger. One daemon may have to write all shards alone.
	ledgerCallsPerSecond = 200
	ledgerCallsBurst     = 200
	// ownersInterval is the time between two computations of the shards' owners.
	ownersInterval = 500 * time.Millisecond
	// ledgerDrainTimeout bounds the time to record the last outcomes during a drain.
	ledgerDrainTimeout = 3 * time.Second
)

// newLedger returns the daemon's ledger. The ledger has its own store client, which does
// not retry, because the ledger's core decides when to call again.
func (a *App) newLedger(observe func(objectstore.Call, error)) *ledger.Ledger {
	var created *ledger.Ledger
	store := objectstore.New(objectstore.Options{
		URL:            a.settings.Platform.URL,
		Token:          a.settings.Platform.Token,
		Transport:      a.transports.platform,
		CallsPerSecond: ledgerCallsPerSecond,
		CallsBurst:     ledgerCallsBurst,
		Retry:          objectstore.Retry{Attempts: 1},
		Observe:        observe,
		OnNewEra:       func(era uint64) { created.StoreReturned(era) },
	})
	created = ledger.New(ledger.Options{VM: a.settings.VM, Store: store, Sender: a.peers, Log: a.log})
	return created
}

// followOwners updates the owners of the ledger's shards until ctx ends.
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

// updateOwners sets the ledger's shard owners by the active configuration and the open
// links.
func (a *App) updateOwners() {
	if config := a.loop.Config(); config != nil {
		a.ledger.SetOwners(a.ledgerOwners(config))
	}
}

// ledgerOwners assigns the shards to the daemons that are linked and in service.
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

// recordClaim records the ledger's verdict on a claim in the timeline.
func (a *App) recordClaim(event serve.ClaimEvent) {
	a.timeline.Record(time.Now(), timeline.Event{
		Kind:     timeline.KindClaimed,
		Request:  request.Key{Entry: a.settings.VM, Incarnation: a.incarnation, ID: event.Grant.ID},
		Attempt:  event.Grant.Attempt,
		Account:  event.Account,
		Pool:     event.Grant.Pool,
		Upstream: event.Grant.Upstream,
		Detail:   event.Verdict,
	})
}

func memberOf(linked operator.Member) membership.Member {
	return membership.Member{VM: linked.VM, DataCentre: linked.DataCentre, Incarnation: linked.Incarnation}
}
