// Package queue orders the tickets that wait in one dispatcher.
//
// The account with the lowest service level goes first. Within an account,
// short requests go before long ones, but a long one that waits gets its turn
// after ShortsPerLong short ones. An account that has got nothing for
// StarvationAge gets one grant whatever its level.
package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Item is a ticket with its way back to the caller.
type Item struct {
	Key    request.Key
	Ticket request.Ticket
	// Arrived is when the request began to wait, by the local clock.
	Arrived time.Time
	// Expires is when the ticket's wait ends, by the local clock.
	Expires time.Time
}

// Refused is a ticket that the queue gave up and why.
type Refused struct {
	Item   Item
	Reason request.Reason
}

// Options bound a Queue.
type Options struct {
	// MaxTotal bounds all waiting tickets; default DefaultMaxTotal.
	MaxTotal int
	// MaxPerAccount bounds an account's waiting tickets if its own
	// configuration sets none; default DefaultMaxPerAccount.
	MaxPerAccount int
}

const (
	// DefaultMaxTotal is the default of Options.MaxTotal, in tickets.
	DefaultMaxTotal = 100_000
	// DefaultMaxPerAccount is the default of Options.MaxPerAccount, in
	// tickets.
	DefaultMaxPerAccount = 1_000
	// ShortsPerLong is how many short tickets of an account may go in a row
	// while a long one of it waits.
	ShortsPerLong = 4
	// StarvationAge is how long an account may wait in a queue without any
	// grant before it gets one whatever its level.
	StarvationAge = 20 * time.Second
	// starvationShare is the least number of grants by level between two that
	// end a starvation.
	starvationShare = 8
)

// Queue holds waiting tickets. It is not safe for concurrent use.
//
// Invariants: a key is in the queue at most once; an account is in byLevel
// and in byGrant if and only if it has a waiting ticket.
type Queue struct {
	options  Options
	levels   service.Levels
	items    map[request.Key]*waiting
	accounts map[version.AccountID]*account
	byLevel  levelHeap
	// byGrant lists the backlogged accounts, longest without a grant first.
	byGrant   grantList
	byExpiry  expiryHeap
	cursor    uint64
	elsewhere float64
	// ordinary counts the grants by level since one ended a starvation.
	ordinary int
	drain    drainRate
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
		options:   options,
		levels:    levels,
		items:     make(map[request.Key]*waiting),
		accounts:  make(map[version.AccountID]*account),
		elsewhere: math.Inf(1),
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a ticket. It returns the tickets that have to be refused for it:
// none, the ticket itself, or one of an account that holds more than its fair
// part of a full queue. limit bounds the account's tickets; 0 takes the
// default. A ticket that is there already is left as it is.
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

// pushFull adds a ticket to a full queue if its account has less than its fair
// part and another one has more.
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

// Remove takes a ticket out and reports whether it was there.
func (q *Queue) Remove(now time.Time, key request.Key) (Item, bool) {
	w, present := q.items[key]
	if !present {
		return Item{}, false
	}
	q.remove(now, w)
	return w.Item, true
}

// Take takes a ticket out that is granted.
func (q *Queue) Take(now time.Time, key request.Key) (Item, bool) {
	w, present := q.items[key]
	if !present {
		return Item{}, false
	}
	a := w.account
	a.took(w.Ticket.Lane)
	if q.starved(now) == a {
		q.ordinary = 0
	} else {
		q.ordinary++
	}
	a.granted = now
	q.byGrant.moveToBack(a)
	q.drain.count(now, a.id)
	q.remove(now, w)
	return w.Item, true
}

// Next returns the ticket to grant next, without removing it.
func (q *Queue) Next(now time.Time) (Item, bool) {
	for item := range q.Candidates(now) {
		return item, true
	}
	return Item{}, false
}

// Candidates yields the first ticket of each account in the order in which
// they should be granted. The queue must not change before it ends.
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

// Expired removes and returns the tickets whose wait has ended.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for len(q.byExpiry) > 0 && !now.Before(q.byExpiry[0].Expires) {
		w := q.byExpiry[0]
		q.remove(now, w)
		expired = append(expired, w.Item)
	}
	return expired
}

// All yields every waiting ticket, in no order.
func (q *Queue) All() func(yield func(Item) bool) {
	return func(yield func(Item) bool) {
		for _, w := range q.items {
			if !yield(w.Item) {
				return
			}
		}
	}
}

// Lowest returns the lowest level of a backlogged account, and false if nobody
// waits.
func (q *Queue) Lowest() (float64, bool) {
	q.refresh()
	if len(q.byLevel) == 0 {
		return 0, false
	}
	return q.byLevel[0].level, true
}

// OthersWait reports whether a ticket of any other account waits.
func (q *Queue) OthersWait(id version.AccountID) bool {
	if _, waits := q.accounts[id]; waits {
		return len(q.accounts) > 1
	}
	return len(q.accounts) > 0
}

// SetElsewhere sets the lowest level that waits for the same pool in other
// data centres, or +Inf. An account that returns from idle is lifted no higher
// than that.
func (q *Queue) SetElsewhere(level float64) { q.elsewhere = level }

// starved returns the account that has gone without a grant for too long, or
// nil if there is none or starved accounts have had their share of the grants.
func (q *Queue) starved(now time.Time) *account {
	if q.ordinary < starvationShare || q.byGrant.front == nil {
		return nil
	}
	if longest := q.byGrant.front; now.Sub(longest.granted) >= StarvationAge {
		return longest
	}
	return nil
}

// refresh brings the order up to date with changed levels.
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
	w := &waiting{Item: item, account: a}
	a.lane(item.Ticket.Lane).insert(w)
	q.items[item.Key] = w
	heap.Push(&q.byExpiry, w)
}

// join makes an account backlogged.
func (q *Queue) join(now time.Time, id version.AccountID) *account {
	floor := math.Inf(-1)
	if lowest, waits := q.Lowest(); waits {
		floor = min(lowest, q.elsewhere)
	}
	q.levels.Join(now, id, floor)
	a := &account{id: id, granted: now, level: q.levels.Level(id)}
	q.accounts[id] = a
	heap.Push(&q.byLevel, a)
	q.byGrant.pushBack(a)
	return a
}

func (q *Queue) remove(now time.Time, w *waiting) {
	a := w.account
	delete(q.items, w.Key)
	heap.Remove(&q.byExpiry, w.expiryIndex)
	a.lane(w.Ticket.Lane).remove(w)
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
