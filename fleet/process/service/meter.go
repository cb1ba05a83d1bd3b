package service

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// BacklogGrace is how long an account still counts as backlogged after its
	// last ticket left the queue.
	BacklogGrace = 5 * time.Second
	// ProgressFactor is the factor by which a running attempt's cost has to grow
	// before the entry reports it again.
	ProgressFactor = 1.25
	// runningTimeout is the age at which the charge of an attempt that was
	// never reported as finished is forgotten.
	runningTimeout = time.Hour
	// maxChanges is the number of changes that a Meter keeps for Changes.
	maxChanges = 256
)

// AttemptKey identifies an attempt in the whole fleet.
type AttemptKey struct {
	Key     request.Key
	Attempt request.Attempt
}

// Meter counts the service that one daemon's dispatchers grant and computes the
// accounts' levels. It is not safe for concurrent use.
//
// Invariant: an account's own count never decreases.
type Meter struct {
	config   *version.Config
	accounts map[version.AccountID]*meteredAccount
	// running holds the charges of the running attempts.
	running   map[AttemptKey]charge
	estimates *Estimates
	changes   []version.AccountID
	// droppedChanges is the number of changes removed from the front of
	// changes.
	droppedChanges uint64
	lastSweep      time.Time
}

// meteredAccount is the state kept per account.
type meteredAccount struct {
	// own is what this meter counted.
	own Count
	// elsewhere is what other meters counted according to the reports of homes;
	// it never decreases.
	elsewhere  Count
	lastReport LevelReport
	// lift is added to the counts while the account is backlogged here, so that
	// an idle account saves up no claim to service; liftElsewhere is the
	// largest lift at other daemons. Both are in weighted cost units.
	lift, liftElsewhere float64
	// contested is set while the account is also backlogged at another daemon.
	contested bool
	// queueCount is the number of queues in which the account is backlogged;
	// leftAt is when it last left one.
	queueCount int
	leftAt     time.Time
	// homeReported is set once, since the account became backlogged here, a
	// home has sent a complete report, or one that says that the account is
	// contested.
	homeReported bool
	// joinFloor and joinNet are the lowest backlogged level and the own net
	// count at the time at which the account became backlogged, in weighted
	// cost units.
	joinFloor, joinNet float64
}

// charge is what was charged for a running attempt. cost is in unweighted cost
// units.
type charge struct {
	account version.AccountID
	lane    request.Lane
	weight  float64
	cost    request.Cost
	granted time.Time
}

// LevelReport is a home's report on an account to a dispatcher's daemon.
type LevelReport struct {
	Home Source
	// Sequence orders the reports of one home.
	Sequence uint64
	// Elsewhere is the account's count without that of the receiver.
	Elsewhere Count
	// Lift is the largest lift at other daemons, in weighted cost units.
	Lift float64
	// Contested is set while the account is also backlogged at another daemon.
	Contested bool
	// Partial is set by a home that may lack the sums of other data centres.
	Partial bool
}

// NewMeter returns a meter without accounts.
func NewMeter() *Meter {
	return &Meter{
		accounts:  make(map[version.AccountID]*meteredAccount),
		running:   make(map[AttemptKey]charge),
		estimates: NewEstimates(),
	}
}

// Configure applies the account weights of a configuration version to later
// charges.
func (m *Meter) Configure(config *version.Config) { m.config = config }

// Grant charges the estimated cost of a granted ticket: the average of the
// account's recent requests in its lane, or the ticket's own estimate.
func (m *Meter) Grant(now time.Time, key AttemptKey, ticket request.Ticket) {
	if _, present := m.running[key]; present {
		return
	}
	a := m.account(ticket.Account)
	c := charge{
		account: ticket.Account,
		lane:    ticket.Lane,
		weight:  m.weight(ticket.Account),
		cost:    m.estimates.Of(ticket),
		granted: now,
	}
	m.running[key] = c
	a.own.Charged += float64(c.cost) / c.weight
	m.recordChange(ticket.Account)
}

// Progress raises the charge of a running attempt that has cost more than was
// charged. The new charge exceeds the cost so far by ProgressFactor, which is
// where the entry reports again.
func (m *Meter) Progress(key AttemptKey, cost request.Cost) {
	c, present := m.running[key]
	if !present || cost <= c.cost {
		return
	}
	charged := cost * ProgressFactor
	m.account(c.account).own.Charged += float64(charged-c.cost) / c.weight
	c.cost = charged
	m.running[key] = c
	m.recordChange(c.account)
}

// Finish replaces the charge of an attempt by its true cost. An attempt that
// this meter did not charge is ignored.
func (m *Meter) Finish(key AttemptKey, cost request.Cost, outcome request.Outcome) {
	c, present := m.running[key]
	if !present {
		return
	}
	delete(m.running, key)
	if outcome == request.OutcomeUnused {
		cost = 0
	}
	a := m.account(c.account)
	if cost > c.cost {
		a.own.Charged += float64(cost-c.cost) / c.weight
	} else {
		a.own.Returned += float64(c.cost-cost) / c.weight
	}
	if outcome == request.OutcomeDone {
		m.estimates.Observe(c.account, c.lane, cost)
	}
	m.recordChange(c.account)
}

// Level implements Levels.
func (m *Meter) Level(id version.AccountID) float64 {
	a, present := m.accounts[id]
	if !present {
		return 0
	}
	return a.level()
}

// OwnCount returns what this meter counted for an account.
func (m *Meter) OwnCount(id version.AccountID) Count {
	if a, present := m.accounts[id]; present {
		return a.own
	}
	return Count{}
}

// Accounts returns the accounts of this meter, in order.
func (m *Meter) Accounts() []version.AccountID { return m.ids() }

// Changes implements Levels.
func (m *Meter) Changes(cursor uint64) ([]version.AccountID, uint64, bool) {
	next := m.droppedChanges + uint64(len(m.changes))
	if cursor < m.droppedChanges {
		return nil, next, true
	}
	return m.changes[cursor-m.droppedChanges:], next, false
}

// Join implements Levels. An account that was idle is lifted to floor while it
// is backlogged here. The home's report corrects the lift: there is none if the
// account is also backlogged elsewhere, since it was not idle then.
func (m *Meter) Join(now time.Time, id version.AccountID, floor float64) {
	a := m.account(id)
	if !a.backlogged(now) {
		a.homeReported, a.lift, a.liftElsewhere = false, 0, 0
	}
	a.queueCount++
	if a.queueCount > 1 {
		return
	}
	a.joinFloor, a.joinNet = floor, a.own.Net()
	if !a.homeReported || !a.contested {
		a.homeReported = false
		a.lift = math.Max(a.lift, floor-a.served())
	}
	m.recordChange(id)
}

// Leave implements Levels.
func (m *Meter) Leave(now time.Time, id version.AccountID) {
	a := m.account(id)
	a.queueCount--
	a.leftAt = now
}

// Backlogged reports whether the account is backlogged here, or was within
// BacklogGrace.
func (m *Meter) Backlogged(now time.Time, id version.AccountID) bool {
	a, present := m.accounts[id]
	return present && a.backlogged(now)
}

// ApplyLevelReport applies a home's report on an account. A report that is not
// newer than the last one of the same home is ignored.
func (m *Meter) ApplyLevelReport(id version.AccountID, report LevelReport) {
	a := m.account(id)
	if a.lastReport.Home == report.Home && report.Sequence <= a.lastReport.Sequence {
		return
	}
	a.lastReport = report
	// A new home may know less than the one before it.
	a.elsewhere = a.elsewhere.Merge(report.Elsewhere)
	a.contested = report.Contested
	a.liftElsewhere = report.Lift
	a.adjustLift()
	a.homeReported = a.homeReported || report.Contested || !report.Partial
	m.recordChange(id)
}

// Tick forgets the charges of attempts that were never reported as finished.
func (m *Meter) Tick(now time.Time) {
	if now.Sub(m.lastSweep) < runningTimeout {
		return
	}
	m.lastSweep = now
	for key, c := range m.running {
		if now.Sub(c.granted) >= runningTimeout {
			delete(m.running, key)
		}
	}
}

// adjustLift corrects the lift with a home's report. An uncontested account
// keeps at most the gap between the floor and its level at the time at which it
// became backlogged, including what was counted elsewhere. A contested one
// loses its lift with the first report.
func (a *meteredAccount) adjustLift() {
	switch {
	case !a.contested:
		a.lift = math.Min(a.lift, math.Max(a.joinFloor-a.joinNet-a.elsewhere.Net(), 0))
	case !a.homeReported:
		a.lift = 0
	}
}

// served returns the account's net count over the whole fleet.
func (a *meteredAccount) served() float64 { return a.own.Net() + a.elsewhere.Net() }

// level returns the service level: the net count plus the larger lift.
func (a *meteredAccount) level() float64 { return a.served() + math.Max(a.lift, a.liftElsewhere) }

// backlogged reports whether the account is backlogged here, or was within
// BacklogGrace.
func (a *meteredAccount) backlogged(now time.Time) bool {
	return a.queueCount > 0 || (!a.leftAt.IsZero() && now.Sub(a.leftAt) < BacklogGrace)
}

// account returns the state of an account and creates it if needed.
func (m *Meter) account(id version.AccountID) *meteredAccount {
	a, present := m.accounts[id]
	if !present {
		a = &meteredAccount{}
		m.accounts[id] = a
	}
	return a
}

// weight returns an account's weight, or 1 if it is not configured.
func (m *Meter) weight(id version.AccountID) float64 {
	if m.config == nil {
		return 1
	}
	if a, present := m.config.Accounts[id]; present {
		return a.Weight
	}
	return 1
}

// recordChange records that an account's level may have changed.
func (m *Meter) recordChange(id version.AccountID) {
	if len(m.changes) == maxChanges {
		m.droppedChanges += maxChanges / 2
		m.changes = append(m.changes[:0], m.changes[maxChanges/2:]...)
	}
	m.changes = append(m.changes, id)
}

// ids returns the known accounts, in order.
func (m *Meter) ids() []version.AccountID {
	ids := make([]version.AccountID, 0, len(m.accounts))
	for id := range m.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
