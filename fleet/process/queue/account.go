package queue

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// account is a client account with waiting tickets.
type account struct {
	id    version.AccountID
	lanes [request.Lanes]lane
	// level is the account's level when it was last looked up.
	level float64
	index int
	// shorts counts the short tickets taken in a row while a long one waited.
	shorts int
	// granted is when the account last got a grant, or joined.
	granted time.Time
	// older and newer are the neighbours in a grantList.
	older, newer *account
}

// waiting is a queued ticket.
type waiting struct {
	Item
	account      *account
	expiryIndex  int
	before, next *waiting
}

func (a *account) len() int {
	total := 0
	for i := range a.lanes {
		total += a.lanes[i].len
	}
	return total
}

// lane returns a ticket's lane; an unknown one counts as long.
func (a *account) lane(l request.Lane) *lane {
	return &a.lanes[min(l, request.LaneLong)]
}

// first returns the ticket to grant next.
func (a *account) first() *waiting {
	short, long := a.lanes[request.LaneShort].head, a.lanes[request.LaneLong].head
	if short == nil {
		return long
	}
	if long != nil && a.shorts >= ShortsPerLong {
		return long
	}
	return short
}

// took records which lane a granted ticket came from.
func (a *account) took(l request.Lane) {
	if l != request.LaneShort || a.lanes[request.LaneLong].len == 0 {
		a.shorts = 0
		return
	}
	a.shorts++
}

// youngest returns the ticket that arrived last.
func (a *account) youngest() *waiting {
	short, long := a.lanes[request.LaneShort].tail, a.lanes[request.LaneLong].tail
	if short == nil || (long != nil && !long.Arrived.Before(short.Arrived)) {
		return long
	}
	return short
}

// lane is a list of tickets in order of arrival.
type lane struct {
	head, tail *waiting
	len        int
}

// insert adds a ticket behind those that arrived before it or with it.
func (l *lane) insert(w *waiting) {
	l.len++
	before := l.tail
	for before != nil && before.Arrived.After(w.Arrived) {
		before = before.before
	}
	w.before = before
	if before == nil {
		w.next, l.head = l.head, w
	} else {
		w.next, before.next = before.next, w
	}
	if w.next == nil {
		l.tail = w
	} else {
		w.next.before = w
	}
}

func (l *lane) remove(w *waiting) {
	l.len--
	if w.before == nil {
		l.head = w.next
	} else {
		w.before.next = w.next
	}
	if w.next == nil {
		l.tail = w.before
	} else {
		w.next.before = w.before
	}
}

// grantList orders accounts by their last grant, longest ago first.
type grantList struct {
	front, back *account
}

func (l *grantList) pushBack(a *account) {
	a.older, a.newer = l.back, nil
	if l.back == nil {
		l.front = a
	} else {
		l.back.newer = a
	}
	l.back = a
}

func (l *grantList) remove(a *account) {
	if a.older == nil {
		l.front = a.newer
	} else {
		a.older.newer = a.newer
	}
	if a.newer == nil {
		l.back = a.older
	} else {
		a.newer.older = a.older
	}
}

func (l *grantList) moveToBack(a *account) {
	l.remove(a)
	l.pushBack(a)
}
