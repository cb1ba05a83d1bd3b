// Package dispatcher assigns the waiting tickets of one pool to the upstreams
// of one data centre.
//
// A ticket is a request that waits at an entry, which is the daemon that
// received it from its caller. A grant gives the ticket a slot at an upstream.
// A ticket that finds no free slot in this data centre may spill to the
// dispatcher of the same pool in another one.
//
// All state is soft: a successor rebuilds it from what the entries register. A
// dispatcher of another data centre registers the tickets that it places here
// in the same way as an entry does.
package dispatcher

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// EntryID identifies one incarnation of a daemon that holds requests.
type EntryID struct {
	VM          version.VMID
	Incarnation uint64
}

// Send is a message addressed to another daemon, or to this one.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Options configure a Dispatcher.
type Options struct {
	Pool       version.PoolID
	DataCentre version.DataCentreID
	Queue      queue.Options
	// Meter charges granted tickets to their accounts and provides the service
	// levels over the whole fleet.
	Meter *service.Meter
	// NextSession returns a session number greater than any that it returned
	// before in this process.
	NextSession func() wire.Session
	// Timeline records the dispatcher's events; it must not be nil.
	Timeline *timeline.Ring
}

// Dispatcher owns one queue and one slot table. It is not safe for concurrent
// use.
//
// Invariants: a request that an entry holds is in exactly one place: the queue,
// an offer to another data centre, or a slot; and it is granted at most once
// per session of its entry's registration.
type Dispatcher struct {
	options Options
	config  *version.Config
	queue   *queue.Queue
	slots   *slots.Table
	// owner is set while this daemon considers itself the pool's owner.
	owner         bool
	registrations map[version.VMID]*registration
	// order holds the registrations sorted by VM.
	order     []*registration
	peers     []*peer
	levelRise levelRise
	// rotation changes with each vacancy report, so that the peers take turns
	// at the free slots that can't be divided evenly among them.
	rotation int
	counts   Counts
	outbox   []Send
}

// Counts holds a dispatcher's counters since it started.
type Counts struct {
	Granted    uint64
	HandedBack uint64
	Spilled    uint64
	Refused    uint64
}

// New returns a dispatcher without upstreams.
func New(now time.Time, options Options) *Dispatcher {
	return &Dispatcher{
		options:       options,
		queue:         queue.New(options.Queue, options.Meter),
		slots:         slots.New(now),
		registrations: make(map[version.VMID]*registration),
	}
}

// Configure applies a configuration version. Only upstreams of the own pool and
// data centre that are not out of service get slots.
func (d *Dispatcher) Configure(now time.Time, config *version.Config) {
	d.config = config
	var upstreams []*version.Upstream
	for _, upstream := range config.Upstreams {
		local := upstream.Pool == d.options.Pool && upstream.DataCentre == d.options.DataCentre
		if local && !config.UpstreamOut(upstream) {
			upstreams = append(upstreams, upstream)
		}
	}
	slices.SortFunc(upstreams, func(a, b *version.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	d.slots.Configure(now, d.expectedFirstToken(), upstreams)
	d.grant(now)
}

// SetMembers replaces the VMs of the data centre that may own slots.
func (d *Dispatcher) SetMembers(now time.Time, members []slots.Member) {
	d.slots.SetMembers(now, members)
	d.grant(now)
}

// SetOwner sets whether this daemon is the pool's owner. A dispatcher that is
// not the owner keeps only the registrations of entries that cannot reach the
// owner; it drops the others, with their requests, and redirects them.
func (d *Dispatcher) SetOwner(now time.Time, owner bool) {
	d.owner = owner
	if owner {
		return
	}
	for _, r := range slices.Clone(d.order) {
		if !r.ownerUnreachable {
			d.redirect(now, r.entry, r.session)
		}
	}
}

// redirect drops an entry's registration and tells the entry to register with
// the pool's owner.
func (d *Dispatcher) redirect(now time.Time, from EntryID, session wire.Session) {
	if r, present := d.registrations[from.VM]; present && r.entry == from {
		d.dropRegistration(now, r, false, false)
	}
	d.send(from.VM, wire.Reregister{Pool: d.options.Pool, Session: session, NotOwner: true})
}

// Idle reports whether the dispatcher is neither the pool's owner nor has any
// registered entry, so that it may be stopped.
func (d *Dispatcher) Idle() bool { return !d.owner && len(d.order) == 0 }

// Ticket adds a waiting request. A further attempt replaces an earlier attempt
// of the same request.
func (d *Dispatcher) Ticket(now time.Time, from EntryID, ticket request.Ticket) {
	r := d.findRegistration(from)
	if r == nil {
		return
	}
	r.lastReceived = now
	if held, present := r.held[ticket.ID]; present {
		if held.attempt >= ticket.Attempt {
			return // A duplicate message.
		}
		d.removeRequest(now, r, ticket.ID, held)
	}
	d.enqueue(now, r, ticket)
	d.grant(now)
}

// Withdraw removes a waiting request. A running one is not affected.
func (d *Dispatcher) Withdraw(now time.Time, from EntryID, id request.ID) {
	r := d.findRegistration(from)
	if r == nil {
		return
	}
	r.lastReceived = now
	if held, present := r.held[id]; present && held.state != running {
		d.removeRequest(now, r, id, held)
	}
}

// Finish frees the slot of a finished attempt and grants it again. A grant of
// an earlier session that is handed back unused is ignored, since the same
// request may run by a grant of a later session.
func (d *Dispatcher) Finish(now time.Time, from EntryID, message wire.Finish) {
	r := d.findRegistration(from)
	if r != nil {
		r.lastReceived = now
	}
	finish := message.Request()
	if finish.Outcome == request.OutcomeUnused {
		d.counts.HandedBack++
		d.record(now, timeline.KindHandedBack, requestKey(from, finish.ID), timeline.Event{Upstream: finish.Upstream})
		if r == nil || message.Session != 0 && message.Session != r.session {
			return
		}
	}
	d.finish(now, from, r, finish)
	d.grant(now)
}

// finish ends an attempt and frees its slot, whether it is here or at a peer.
func (d *Dispatcher) finish(now time.Time, from EntryID, r *registration, finish request.Finish) {
	key := requestKey(from, finish.ID)
	var held heldRequest
	if r != nil {
		held = r.held[finish.ID]
	}
	matchesGrant := held.state == running && held.attempt == finish.Attempt && held.upstream == finish.Upstream
	if matchesGrant {
		delete(r.held, finish.ID)
	}
	d.options.Meter.Finish(service.AttemptKey{Key: key, Attempt: finish.Attempt}, finish.Cost, finish.Outcome)
	if matchesGrant && held.peer != nil {
		held.peer.finish(now, held.placedID, finish, d.expectedFirstToken())
		return
	}
	d.slots.Release(now, slots.Hold{Key: key, Attempt: finish.Attempt}, finish)
}

// ReportLoad applies an upstream's load report.
func (d *Dispatcher) ReportLoad(now time.Time, upstream version.UpstreamID, load slots.Load) {
	d.slots.Report(now, upstream, load)
	d.grant(now)
}

// ObserveLimit applies what an answer says of its upstream's limit. The limit of an upstream in
// another data centre is passed on to its dispatcher there.
func (d *Dispatcher) ObserveLimit(now time.Time, message wire.AttemptLimit) {
	report := message.Limit
	if p := d.peerOf(report.Upstream); p != nil {
		p.proxy.ObserveLimit(now, d.options.Pool, report.Upstream, report.Age(), report.RateLimit())
		return
	}
	d.slots.ObserveLimit(now, report.Upstream, report.Age(), report.RateLimit())
	d.grant(now)
}

// LoadUnsupported records that an upstream does not report its load.
func (d *Dispatcher) LoadUnsupported(now time.Time, upstream version.UpstreamID) {
	d.slots.NoReport(now, upstream)
	d.grant(now)
}

// Polls returns the upstreams whose load is due to be polled.
func (d *Dispatcher) Polls(now time.Time) []version.UpstreamID { return d.slots.DuePolls(now) }

// Tick refuses the tickets whose maximum wait has passed, drops the
// registrations that were not renewed, and advances all other timers.
func (d *Dispatcher) Tick(now time.Time) {
	d.expireRegistrations(now)
	for _, item := range d.queue.Expired(now) {
		d.dropAndRefuse(now, item, request.ReasonDeadline)
	}
	d.slots.Tick(now)
	d.recordUpstreamChanges(now)
	d.tickPeers(now)
	d.grant(now)
}

// Outbox removes and returns the messages to send.
func (d *Dispatcher) Outbox() []Send {
	d.drainPeers()
	out := d.outbox
	d.outbox = nil
	return out
}

// sendRefusal tells a ticket's entry that the ticket is refused.
func (d *Dispatcher) sendRefusal(now time.Time, r *registration, item queue.Item, reason request.Reason) {
	d.counts.Refused++
	r.repliesSent++
	d.record(now, timeline.KindRefused, item.Key, timeline.Event{Account: item.Ticket.Account, Detail: string(reason)})
	d.send(r.entry.VM, wire.Refuse{
		ID:               item.Key.ID,
		Pool:             d.options.Pool,
		Reason:           reason,
		RetryAfterMillis: uint32(d.queue.RetryAfter(now, item.Ticket.Account).Milliseconds()),
		Session:          r.session,
	})
}

func (d *Dispatcher) send(to version.VMID, message wire.Message) {
	d.outbox = append(d.outbox, Send{To: to, Message: message})
}

// record adds an event of this pool to the timeline.
func (d *Dispatcher) record(now time.Time, kind timeline.Kind, key request.Key, event timeline.Event) {
	event.Kind = kind
	event.Request = key
	event.Pool = d.options.Pool
	d.options.Timeline.Record(now, event)
}

// recordUpstreamChanges adds an event to the timeline for each upstream that
// became cold or warm, or was ejected or used again.
func (d *Dispatcher) recordUpstreamChanges(now time.Time) {
	for _, upstream := range d.slots.Changed(now) {
		detail := "warm"
		switch {
		case upstream.Ejected:
			detail = "ejected"
		case upstream.Cold:
			detail = "cold"
		}
		d.record(now, timeline.KindUpstream, request.Key{}, timeline.Event{Upstream: upstream.Upstream, Detail: detail})
	}
}

// account returns an account's configuration, or nil.
func (d *Dispatcher) account(id version.AccountID) *version.Account {
	if d.config == nil {
		return nil
	}
	return d.config.Accounts[id]
}

// team returns an account's team, or "".
func (d *Dispatcher) team(id version.AccountID) string {
	if account := d.account(id); account != nil {
		return account.Team
	}
	return ""
}

// expectedFirstToken returns the first-token time of a healthy upstream of the
// pool, or 0 if it is not configured.
func (d *Dispatcher) expectedFirstToken() time.Duration {
	if d.config != nil {
		if pool, present := d.config.Pools[d.options.Pool]; present {
			return pool.ExpectedFirstToken
		}
	}
	return 0
}

// isLocal reports whether an upstream is in this data centre. An upstream
// without configuration counts as local.
func (d *Dispatcher) isLocal(id version.UpstreamID) bool {
	if d.config == nil {
		return true
	}
	upstream, present := d.config.Upstreams[id]
	return !present || upstream.DataCentre == d.options.DataCentre
}

// rebuildOrder sorts the registrations by VM into order.
func (d *Dispatcher) rebuildOrder() {
	d.order = d.order[:0]
	for _, r := range d.registrations {
		d.order = append(d.order, r)
	}
	slices.SortFunc(d.order, func(a, b *registration) int {
		return strings.Compare(string(a.entry.VM), string(b.entry.VM))
	})
}

// requestKey returns the fleet-wide key of an entry's request.
func requestKey(entry EntryID, id request.ID) request.Key {
	return request.Key{Entry: entry.VM, Incarnation: entry.Incarnation, ID: id}
}
