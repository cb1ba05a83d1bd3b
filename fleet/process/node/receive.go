package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// receive handles one message. A message from an earlier process of a VM is
// ignored.
func (n *Node) receive(now time.Time, from dispatcher.EntryID, message wire.Message) {
	member, known := n.tracker.Member(from.VM)
	if known && from.Incarnation < member.Incarnation {
		return
	}
	if n.receiveService(now, from, message) || n.receiveMembership(now, from.VM, message) {
		return
	}
	if !known {
		return
	}
	remote := member.DataCentre != n.options.DataCentre
	if n.receiveAsDispatcher(now, from, remote, message) {
		return
	}
	if remote {
		n.receiveFromPeer(now, from.VM, message)
		return
	}
	n.receiveAsEntry(now, from.VM, message)
}

// receiveMembership handles a membership message and reports whether the
// message was one.
func (n *Node) receiveMembership(now time.Time, from version.VMID, message wire.Message) bool {
	switch m := message.(type) {
	case wire.Ping:
		n.tracker.Ping(now, from, m)
	case wire.PingRequest:
		n.tracker.PingRequest(now, from, m)
	case wire.Ack:
		n.tracker.Ack(now, from, m)
	default:
		return false
	}
	return true
}

// receiveAsDispatcher handles a message to a dispatcher from an entry, or from
// a dispatcher of another data centre that places tickets here, and reports
// whether the message was one.
func (n *Node) receiveAsDispatcher(now time.Time, from dispatcher.EntryID, remote bool, message wire.Message) bool {
	switch m := message.(type) {
	case wire.Register:
		if d := n.dispatcherFor(now, from, m); d != nil {
			d.Register(now, from, remote, m)
		}
	case wire.Release:
		n.release(now, from, m)
	case wire.Digest:
		n.digest(now, from, m)
	case wire.Ticket:
		if d, present := n.dispatchers[m.Pool]; present {
			d.Ticket(now, from, m.Request())
		}
	case wire.Withdraw:
		if d, present := n.dispatchers[m.Pool]; present {
			d.Withdraw(now, from, m.ID)
		}
	case wire.Finish:
		if d, present := n.dispatchers[m.Pool]; present {
			d.Finish(now, from, m)
		}
	case wire.AttemptLimit:
		if d, present := n.dispatchers[m.Pool]; present {
			d.ObserveLimit(now, m)
		}
	default:
		return false
	}
	return true
}

// dispatcherFor returns the dispatcher that a Register is for. If this daemon
// does not dispatch the pool, the entry is redirected, unless it cannot reach
// the owner; then a dispatcher is started.
func (n *Node) dispatcherFor(now time.Time, from dispatcher.EntryID, register wire.Register) *dispatcher.Dispatcher {
	if d, present := n.dispatchers[register.Pool]; present {
		return d
	}
	if !register.OwnerUnreachable {
		n.deliver(now, from.VM, wire.Reregister{Pool: register.Pool, Session: register.Session, NotOwner: true})
		return nil
	}
	return n.startDispatcher(now, register.Pool)
}

// release handles an entry's Release. It is confirmed even if the pool has no
// dispatcher here.
func (n *Node) release(now time.Time, from dispatcher.EntryID, release wire.Release) {
	if d, present := n.dispatchers[release.Pool]; present {
		d.Release(now, from, release)
		return
	}
	n.deliver(now, from.VM, wire.Released{Pool: release.Pool, Session: release.Session})
}

// digest handles an entry's Digest. The entry is redirected if the pool has no
// dispatcher here.
func (n *Node) digest(now time.Time, from dispatcher.EntryID, digest wire.Digest) {
	if d, present := n.dispatchers[digest.Pool]; present {
		d.Digest(now, from, digest)
		return
	}
	n.deliver(now, from.VM, wire.Reregister{Pool: digest.Pool, Session: digest.Session, NotOwner: true})
}

// receiveAsEntry handles a message to the entry from a dispatcher of this data
// centre.
func (n *Node) receiveAsEntry(now time.Time, from version.VMID, message wire.Message) {
	switch m := message.(type) {
	case wire.Grant:
		n.entry.Grant(from, m)
	case wire.Refuse:
		n.entry.Refuse(from, m)
	case wire.Released:
		n.entry.Released(now, from, m)
	case wire.Reregister:
		n.entry.Reregister(now, from, m)
	}
}

// receiveFromPeer handles a message from a dispatcher of another data centre. A
// grant for a pool that has no dispatcher here is handed back.
func (n *Node) receiveFromPeer(now time.Time, from version.VMID, message wire.Message) {
	pool, addressed := poolOf(message)
	if !addressed {
		return
	}
	if d, present := n.dispatchers[pool]; present {
		d.ReceiveFromPeer(now, from, message)
		return
	}
	if grant, isGrant := message.(wire.Grant); isGrant {
		n.deliver(now, from, wire.Finish{
			ID:       grant.ID,
			Attempt:  grant.Attempt,
			Pool:     grant.Pool,
			Upstream: grant.Upstream,
			Outcome:  request.OutcomeUnused,
			Session:  grant.Session,
		})
	}
}

// poolOf returns the pool of a message between dispatchers, and false for any
// other message.
func poolOf(message wire.Message) (version.PoolID, bool) {
	switch m := message.(type) {
	case wire.Grant:
		return m.Pool, true
	case wire.Refuse:
		return m.Pool, true
	case wire.Released:
		return m.Pool, true
	case wire.Reregister:
		return m.Pool, true
	case wire.VacancyRequest:
		return m.Pool, true
	case wire.Vacancy:
		return m.Pool, true
	default:
		return 0, false
	}
}
