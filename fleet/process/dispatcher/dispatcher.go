// Package dispatcher decides which waiting ticket gets which upstream, for one
// pool in one data centre.
//
// All its state is soft: a successor rebuilds it from what the entries
// register. Dispatchers of the same pool in other data centres take part as
// entries do: they register what they place here.
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

// Entry names one incarnation of a daemon that holds requests.
type Entry struct {
	VM          version.VMID
	Incarnation uint64
}

// Send is a message for another daemon, or for this one.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Options set up a Dispatcher.
type Options struct {
	Pool       version.PoolID
	DataCentre version.DataCentreID
	Queue      queue.Options
	// Meter counts what is granted and gives the fleet-wide service levels.
	Meter *service.Meter
	// NextSession returns a session number higher than any before it in this
	// process.
	NextSession func() wire.Session
	// Timeline records what happens; it must not be nil.
	Timeline *timeline.Ring
}

// Dispatcher owns one queue and one slot table. It is not safe for concurrent
// use.
//
// Invariants: a request that an entry holds is in exactly one place: the
// queue, an offer to another data centre, or a slot; and it is granted at most
// once per session of its entry's registration.
type Dispatcher struct {
	options Options
	config  *version.Config
	queue   *queue.Queue
	slots   *slots.Table
	// owner is set while this daemon is the pool's owner by its own view.
	owner         bool
	registrations map[version.VMID]*registration
	// order holds the registrations by VM.
	order []*registration
	peers []*peer
	rise  rise
	// turn rotates which peers are told of the last free slots.
	turn   int
	counts Counts
	outbox []Send
}

// Counts counts what a dispatcher did since it started.
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

// Configure applies a configuration version.
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

// SetMembers sets the VMs of the data centre that may own slots.
func (d *Dispatcher) SetMembers(now time.Time, members []slots.Member) {
	d.slots.SetMembers(now, members)
	d.grant(now)
}

// SetOwner says whether this daemon is the pool's owner. One that is not keeps
// only the entries that cannot reach the owner, and sends the others away with
// what they hold.
func (d *Dispatcher) SetOwner(now time.Time, owner bool) {
	d.owner = owner
	if owner {
		return
	}
	for _, r := range slices.Clone(d.order) {
		if !r.insists {
			d.sendAway(now, r.entry, r.session)
		}
	}
}

// sendAway tells an entry to register elsewhere.
func (d *Dispatcher) sendAway(now time.Time, from Entry, session wire.Session) {
	if r, present := d.registrations[from.VM]; present && r.entry == from {
		d.drop(now, r, false, false)
	}
	d.send(from.VM, wire.Reregister{Pool: d.options.Pool, Session: session, Elsewhere: true})
}

// Idle reports whether nobody needs the dispatcher any more.
func (d *Dispatcher) Idle() bool { return !d.owner && len(d.order) == 0 }

// Ticket adds a waiting request.
func (d *Dispatcher) Ticket(now time.Time, from Entry, ticket request.Ticket) {
	r := d.registered(from)
	if r == nil {
		return
	}
	r.heard = now
	if known, present := r.held[ticket.ID]; present {
		if known.attempt >= ticket.Attempt {
			return // A duplicate.
		}
		d.forget(now, r, ticket.ID, known)
	}
	d.enqueue(now, r, ticket)
	d.grant(now)
}

// Withdraw takes a waiting request back.
func (d *Dispatcher) Withdraw(now time.Time, from Entry, id request.ID) {
	r := d.registered(from)
	if r == nil {
		return
	}
	r.heard = now
	if known, present := r.held[id]; present && known.place != running {
		d.forget(now, r, id, known)
	}
}

// Finish frees a slot and passes it on. A grant of an earlier session that is
// handed back is ignored: the same request may run by a later one.
func (d *Dispatcher) Finish(now time.Time, from Entry, message wire.Finish) {
	r := d.registered(from)
	if r != nil {
		r.heard = now
	}
	finish := message.Request()
	if finish.Outcome == request.OutcomeUnused {
		d.counts.HandedBack++
		d.record(now, timeline.KindHandedBack, keyOf(from, finish.ID), timeline.Event{Upstream: finish.Upstream})
		if r == nil || message.Session != 0 && message.Session != r.session {
			return
		}
	}
	d.finish(now, from, r, finish)
	d.grant(now)
}

// finish ends an attempt wherever it ran.
func (d *Dispatcher) finish(now time.Time, from Entry, r *registration, finish request.Finish) {
	key := keyOf(from, finish.ID)
	var known held
	if r != nil {
		known = r.held[finish.ID]
	}
	matches := known.place == running && known.attempt == finish.Attempt && known.upstream == finish.Upstream
	if matches {
		delete(r.held, finish.ID)
	}
	d.options.Meter.Finish(service.Hold{Key: key, Attempt: finish.Attempt}, finish.Cost, finish.Outcome)
	if matches && known.peer != nil {
		known.peer.end(now, known.id, finish, d.expectedFirstToken())
		return
	}
	d.slots.Release(now, slots.Hold{Key: key, Attempt: finish.Attempt}, finish)
}

// Report takes an upstream's report of its load.
func (d *Dispatcher) Report(now time.Time, upstream version.UpstreamID, load slots.Load) {
	d.slots.Report(now, upstream, load)
	d.grant(now)
}

// NoReport notes that an upstream does not report its load.
func (d *Dispatcher) NoReport(now time.Time, upstream version.UpstreamID) {
	d.slots.NoReport(now, upstream)
	d.grant(now)
}

// Polls returns the upstreams whose load is to be asked for now.
func (d *Dispatcher) Polls(now time.Time) []version.UpstreamID { return d.slots.Polls(now) }

// Tick refuses the tickets whose wait has ended and drops the registrations
// that were not renewed.
func (d *Dispatcher) Tick(now time.Time) {
	d.expireRegistrations(now)
	for _, item := range d.queue.Expired(now) {
		d.giveUp(now, item, request.ReasonDeadline)
	}
	d.slots.Tick(now)
	d.recordUpstreams(now)
	d.tickPeers(now)
	d.grant(now)
}

// Outbox takes out the messages to send.
func (d *Dispatcher) Outbox() []Send {
	d.drainPeers()
	out := d.outbox
	d.outbox = nil
	return out
}

func (d *Dispatcher) refuse(now time.Time, r *registration, item queue.Item, reason request.Reason) {
	d.counts.Refused++
	r.sent++
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

func (d *Dispatcher) record(now time.Time, kind timeline.Kind, key request.Key, event timeline.Event) {
	event.Kind = kind
	event.Request = key
	event.Pool = d.options.Pool
	d.options.Timeline.Record(now, event)
}

// recordUpstreams puts upstreams that became cold, warm, ejected or not on the
// time line.
func (d *Dispatcher) recordUpstreams(now time.Time) {
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

func (d *Dispatcher) account(id version.AccountID) *version.Account {
	if d.config == nil {
		return nil
	}
	return d.config.Accounts[id]
}

func (d *Dispatcher) team(id version.AccountID) string {
	if account := d.account(id); account != nil {
		return account.Team
	}
	return ""
}

func (d *Dispatcher) expectedFirstToken() time.Duration {
	if d.config != nil {
		if pool, present := d.config.Pools[d.options.Pool]; present {
			return pool.ExpectedFirstToken
		}
	}
	return 0
}

// local reports whether an upstream stands in this data centre.
func (d *Dispatcher) local(id version.UpstreamID) bool {
	if d.config == nil {
		return true
	}
	upstream, present := d.config.Upstreams[id]
	return !present || upstream.DataCentre == d.options.DataCentre
}

func (d *Dispatcher) sortRegistrations() {
	d.order = d.order[:0]
	for _, r := range d.registrations {
		d.order = append(d.order, r)
	}
	slices.SortFunc(d.order, func(a, b *registration) int {
		return strings.Compare(string(a.entry.VM), string(b.entry.VM))
	})
}

func keyOf(entry Entry, id request.ID) request.Key {
	return request.Key{Entry: entry.VM, Incarnation: entry.Incarnation, ID: id}
}
