// Package queue orders the tickets that wait in one dispatcher.
//
// The account with the lowest service level goes first. Within an account,
// tickets of a lane go in order of arrival.
package queue

import (
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
)

// Queue holds waiting tickets. It is not safe for concurrent use.
//
// Invariant: a key is in the queue at most once.
type Queue struct {
	options  Options
	items    map[request.Key]*Item
	accounts map[version.AccountID][]*Item
}

// New returns an empty queue.
func New(options Options) *Queue {
	if options.MaxTotal == 0 {
		options.MaxTotal = DefaultMaxTotal
	}
	if options.MaxPerAccount == 0 {
		options.MaxPerAccount = DefaultMaxPerAccount
	}
	return &Queue{
		options:  options,
		items:    make(map[request.Key]*Item),
		accounts: make(map[version.AccountID][]*Item),
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a ticket. It returns a refusal reason, or "" if the ticket was
// added or was there already. limit bounds the account's tickets; 0 takes the
// default.
func (q *Queue) Push(item Item, limit int) request.Reason {
	if _, present := q.items[item.Key]; present {
		return ""
	}
	if limit == 0 {
		limit = q.options.MaxPerAccount
	}
	account := item.Ticket.Account
	if len(q.accounts[account]) >= limit {
		return request.ReasonAccountQueueFull
	}
	if len(q.items) >= q.options.MaxTotal {
		return request.ReasonQueueFull
	}
	q.items[item.Key] = &item
	q.accounts[account] = append(q.accounts[account], &item)
	return ""
}

// Remove takes a ticket out and reports whether it was there.
func (q *Queue) Remove(key request.Key) (Item, bool) {
	item, present := q.items[key]
	if !present {
		return Item{}, false
	}
	delete(q.items, key)
	account := item.Ticket.Account
	waiting := q.accounts[account]
	for i, other := range waiting {
		if other == item {
			waiting = append(waiting[:i], waiting[i+1:]...)
			break
		}
	}
	if len(waiting) == 0 {
		delete(q.accounts, account)
	} else {
		q.accounts[account] = waiting
	}
	return *item, true
}

// Next returns the ticket to grant next, without removing it: the first
// ticket of the account with the lowest level.
func (q *Queue) Next(levels service.Levels) (Item, bool) {
	var best *Item
	var bestLevel float64
	for account, waiting := range q.accounts {
		level := levels.Level(account)
		first := waiting[0]
		if best == nil || level < bestLevel || (level == bestLevel && account < best.Ticket.Account) {
			best, bestLevel = first, level
		}
	}
	if best == nil {
		return Item{}, false
	}
	return *best, true
}

// Expired removes and returns the tickets whose wait has ended.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for key, item := range q.items {
		if !now.Before(item.Expires) {
			expired = append(expired, *item)
			q.Remove(key)
		}
	}
	return expired
}
