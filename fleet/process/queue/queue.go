// Package queue orders the tickets that wait in one dispatcher.
//
// The account with the lowest service level is served first. Within an account, short
// requests go before long ones, but a waiting long request is served after
// ShortsPerLong short ones. An account that has waited without a grant for
// StarvationAge gets one grant regardless of its level.
package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Item is a waiting ticket. Its key identifies the entry that holds the request.
type Item struct {
	Key    request.Key
	Ticket request.Ticket
	// Arrived is when the request started to wait, by the local clock.
	Arrived time.Time
	// Expires is when the ticket stops waiting, by the local clock.
	Expires time.Time
}

// Refused is a ticket that the queue refused or evicted, and why.
type Refused struct {
	Item   Item
	Reason request.Reason
}

// Options configure the limits of a Queue.
type Options struct {
	// MaxTotal is the maximum number of waiting tickets; default DefaultMaxTotal.
	MaxTotal int
	// MaxPerAccount is the maximum number of waiting tickets of an account whose
	// configuration sets no limit; default DefaultMaxPerAccount.
	MaxPerAccount int
}

const (
	// DefaultMaxTotal is the default of Options.MaxTotal, in tickets.
	DefaultMaxTotal = 100_000
	// DefaultMaxPerAccount is the default of Options.MaxPerAccount, in tickets.
	DefaultMaxPerAccount = 1_000
	// ShortsPerLong is how many short tickets of an account may be granted in a row
	// while a long ticket of the account waits.
	ShortsPerLong = 4
	// StarvationAge is how long an account may wait in a queue without any grant before
	// it gets one regardless of its level.
	StarvationAge = 20 * time.Second
	// grantsPerStarvationGrant is the minimum number of grants by level between two
	// grants to starved accounts.
	grantsPerStarvationGrant = 8
)

// Queue holds waiting tickets. It is not safe for concurrent use.
//
// Invariants: a key is in the queue at most once; an account is in byLevel
// and in byGrant if and only if it has a waiting ticket.
type Queue struct {
	options  Options
	levels   service.Levels
	items    map[request.Key]*queuedTicket
	accounts map[version.AccountID]*account
	byLevel  levelHeap
	// byGrant lists the backlogged accounts, longest without a grant first.
	byGrant  grantList
	byExpiry expiryHeap
	// cursor is the position in the changes of levels.
	cursor uint64
	// remoteLowest is the level set by SetRemoteLowestLevel.
	remoteLowest float64
	// grantsByLevel counts the grants by level since the last grant to a starved
	// account.
	grantsByLevel int
	drain         drainRate
}

// New returns an empty queue ordered by levels.
func New(options Options, levels service.Levels) *Queue {
	if options.MaxTotal == 0 {
		options.MaxTotal = DefaultMaxTotal
	}
	if options.MaxPerAccount == 0 {
		options.MaxPerAccount = DefaultMaxPerAccount
	}
	return &Queue{
		options:      options,
		levels:       levels,
		items:        make(map[request.Key]*queuedTicket),
		accounts:     make(map[version.AccountID]*account),
		remoteLowest: math.Inf(1),
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a ticket. It returns the tickets that have to be refused as a result: none,
// the ticket itself, or a ticket of an account that holds more than its fair share of a
// full queue. limit is the maximum number of tickets of the account; 0 means
// Options.MaxPerAccount. A ticket that is already in the queue remains unchanged.
func (q *Queue) Push(now time.Time, item Item, limit int) []Refused {
	if _, present := q.items[item.Key]; present {
		return nil
	}
	if limit == 0 {
		limit = q.options.MaxPerAccount
	}
	a := q.accounts[item.Ticket.Account]
	if a != nil && a.len() >= limit {
		return []Refused{{Item: item, Reason: request.ReasonAccountQueueFull}}
	}
	if len(q.items) < q.options.MaxTotal {
		q.insert(now, item)
		return nil
	}
	return q.pushFull(now, item, a)
}

// pushFull adds a ticket to a full queue if its account holds less than its fair share
// and another account holds more. It evicts the youngest ticket of the account with the
// most tickets.
func (q *Queue) pushFull(now time.Time, item Item, a *account) []Refused {
	backlogged, held := len(q.accounts), 0
	if a != nil {
		held = a.len()
	} else {
		backlogged++
	}
	largest := q.largest()
	if largest == nil || held+1 > q.options.MaxTotal/backlogged || largest.len() <= held+1 {
		return []Refused{{Item: item, Reason: request.ReasonQueueFull}}
	}
	youngest := largest.youngest()
	q.remove(now, youngest)
	q.insert(now, item)
	return []Refused{{Item: youngest.Item, Reason: request.ReasonAccountQueueFull}}
}

// Remove removes and returns a ticket. It returns false if the ticket is not in the
// queue.
func (q *Queue) Remove(now time.Time, key request.Key) (Item, bool) {
	t, present := q.items[key]
	if !present {
		return Item{}, false
	}
	q.remove(now, t)
	return t.Item, true
}

// Grant removes and returns a ticket that is granted, and records the grant for the
// account. It returns false if the ticket is not in the queue.
func (q *Queue) Grant(now time.Time, key request.Key) (Item, bool) {
	t, present := q.items[key]
	if !present {
		return Item{}, false
	}
	a := t.account
	a.recordLane(t.Ticket.Lane)
	if q.starved(now) == a {
		q.grantsByLevel = 0
	} else {
		q.grantsByLevel++
	}
	a.lastGrant = now
	q.byGrant.moveToBack(a)
	q.drain.count(now, a.id)
	q.remove(now, t)
	return t.Item, true
}

// Next returns the ticket to grant next without removing it, and false if none waits.
func (q *Queue) Next(now time.Time) (Item, bool) {
	for item := range q.Candidates(now) {
		return item, true
	}
	return Item{}, false
}

// Candidates yields the first ticket of each account in the order in which they should be
// granted. The queue must not change during the iteration.
func (q *Queue) Candidates(now time.Time) func(yield func(Item) bool) {
	return func(yield func(Item) bool) {
		q.refresh()
		starved := q.starved(now)
		if starved != nil && !yield(starved.first().Item) {
			return
		}
		for a := range q.byLevel.ascending() {
			if a != starved && !yield(a.first().Item) {
				return
			}
		}
	}
}

// Expired removes and returns the tickets that have expired.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for len(q.byExpiry) > 0 && !now.Before(q.byExpiry[0].Expires) {
		t := q.byExpiry[0]
		q.remove(now, t)
		expired = append(expired, t.Item)
	}
	return expired
}

// All yields every waiting ticket, in no particular order.
func (q *Queue) All() func(yield func(Item) bool) {
	return func(yield func(Item) bool) {
		for _, t := range q.items {
			if !yield(t.Item) {
				return
			}
		}
	}
}

// LowestLevel returns the lowest level of a backlogged account, and false if no ticket
// waits.
func (q *Queue) LowestLevel() (float64, bool) {
	q.refresh()
	if len(q.byLevel) == 0 {
		return 0, false
	}
	return q.byLevel[0].level, true
}

// OtherAccountsWait reports whether a ticket of any other account waits.
func (q *Queue) OtherAccountsWait(id version.AccountID) bool {
	if _, waits := q.accounts[id]; waits {
		return len(q.accounts) > 1
	}
	return len(q.accounts) > 0
}

// SetRemoteLowestLevel sets the lowest level of the accounts that wait for the same pool
// in other data centres, or +Inf if there are none. The level of an account that returns
// from idle is raised no higher than that.
func (q *Queue) SetRemoteLowestLevel(level float64) { q.remoteLowest = level }

// starved returns the account that has waited longest without a grant if that is at least
// StarvationAge, or nil if there is none or there have not been enough grants by level
// since the last starved account.
func (q *Queue) starved(now time.Time) *account {
	if q.grantsByLevel < grantsPerStarvationGrant || q.byGrant.front == nil {
		return nil
	}
	if longest := q.byGrant.front; now.Sub(longest.lastGrant) >= StarvationAge {
		return longest
	}
	return nil
}

// refresh updates the order of accounts after changes of their levels.
func (q *Queue) refresh() {
	changed, next, all := q.levels.Changes(q.cursor)
	q.cursor = next
	if all {
		for _, a := range q.byLevel {
			a.level = q.levels.Level(a.id)
		}
		heap.Init(&q.byLevel)
		return
	}
	for _, id := range changed {
		if a, present := q.accounts[id]; present {
			a.level = q.levels.Level(id)
			heap.Fix(&q.byLevel, a.index)
		}
	}
}

func (q *Queue) insert(now time.Time, item Item) {
	a, present := q.accounts[item.Ticket.Account]
	if !present {
		a = q.join(now, item.Ticket.Account)
	}
	t := &queuedTicket{Item: item, account: a}
	a.lane(item.Ticket.Lane).insert(t)
	q.items[item.Key] = t
	heap.Push(&q.byExpiry, t)
}

// join adds an account that becomes backlogged.
func (q *Queue) join(now time.Time, id version.AccountID) *account {
	floor := math.Inf(-1)
	if lowest, waits := q.LowestLevel(); waits {
		floor = min(lowest, q.remoteLowest)
	}
	q.levels.Join(now, id, floor)
	a := &account{id: id, lastGrant: now, level: q.levels.Level(id)}
	q.accounts[id] = a
	heap.Push(&q.byLevel, a)
	q.byGrant.pushBack(a)
	return a
}

func (q *Queue) remove(now time.Time, t *queuedTicket) {
	a := t.account
	delete(q.items, t.Key)
	heap.Remove(&q.byExpiry, t.expiryIndex)
	a.lane(t.Ticket.Lane).remove(t)
	if a.len() > 0 {
		return
	}
	delete(q.accounts, a.id)
	heap.Remove(&q.byLevel, a.index)
	q.byGrant.remove(a)
	q.levels.Leave(now, a.id)
}

// largest returns the account with the most waiting tickets.
func (q *Queue) largest() *account {
	var largest *account
	for _, a := range q.byLevel {
		if largest == nil || a.len() > largest.len() {
			largest = a
		}
	}
	return largest
}
