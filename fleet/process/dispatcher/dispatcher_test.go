package dispatcher

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var (
	poolID = version.NewPoolID("polish")
	start  = time.UnixMilli(1000)
	entryA = EntryID{VM: "vm-a", Incarnation: 1}
)

// fixture is a dispatcher with one registered entry and a number of upstreams
// and accounts; all slots are usable. team and lentShare are set on the
// upstreams.
type fixture struct {
	*Dispatcher
	now       time.Time
	accounts  []version.AccountID
	team      string
	lentShare float64
}

func (f *fixture) config(upstreams, accounts, slotsEach int) *version.Config {
	config := &version.Config{
		Accounts:    make(map[version.AccountID]*version.Account),
		Pools:       map[version.PoolID]*version.Pool{poolID: {ID: poolID, ExpectedFirstToken: time.Second}},
		Upstreams:   make(map[version.UpstreamID]*version.Upstream),
		DataCentres: map[version.DataCentreID]*version.DataCentre{"north": {ID: "north"}},
	}
	for i := range upstreams {
		id := version.UpstreamID(i + 1)
		config.Upstreams[id] = &version.Upstream{
			ID: id, Pool: poolID, DataCentre: "north", Team: f.team, LentShare: f.lentShare,
			ColdLimit: slotsEach, WarmLimit: slotsEach,
		}
	}
	for i := range accounts {
		id := version.AccountID(i + 1)
		config.Accounts[id] = &version.Account{ID: id, Weight: 1, MaxWaiting: 1 << 20}
		f.accounts = append(f.accounts, id)
	}
	return config
}

// newFixture starts a dispatcher whose upstreams lend all slots to any team.
func newFixture(upstreams, accounts, slotsEach int) *fixture {
	f := &fixture{now: start, lentShare: 1}
	f.start(f.config(upstreams, accounts, slotsEach))
	return f
}

func (f *fixture) start(config *version.Config) {
	var session wire.Session
	meter := service.NewMeter()
	meter.Configure(config)
	f.Dispatcher = New(f.now, Options{
		Pool: poolID, DataCentre: "north", Meter: meter,
		NextSession: func() wire.Session { session++; return session },
		Timeline:    timeline.New("vm-a", 16),
	})
	f.SetOwner(f.now, true)
	f.SetMembers(f.now, []slots.Member{{VM: entryA.VM, Live: true}})
	f.Configure(f.now, config)
	f.register(1)
}

// register registers the entry in one part with the given waiting tickets.
func (f *fixture) register(session wire.Session, waiting ...wire.Ticket) {
	f.Register(f.now, entryA, false, wire.Register{
		Pool: poolID, Session: session, Parts: 1, Exclusive: true, Waiting: waiting,
	})
}

// ticket submits a waiting ticket of an account chosen by its ID.
func (f *fixture) ticket(id int) {
	f.Ticket(f.now, entryA, request.Ticket{
		ID: request.ID(id), Account: f.accounts[id%len(f.accounts)], Pool: poolID,
		Estimate: 100, Wait: time.Minute, Attempt: 1,
	})
}

// takeGrants empties the outbox and returns the grants in it.
func (f *fixture) takeGrants() []wire.Grant {
	var grants []wire.Grant
	for _, send := range f.Outbox() {
		if grant, isGrant := send.Message.(wire.Grant); isGrant {
			grants = append(grants, grant)
		}
	}
	return grants
}

func (f *fixture) finish(grant wire.Grant, outcome request.Outcome) {
	f.Finish(f.now, entryA, wire.Finish{
		ID: grant.ID, Attempt: grant.Attempt, Pool: poolID, Upstream: grant.Upstream, Outcome: outcome,
		FirstTokenMillis: 1, Cost: 100,
	})
}

// usedSlots returns the number of used slots at all upstreams.
func (f *fixture) usedSlots() int {
	total := 0
	for _, upstream := range f.Upstreams(f.now) {
		total += upstream.Used
	}
	return total
}

// A registration that is added to the entry's earlier one, instead of replacing
// it, would leave requests queued or slots used that the entry no longer holds.
func TestRegisterReplacesEarlierStateOfEntry(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.ticket(2)
	f.ticket(3)
	f.takeGrants()
	ticket := wire.Ticket{ID: 3, Account: f.accounts[0], Pool: poolID, WaitMillis: 60_000, Attempt: 1}
	f.register(2, ticket)
	grants := f.takeGrants()
	if f.Waiting() != 0 || len(grants) != 1 || grants[0].ID != 3 {
		t.Errorf("%d waiting and grants %+v, want only request 3 granted in the freed slot", f.Waiting(), grants)
	}
	if f.usedSlots() != 1 {
		t.Errorf("%d slots used, want 1", f.usedSlots())
	}
}

// A long registration arrives in several messages, in any order. Applying one
// part alone would free the slots of requests that another part lists as
// running.
func TestRegisterInPartsAppliesOnceComplete(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.takeGrants()
	part := wire.Register{Pool: poolID, Session: 2, Parts: 2, Exclusive: true}
	part.Running = []wire.Running{{ID: 1, Account: f.accounts[0], Attempt: 1, Upstream: 1}}
	second := part
	second.Part, second.Running = 1, nil
	f.Register(f.now, entryA, false, second)
	if f.usedSlots() != 1 {
		t.Error("one of two parts replaced the registered requests")
	}
	f.Register(f.now, entryA, false, part)
	f.ticket(2)
	if f.usedSlots() != 1 || len(f.takeGrants()) != 0 {
		t.Error("the running request lost its slot when all parts had arrived")
	}
}

// A Register that arrives late must not undo a later one.
func TestRegisterOfOlderSessionIsIgnored(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.register(5)
	f.ticket(1)
	f.register(4)
	if f.usedSlots() != 1 {
		t.Errorf("%d slots used after a Register of an older session, want 1", f.usedSlots())
	}
}

// An entry that registers again hands back a grant of its earlier session. If
// the request was granted again meanwhile, the hand-back must not free the slot
// of the later grant.
func TestHandBackOfEarlierSessionIsIgnored(t *testing.T) {
	f := newFixture(1, 1, 2)
	f.ticket(1)
	first := f.takeGrants()[0]
	f.register(2, wire.Ticket{ID: 1, Account: f.accounts[0], Pool: poolID, WaitMillis: 60_000, Attempt: 1})
	if len(f.takeGrants()) != 1 {
		t.Fatal("request was not granted again in the new session")
	}
	f.Finish(f.now, entryA, wire.Finish{
		ID: 1, Attempt: 1, Pool: poolID, Upstream: first.Upstream,
		Outcome: request.OutcomeUnused, Session: first.Session,
	})
	if f.usedSlots() != 1 {
		t.Errorf("%d slots used, want 1 for the later grant", f.usedSlots())
	}
}

// A lost grant would occupy a slot as long as the entry is registered. The
// digest shows the loss, but a grant sent since the digest before may still be
// under way.
func TestDigestDetectsLostGrant(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.takeGrants() // The grant is lost.
	digest := wire.Digest{Pool: poolID, Session: 1, Held: 1, Hash: wire.HoldHash(1, 1, false)}
	f.Digest(f.now, entryA, digest)
	if reregisterSent(f.Outbox()) {
		t.Error("asked the entry to register again while the grant may be under way")
	}
	f.Digest(f.now.Add(time.Second), entryA, digest)
	if !reregisterSent(f.Outbox()) {
		t.Error("the lost grant was not detected")
	}
}

// A lost finish would occupy a slot as long as the entry is registered. The
// digest then lists fewer requests than the dispatcher holds.
func TestDigestDetectsLostFinish(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.takeGrants()
	f.Digest(f.now, entryA, wire.Digest{Pool: poolID, Session: 1, Received: 1})
	if !reregisterSent(f.Outbox()) {
		t.Error("the lost finish was not detected")
	}
}

// reregisterSent reports whether the outbox asks an entry to register again.
func reregisterSent(outbox []Send) bool {
	for _, send := range outbox {
		if _, isReregister := send.Message.(wire.Reregister); isReregister {
			return true
		}
	}
	return false
}

// A dispatcher that lost ownership must not keep entries or their tickets,
// except those of entries that cannot reach the owner.
func TestNonOwnerRedirectsEntries(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.ticket(2)
	f.Outbox()
	f.SetOwner(f.now, false)
	if !reregisterSent(f.Outbox()) || f.Waiting() != 0 || f.Entries() != 0 {
		t.Errorf("%d waiting, %d entries after the loss of ownership, want none and a redirect", f.Waiting(), f.Entries())
	}
	f.register(2)
	if f.Entries() != 0 {
		t.Error("registered an entry that did not report the owner as unreachable")
	}
	f.Register(f.now, entryA, false, wire.Register{Pool: poolID, Session: 3, Parts: 1, OwnerUnreachable: true})
	if f.Entries() != 1 {
		t.Error("did not register an entry that cannot reach the owner")
	}
}

// An entry whose registration has expired may be registered elsewhere, so it
// must get no grant here.
func TestExpiredRegistrationGetsNoGrants(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.now = f.now.Add(Lease + 1)
	f.Tick(f.now)
	f.ticket(1)
	if f.Waiting() != 0 || len(f.takeGrants()) != 0 {
		t.Error("a ticket of an entry whose registration expired was accepted")
	}
}

// Waiting tickets of other teams must neither take the slots that a team keeps
// back nor block that team's own tickets behind them.
func TestReservedSlotsAreSkippedForOtherTeams(t *testing.T) {
	f := &fixture{now: start, team: "owners", lentShare: 0}
	config := f.config(1, 2, 2)
	config.Accounts[f.accounts[1]].Team = "owners"
	f.start(config)
	f.ticket(0)
	f.ticket(2)
	f.ticket(1)
	grants := f.takeGrants()
	if len(grants) != 1 || grants[0].ID != 1 {
		t.Errorf("grants %+v, want only the owning team's ticket granted", grants)
	}
}

// A peer's grant that arrives twice must be passed on to the entry only once.
func TestSpilledTicketIsGrantedOnce(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.SetPeers(f.now, []Peer{{DataCentre: "south", VM: "vm-s", Distance: 1}})
	f.ticket(1)
	f.ticket(2)
	f.Outbox()
	f.ReceiveFromPeer(f.now, "vm-s", wire.Vacancy{Pool: poolID, Free: 1})
	f.Tick(f.now)
	var placed wire.Ticket
	var session wire.Session
	for _, send := range f.Outbox() {
		if ticket, isTicket := send.Message.(wire.Ticket); isTicket && send.To == "vm-s" {
			placed = ticket
		}
	}
	for _, p := range f.peers {
		session = 1
		if p.proxy.Dispatcher(poolID) != "vm-s" {
			t.Fatal("dispatcher is not registered with the peer")
		}
	}
	grant := wire.Grant{ID: placed.ID, Attempt: placed.Attempt, Pool: poolID, Upstream: 99, Session: session}
	f.ReceiveFromPeer(f.now, "vm-s", grant)
	f.ReceiveFromPeer(f.now, "vm-s", grant)
	if grants := f.takeGrants(); len(grants) != 1 || grants[0].Upstream != 99 {
		t.Errorf("grants %+v, want one at the peer's upstream 99", grants)
	}
	if f.Waiting() != 0 || f.Offered() != 0 {
		t.Errorf("%d waiting and %d offered after the grant, want none", f.Waiting(), f.Offered())
	}
}

// newBacklogged returns a fixture of the size of the decision benchmark: 80
// upstreams whose slots are all taken and 100 accounts with waiting tickets. It
// also returns the grants and the next ticket ID.
func newBacklogged() (*fixture, []wire.Grant, int) {
	const upstreams, accounts, slotsEach, waiting = 80, 100, 8, 10
	f := newFixture(upstreams, accounts, slotsEach)
	next := 0
	for range upstreams*slotsEach + accounts*waiting {
		f.ticket(next)
		next++
	}
	return f, f.takeGrants(), next
}

// finishAndGrant submits one ticket, finishes one running request and takes the
// resulting grant.
func finishAndGrant(f *fixture, running []wire.Grant, next int) {
	f.ticket(next)
	i := next % len(running)
	f.finish(running[i], request.OutcomeDone)
	running[i] = f.takeGrants()[0]
}

// maxAllocations bounds the allocations of a ticket, its grant and its finish.
const maxAllocations = 12

func TestTicketGrantAndFinishStayWithinAllocationBound(t *testing.T) {
	f, running, next := newBacklogged()
	got := testing.AllocsPerRun(2000, func() {
		finishAndGrant(f, running, next)
		next++
	})
	if got > maxAllocations {
		t.Errorf("%.1f allocations per ticket, grant and finish, limit %d", got, maxAllocations)
	}
}

// BenchmarkDecision measures one ticket, one finish and the resulting grant
// under backlog.
func BenchmarkDecision(b *testing.B) {
	f, running, next := newBacklogged()
	b.ReportAllocs()
	for b.Loop() {
		finishAndGrant(f, running, next)
		next++
	}
}

// BenchmarkRegister measures a registration with 100 waiting tickets that
// replaces an earlier one.
func BenchmarkRegister(b *testing.B) {
	f, _, _ := newBacklogged()
	for session := wire.Session(2); b.Loop(); session++ {
		var waiting []wire.Ticket
		for id := range 100 {
			waiting = append(waiting, wire.Ticket{ID: request.ID(id), Account: f.accounts[id], Pool: poolID, WaitMillis: 60_000, Attempt: 1})
		}
		f.register(session, waiting...)
		f.Outbox()
	}
}

// An upstream that is ejected after a refusal must show in the timeline.
func TestUpstreamStateChangesAreOnTheTimeline(t *testing.T) {
	f := newFixture(1, 1, 1)
	f.ticket(1)
	f.finish(f.takeGrants()[0], request.OutcomeRefused)
	f.Tick(f.now)
	events := f.options.Timeline.Events()
	last := events[len(events)-1]
	if last.Kind != timeline.KindUpstream || last.Detail != "ejected" {
		t.Errorf("last event %+v, want the upstream ejected", last)
	}
}
