package node

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/entry"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// rolesInterval is how often the roles are recomputed without any change.
	rolesInterval = 500 * time.Millisecond
	// maxSettleTime is how long after its start a daemon waits for contact with
	// the others of its data centre.
	maxSettleTime = 3 * time.Second
	// failoverTime is how long the entry waits for a link to a pool's owner that
	// is a live member before it registers with another daemon.
	failoverTime = 2 * time.Second
)

// roles is the state for deciding which daemon dispatches which pool, which
// follows from the members.
type roles struct {
	// stale is set when the members or the configuration changed.
	stale      bool
	nextUpdate time.Time
	// started is when the roles were first computed; settled is set once the
	// other daemons of the data centre are known.
	started time.Time
	settled bool
	// ownerUnreachableSince is since when a pool's owner has not been linked.
	ownerUnreachableSince map[version.PoolID]time.Time
}

// refreshRoles recomputes the roles if the members or the configuration
// changed.
func (n *Node) refreshRoles(now time.Time) {
	if n.tracker.Changed() {
		n.roles.stale = true
	}
	if n.roles.stale {
		n.updateRoles(now)
	}
}

// tickRoles recomputes the roles after a change, and every rolesInterval.
func (n *Node) tickRoles(now time.Time) {
	if !now.Before(n.roles.nextUpdate) {
		n.roles.stale = true
	}
	n.refreshRoles(now)
}

// updateRoles recomputes the view, which pools this daemon dispatches, which
// dispatchers its entry registers with, and the links.
func (n *Node) updateRoles(now time.Time) {
	n.roles.stale = false
	n.roles.nextUpdate = now.Add(rolesInterval)
	n.updateView(now)
	n.updateSettled(now)
	members := n.tracker.SlotMembers(now)
	mayOwn := n.tracker.MayOwnRoles(now)
	for _, pool := range n.pools() {
		ranked := n.view.Ranked(n.options.DataCentre, dispatcherKey(pool))
		owner := len(ranked) > 0 && ranked[0] == n.options.VM
		target := n.entryTarget(now, pool, ranked)
		if owner && !mayOwn {
			target = entry.Target{}
		}
		n.entry.SetTarget(now, pool, target)
		n.setOwner(now, pool, owner && mayOwn)
	}
	for _, pool := range n.ownedPools() {
		n.dispatchers[pool].SetMembers(now, members)
		n.dispatchers[pool].SetPeers(now, n.peersOf(now, pool))
	}
	n.updateLinks(now)
}

// updateView takes the members from the tracker. A VM that operators took out
// of service counts as leaving, so that it gets no role.
func (n *Node) updateView(now time.Time) {
	view := n.tracker.View(now)
	for i := range view.Members {
		member := &view.Members[i]
		out := n.config != nil && n.config.VMOut(member.VM)
		if out && member.State < membership.Leaving {
			member.State = membership.Leaving
		}
	}
	if slices.Equal(view.Members, n.view.Members) {
		return
	}
	n.recordMemberChanges(now, n.view, view)
	n.view = view
	n.serviceViewChanged(now)
}

// updateSettled records when the other daemons of the data centre are known.
// Before that, this daemon may wrongly appear to own pools of others.
func (n *Node) updateSettled(now time.Time) {
	if n.roles.started.IsZero() {
		n.roles.started = now
	}
	allContacted := !slices.ContainsFunc(n.view.Members, func(m membership.Member) bool {
		return m.State == membership.Listed
	})
	othersKnown := allContacted && len(n.view.Members) > 1
	if othersKnown || now.Sub(n.roles.started) >= maxSettleTime {
		n.roles.settled = true
	}
}

// recordMemberChanges adds the members that are new or changed to the timeline.
func (n *Node) recordMemberChanges(now time.Time, before, after membership.View) {
	for _, member := range after.Members {
		old, present := before.Member(member.VM)
		if present && old == member {
			continue
		}
		n.options.Timeline.Record(now, timeline.Event{
			Kind:   timeline.KindMember,
			Peer:   member.VM,
			Detail: member.State.String(),
		})
	}
}

// setOwner starts the dispatcher of a pool, or stops it once no entry needs it
// any more.
func (n *Node) setOwner(now time.Time, pool version.PoolID, owner bool) {
	d, present := n.dispatchers[pool]
	switch {
	case owner && !present:
		n.startDispatcher(now, pool).SetOwner(now, true)
	case owner:
		d.SetOwner(now, true)
	case present:
		d.SetOwner(now, false)
		if d.Idle() {
			n.drainDispatchers(now)
			delete(n.dispatchers, pool)
		}
	}
}

// entryTarget returns the dispatcher that the entry should register with: the
// pool's owner, or the first linked daemon after it if the owner has not been
// linked for failoverTime.
func (n *Node) entryTarget(now time.Time, pool version.PoolID, ranked []version.VMID) entry.Target {
	if len(ranked) == 0 {
		return entry.Target{}
	}
	if n.tracker.Linked(ranked[0]) {
		delete(n.roles.ownerUnreachableSince, pool)
		return entry.Target{VM: ranked[0]}
	}
	since, waiting := n.roles.ownerUnreachableSince[pool]
	if !waiting {
		if n.roles.ownerUnreachableSince == nil {
			n.roles.ownerUnreachableSince = make(map[version.PoolID]time.Time)
		}
		n.roles.ownerUnreachableSince[pool] = now
		return entry.Target{}
	}
	if now.Sub(since) < failoverTime {
		return entry.Target{}
	}
	for _, vm := range ranked[1:] {
		if n.tracker.Linked(vm) {
			return entry.Target{VM: vm, OwnerUnreachable: true}
		}
	}
	return entry.Target{}
}

// startDispatcher starts the dispatcher of a pool.
func (n *Node) startDispatcher(now time.Time, pool version.PoolID) *dispatcher.Dispatcher {
	d := dispatcher.New(now, dispatcher.Options{
		Pool:        pool,
		DataCentre:  n.options.DataCentre,
		Queue:       n.options.Queue,
		Meter:       n.accounting.meter,
		NextSession: n.nextSession,
		Timeline:    n.options.Timeline,
	})
	d.SetMembers(now, n.tracker.SlotMembers(now))
	if n.config != nil {
		d.Configure(now, n.config)
	}
	n.dispatchers[pool] = d
	n.roles.stale = true
	return d
}

// peersOf returns the dispatchers of a pool in the other data centres, and
// marks the links to them as needed.
func (n *Node) peersOf(now time.Time, pool version.PoolID) []dispatcher.Peer {
	if n.config == nil {
		return nil
	}
	var peers []dispatcher.Peer
	for _, dataCentre := range n.config.DataCentres {
		if dataCentre.ID == n.options.DataCentre {
			continue
		}
		peer := dispatcher.Peer{DataCentre: dataCentre.ID, Distance: n.distance(dataCentre.ID)}
		if vm, found := n.view.Owner(dataCentre.ID, dispatcherKey(pool)); found {
			if n.roles.settled {
				n.links.markWanted(now, vm)
			}
			if n.tracker.Linked(vm) {
				peer.VM = vm
			}
		}
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b dispatcher.Peer) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return peers
}

// distance returns 0 for a data centre of the own region and 1 for any other.
func (n *Node) distance(other version.DataCentreID) int {
	here, there := n.config.DataCentres[n.options.DataCentre], n.config.DataCentres[other]
	if here != nil && there != nil && here.Region == there.Region {
		return 0
	}
	return 1
}

// dispatcherKey returns the rendezvous hashing key that determines a pool's
// owner.
func dispatcherKey(pool version.PoolID) string {
	return "dispatcher/" + strconv.FormatUint(uint64(pool), 10)
}
