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
	entryA = Entry{VM: "vm-a", Incarnation: 1}
)

// setting is a dispatcher with one entry and a number of upstreams and
// accounts; every slot is usable.
type setting struct {
	*Dispatcher
	now      time.Time
	accounts []version.AccountID
	team     string
	lent     float64
}

func (s *setting) config(upstreams, accounts, slotsEach int) *version.Config {
	config := &version.Config{
		Accounts:    make(map[version.AccountID]*version.Account),
		Pools:       map[version.PoolID]*version.Pool{poolID: {ID: poolID, ExpectedFirstToken: time.Second}},
		Upstreams:   make(map[version.UpstreamID]*version.Upstream),
		DataCentres: map[version.DataCentreID]*version.DataCentre{"north": {ID: "north"}},
	}
	for i := range upstreams {
		id := version.UpstreamID(i + 1)
		config.Upstreams[id] = &version.Upstream{
			ID: id, Pool: poolID, DataCentre: "north", Team: s.team, LentShare: s.lent,
			ColdLimit: slotsEach, WarmLimit: slotsEach,
		}
	}
	for i := range accounts {
		id := version.AccountID(i + 1)
		config.Accounts[id] = &version.Account{ID: id, Weight: 1, MaxWaiting: 1 << 20}
		s.accounts = append(s.accounts, id)
	}
	return config
}

func newSetting(upstreams, accounts, slotsEach int) *setting {
	s := &setting{now: start, lent: 1}
	s.start(s.config(upstreams, accounts, slotsEach))
	return s
}

func (s *setting) start(config *version.Config) {
	var session wire.Session
	meter := service.NewMeter()
	meter.Configure(config)
	s.Dispatcher = New(s.now, Options{
		Pool: poolID, DataCentre: "north", Meter: meter,
		NextSession: func() wire.Session { session++; return session },
		Timeline:    timeline.New("vm-a", 16),
	})
	s.SetOwner(s.now, true)
	s.SetMembers(s.now, []slots.Member{{VM: entryA.VM, Live: true}})
	s.Configure(s.now, config)
	s.register(1)
}

func (s *setting) register(session wire.Session, waiting ...wire.Ticket) {
	s.Register(s.now, entryA, false, wire.Register{
		Pool: poolID, Session: session, Parts: 1, Clean: true, Waiting: waiting,
	})
}

func (s *setting) ticket(id int) {
	s.Ticket(s.now, entryA, request.Ticket{
		ID: request.ID(id), Account: s.accounts[id%len(s.accounts)], Pool: poolID,
		Estimate: 100, Wait: time.Minute, Attempt: 1,
	})
}

// grants takes out the grants in the outbox.
func (s *setting) grants() []wire.Grant {
	var grants []wire.Grant
	for _, send := range s.Outbox() {
		if grant, isGrant := send.Message.(wire.Grant); isGrant {
			grants = append(grants, grant)
		}
	}
	return grants
}

func (s *setting) finish(grant wire.Grant, outcome request.Outcome) {
	s.Finish(s.now, entryA, wire.Finish{
		ID: grant.ID, Attempt: grant.Attempt, Pool: poolID, Upstream: grant.Upstream, Outcome: outcome,
		FirstTokenMillis: 1, Cost: 100,
	})
}

func (s *setting) used() int {
	total := 0
	for _, upstream := range s.Upstreams(s.now) {
		total += upstream.Used
	}
	return total
}

func TestRegisterReplacesWhatIsKnownOfAnEntry(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.ticket(2)
	s.ticket(3)
	s.grants()
	ticket := wire.Ticket{ID: 3, Account: s.accounts[0], Pool: poolID, WaitMillis: 60_000, Attempt: 1}
	s.register(2, ticket)
	grants := s.grants()
	if s.Waiting() != 0 || len(grants) != 1 || grants[0].ID != 3 {
		t.Errorf("%d waiting and grants %+v, want 3 granted in the freed slot", s.Waiting(), grants)
	}
	if s.used() != 1 {
		t.Errorf("%d slots used, want 1", s.used())
	}
}

func TestRegisterInPartsCountsOnceItIsWhole(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.grants()
	part := wire.Register{Pool: poolID, Session: 2, Parts: 2, Clean: true}
	part.Running = []wire.Running{{ID: 1, Account: s.accounts[0], Attempt: 1, Upstream: 1}}
	second := part
	second.Part, second.Running = 1, nil
	s.Register(s.now, entryA, false, second)
	if s.used() != 1 {
		t.Error("a part alone replaced what was known")
	}
	s.Register(s.now, entryA, false, part)
	s.ticket(2)
	if s.used() != 1 || len(s.grants()) != 0 {
		t.Error("the running request lost its slot")
	}
}

func TestOldRegisterIsIgnored(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.register(5)
	s.ticket(1)
	s.register(4)
	if s.used() != 1 {
		t.Errorf("%d slots used after an older register, want 1", s.used())
	}
}

func TestGrantOfAnEarlierSessionIsNotHandedBackTwice(t *testing.T) {
	s := newSetting(1, 1, 2)
	s.ticket(1)
	first := s.grants()[0]
	s.register(2, wire.Ticket{ID: 1, Account: s.accounts[0], Pool: poolID, WaitMillis: 60_000, Attempt: 1})
	if len(s.grants()) != 1 {
		t.Fatal("not granted again")
	}
	s.Finish(s.now, entryA, wire.Finish{
		ID: 1, Attempt: 1, Pool: poolID, Upstream: first.Upstream,
		Outcome: request.OutcomeUnused, Session: first.Session,
	})
	if s.used() != 1 {
		t.Errorf("%d slots used, want 1: the later grant runs", s.used())
	}
}

func TestLostGrantIsFoundByTheDigest(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.grants() // Lost.
	digest := wire.Digest{Pool: poolID, Session: 1, Held: 1, Hash: wire.HoldHash(1, 1, false)}
	s.Digest(s.now, entryA, digest)
	if asked(s.Outbox()) {
		t.Error("asked again while the grant may be under way")
	}
	s.Digest(s.now.Add(time.Second), entryA, digest)
	if !asked(s.Outbox()) {
		t.Error("the lost grant was not noticed")
	}
}

func TestLostFinishIsFoundByTheDigest(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.grants()
	s.Digest(s.now, entryA, wire.Digest{Pool: poolID, Session: 1, Seen: 1})
	if !asked(s.Outbox()) {
		t.Error("the lost finish was not noticed")
	}
}

func asked(outbox []Send) bool {
	for _, send := range outbox {
		if _, again := send.Message.(wire.Reregister); again {
			return true
		}
	}
	return false
}

func TestDispatcherThatIsNotTheOwnerSendsEntriesAway(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.ticket(2)
	s.Outbox()
	s.SetOwner(s.now, false)
	if !asked(s.Outbox()) || s.Waiting() != 0 || s.Entries() != 0 {
		t.Errorf("%d waiting, %d entries", s.Waiting(), s.Entries())
	}
	s.register(2)
	if s.Entries() != 0 {
		t.Error("took an entry that does not insist")
	}
	s.Register(s.now, entryA, false, wire.Register{Pool: poolID, Session: 3, Parts: 1, Insist: true})
	if s.Entries() != 1 {
		t.Error("refused an entry that cannot reach the owner")
	}
}

func TestUnrenewedRegistrationGetsNothing(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.now = s.now.Add(Lease + 1)
	s.Tick(s.now)
	s.ticket(1)
	if s.Waiting() != 0 || len(s.grants()) != 0 {
		t.Error("a ticket of an entry whose registration lapsed was taken")
	}
}

func TestKeptSlotsPassByOtherTeams(t *testing.T) {
	s := &setting{now: start, team: "owners", lent: 0}
	config := s.config(1, 2, 2)
	config.Accounts[s.accounts[1]].Team = "owners"
	s.start(config)
	s.ticket(0)
	s.ticket(2)
	s.ticket(1)
	grants := s.grants()
	if len(grants) != 1 || grants[0].ID != 1 {
		t.Errorf("grants %+v, want the owning team's only", grants)
	}
}

func TestSpilledTicketIsGrantedOnce(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.SetPeers(s.now, []Peer{{DataCentre: "south", VM: "vm-s", Distance: 1}})
	s.ticket(1)
	s.ticket(2)
	s.Outbox()
	s.FromPeer(s.now, "vm-s", wire.Vacancy{Pool: poolID, Free: 1})
	s.Tick(s.now)
	var placed wire.Ticket
	var session wire.Session
	for _, send := range s.Outbox() {
		if ticket, isTicket := send.Message.(wire.Ticket); isTicket && send.To == "vm-s" {
			placed = ticket
		}
	}
	for _, p := range s.peers {
		session = 1
		if p.proxy.Dispatcher(poolID) != "vm-s" {
			t.Fatal("not registered with the peer")
		}
	}
	grant := wire.Grant{ID: placed.ID, Attempt: placed.Attempt, Pool: poolID, Upstream: 99, Session: session}
	s.FromPeer(s.now, "vm-s", grant)
	s.FromPeer(s.now, "vm-s", grant)
	if grants := s.grants(); len(grants) != 1 || grants[0].Upstream != 99 {
		t.Errorf("grants %+v, want one at the peer's upstream", grants)
	}
	if s.Waiting() != 0 || s.Offered() != 0 {
		t.Errorf("%d waiting, %d offered", s.Waiting(), s.Offered())
	}
}

// backlogged returns a setting at the size of the decision benchmark: 80
// upstreams whose slots are all taken and 100 accounts with waiting tickets.
func backlogged() (*setting, []wire.Grant, int) {
	const upstreams, accounts, slotsEach, waiting = 80, 100, 8, 10
	s := newSetting(upstreams, accounts, slotsEach)
	next := 0
	for range upstreams*slotsEach + accounts*waiting {
		s.ticket(next)
		next++
	}
	return s, s.grants(), next
}

// exchange is one ticket, one finish and the grant that follows.
func exchange(s *setting, running []wire.Grant, next int) {
	s.ticket(next)
	i := next % len(running)
	s.finish(running[i], request.OutcomeDone)
	running[i] = s.grants()[0]
}

// maxAllocations bounds the allocations of a ticket, its grant and its finish.
const maxAllocations = 12

func TestExchangeAllocatesLittle(t *testing.T) {
	s, running, next := backlogged()
	got := testing.AllocsPerRun(2000, func() {
		exchange(s, running, next)
		next++
	})
	if got > maxAllocations {
		t.Errorf("%.1f allocations per ticket, grant and finish, bound %d", got, maxAllocations)
	}
}

func BenchmarkDecision(b *testing.B) {
	s, running, next := backlogged()
	b.ReportAllocs()
	for b.Loop() {
		exchange(s, running, next)
		next++
	}
}

func BenchmarkRegister(b *testing.B) {
	s, _, _ := backlogged()
	for session := wire.Session(2); b.Loop(); session++ {
		var waiting []wire.Ticket
		for id := range 100 {
			waiting = append(waiting, wire.Ticket{ID: request.ID(id), Account: s.accounts[id], Pool: poolID, WaitMillis: 60_000, Attempt: 1})
		}
		s.register(session, waiting...)
		s.Outbox()
	}
}

func TestUpstreamsThatTurnAreOnTheTimeLine(t *testing.T) {
	s := newSetting(1, 1, 1)
	s.ticket(1)
	s.finish(s.grants()[0], request.OutcomeRefused)
	s.Tick(s.now)
	events := s.options.Timeline.Events()
	last := events[len(events)-1]
	if last.Kind != timeline.KindUpstream || last.Detail != "ejected" {
		t.Errorf("last event %+v, want the upstream ejected", last)
	}
}
