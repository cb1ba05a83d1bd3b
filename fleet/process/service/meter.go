package service

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// JoinHold is how long an account still counts as backlogged after its
	// last ticket left the queue.
	JoinHold = 5 * time.Second
	// ProgressStep is the factor by which a running attempt's cost has to grow
	// before the entry reports it again.
	ProgressStep = 1.25
	// runningTimeout drops what is kept of an attempt that never ended.
	runningTimeout = time.Hour
	// changeLog is the number of changed accounts that a Levels remembers.
	changeLog = 256
)

// Hold identifies an attempt in the whole fleet.
type Hold struct {
	Key     request.Key
	Attempt request.Attempt
}

// Meter counts what one daemon's dispatchers grant and knows the accounts'
// levels. It is not safe for concurrent use.
//
// Invariant: an account's own count never falls.
type Meter struct {
	config   *version.Config
	accounts map[version.AccountID]*metered
	running  map[Hold]charge
	means    *Estimates
	changed  []version.AccountID
	// forgotten is the number of changes dropped from the front of changed.
	forgotten uint64
	swept     time.Time
}

// metered is what is kept per account.
type metered struct {
	own Count
	// elsewhere is what others counted, as far as any home said; it only
	// grows.
	elsewhere Count
	word      Word
	// lift is added to the counts while the account is backlogged here, so
	// that idleness is not saved up; shared is the largest lift elsewhere.
	lift, shared float64
	// contested is set while the account is backlogged at another daemon too.
	contested bool
	// queues counts the queues in which the account is backlogged.
	queues int
	left   time.Time
	// fresh is set once the home has spoken since the account began to count
	// as backlogged here.
	fresh bool
	// floor and start are the lowest backlogged level and the own net count
	// when the account became backlogged.
	floor, start float64
}

// charge is what was charged for a running attempt.
type charge struct {
	account version.AccountID
	lane    request.Lane
	weight  float64
	cost    request.Cost
	granted time.Time
}

// Word is what a home says of an account.
type Word struct {
	Home Source
	// Sequence orders the words of one home.
	Sequence uint64
	// Elsewhere is what was counted elsewhere than at the receiver.
	Elsewhere Count
	// Lift is the largest lift elsewhere.
	Lift float64
	// Contested is set while the account is backlogged elsewhere too.
	Contested bool
	// Partial is set by a home that may lack the sums of other data centres.
	Partial bool
}

// NewMeter returns a meter that knows no account.
func NewMeter() *Meter {
	return &Meter{
		accounts: make(map[version.AccountID]*metered),
		running:  make(map[Hold]charge),
		means:    NewEstimates(),
	}
}

// Configure applies a configuration version's weights to later charges.
func (m *Meter) Configure(config *version.Config) { m.config = config }

// Grant charges an estimate of a granted ticket: the mean of the account's
// recent requests in its lane, or the ticket's own estimate.
func (m *Meter) Grant(now time.Time, hold Hold, ticket request.Ticket) {
	if _, present := m.running[hold]; present {
		return
	}
	a := m.account(ticket.Account)
	c := charge{
		account: ticket.Account,
		lane:    ticket.Lane,
		weight:  m.weight(ticket.Account),
		cost:    m.means.Of(ticket),
		granted: now,
	}
	m.running[hold] = c
	a.own.Charged += float64(c.cost) / c.weight
	m.note(ticket.Account)
}

// Progress corrects the charge of a running attempt that has cost more than
// expected. The charge goes ahead of the cost so far by ProgressStep, when the
// entry reports again.
func (m *Meter) Progress(hold Hold, cost request.Cost) {
	c, present := m.running[hold]
	if !present || cost <= c.cost {
		return
	}
	charged := cost * ProgressStep
	m.account(c.account).own.Charged += float64(charged-c.cost) / c.weight
	c.cost = charged
	m.running[hold] = c
	m.note(c.account)
}

// Finish replaces the charge of an attempt by its true cost. An attempt that
// this meter did not charge is ignored.
func (m *Meter) Finish(hold Hold, cost request.Cost, outcome request.Outcome) {
	c, present := m.running[hold]
	if !present {
		return
	}
	delete(m.running, hold)
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
		m.means.Learn(c.account, c.lane, cost)
	}
	m.note(c.account)
}

// Level implements Levels.
func (m *Meter) Level(id version.AccountID) float64 {
	a, present := m.accounts[id]
	if !present {
		return 0
	}
	return a.level()
}

// Own returns what this meter counted for an account.
func (m *Meter) Own(id version.AccountID) Count {
	if a, present := m.accounts[id]; present {
		return a.own
	}
	return Count{}
}

// Accounts returns the accounts that this meter has counted for, in order.
func (m *Meter) Accounts() []version.AccountID { return m.ids() }

// Changes implements Levels.
func (m *Meter) Changes(cursor uint64) ([]version.AccountID, uint64, bool) {
	next := m.forgotten + uint64(len(m.changed))
	if cursor < m.forgotten {
		return nil, next, true
	}
	return m.changed[cursor-m.forgotten:], next, false
}

// Join implements Levels. An account that was idle is lifted to floor while it
// is backlogged here. Once its home has spoken, the lift is worked out anew: none
// if the account waits elsewhere too, since it was not idle then.
func (m *Meter) Join(now time.Time, id version.AccountID, floor float64) {
	a := m.account(id)
	if !a.backlogged(now) {
		a.fresh, a.lift, a.shared = false, 0, 0
	}
	a.queues++
	if a.queues > 1 {
		return
	}
	a.floor, a.start = floor, a.own.Net()
	if !a.fresh || !a.contested {
		a.fresh = false
		a.lift = math.Max(a.lift, floor-a.served())
	}
	m.note(id)
}

// Leave implements Levels.
func (m *Meter) Leave(now time.Time, id version.AccountID) {
	a := m.account(id)
	a.queues--
	a.left = now
}

// Backlogged reports whether the account waits here, or did within JoinHold.
func (m *Meter) Backlogged(now time.Time, id version.AccountID) bool {
	a, present := m.accounts[id]
	return present && a.backlogged(now)
}

// Hear applies a home's word on an account. An older word of the same home is
// ignored.
func (m *Meter) Hear(id version.AccountID, word Word) {
	a := m.account(id)
	if a.word.Home == word.Home && word.Sequence <= a.word.Sequence {
		return
	}
	a.word = word
	// A home that has just begun may know less than the one before it.
	a.elsewhere = a.elsewhere.Merge(word.Elsewhere)
	a.contested = word.Contested
	a.shared = word.Lift
	a.settle()
	a.fresh = a.fresh || word.Contested || !word.Partial
	m.note(id)
}

// Tick drops what is kept of attempts that never ended.
func (m *Meter) Tick(now time.Time) {
	if now.Sub(m.swept) < runningTimeout {
		return
	}
	m.swept = now
	for hold, c := range m.running {
		if now.Sub(c.granted) >= runningTimeout {
			delete(m.running, hold)
		}
	}
}

// settle lowers the lift to what is known by now of the level at which the
// account became backlogged.
func (a *metered) settle() {
	switch {
	case !a.contested:
		a.lift = math.Min(a.lift, math.Max(a.floor-a.start-a.elsewhere.Net(), 0))
	case !a.fresh:
		a.lift = 0
	}
}

func (a *metered) served() float64 { return a.own.Net() + a.elsewhere.Net() }

func (a *metered) level() float64 { return a.served() + math.Max(a.lift, a.shared) }

func (a *metered) backlogged(now time.Time) bool {
	return a.queues > 0 || (!a.left.IsZero() && now.Sub(a.left) < JoinHold)
}

func (m *Meter) account(id version.AccountID) *metered {
	a, present := m.accounts[id]
	if !present {
		a = &metered{}
		m.accounts[id] = a
	}
	return a
}

func (m *Meter) weight(id version.AccountID) float64 {
	if m.config == nil {
		return 1
	}
	if a, present := m.config.Accounts[id]; present {
		return a.Weight
	}
	return 1
}

// note records that an account's level may have changed.
func (m *Meter) note(id version.AccountID) {
	if len(m.changed) == changeLog {
		m.forgotten += changeLog / 2
		m.changed = append(m.changed[:0], m.changed[changeLog/2:]...)
	}
	m.changed = append(m.changed, id)
}

// ids returns the known accounts in order.
func (m *Meter) ids() []version.AccountID {
	ids := make([]version.AccountID, 0, len(m.accounts))
	for id := range m.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
