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
	// level is the account's service level when it was last looked up.
	level float64
	// index is the account's position in the levelHeap.
	index int
	// shortsInRow counts the short tickets granted in a row while a long one waited.
	shortsInRow int
	// lastGrant is when the account last got a grant, or else when it joined the queue.
	lastGrant time.Time
	// older and newer are the neighbours in a grantList.
	older, newer *account
}

// queuedTicket is a queued ticket.
type queuedTicket struct {
	Item
	account *account
	// expiryIndex is the ticket's position in the expiryHeap.
	expiryIndex int
	// previous and next are the neighbours in a lane.
	previous, next *queuedTicket
}

// len returns the number of waiting tickets of the account.
func (a *account) len() int {
	total := 0
	for i := range a.lanes {
		total += a.lanes[i].len
	}
	return total
}

// lane returns the list of a lane's tickets. An unknown lane counts as long.
func (a *account) lane(l request.Lane) *lane {
	return &a.lanes[min(l, request.LaneLong)]
}

// first returns the ticket to grant next.
func (a *account) first() *queuedTicket {
	short, long := a.lanes[request.LaneShort].head, a.lanes[request.LaneLong].head
	if short == nil {
		return long
	}
	if long != nil && a.shortsInRow >= ShortsPerLong {
		return long
	}
	return short
}

// recordLane records the lane of a granted ticket.
func (a *account) recordLane(l request.Lane) {
	if l != request.LaneShort || a.lanes[request.LaneLong].len == 0 {
		a.shortsInRow = 0
		return
	}
	a.shortsInRow++
}

// youngest returns the waiting ticket that arrived last.
func (a *account) youngest() *queuedTicket {
	short, long := a.lanes[request.LaneShort].tail, a.lanes[request.LaneLong].tail
	if short == nil || (long != nil && !long.Arrived.Before(short.Arrived)) {
		return long
	}
	return short
}

// lane is a list of tickets in order of arrival.
type lane struct {
	head, tail *queuedTicket
	len        int
}

// insert adds a ticket behind those that arrived earlier or at the same time.
func (l *lane) insert(t *queuedTicket) {
	l.len++
	previous := l.tail
	for previous != nil && previous.Arrived.After(t.Arrived) {
		previous = previous.previous
	}
	t.previous = previous
	if previous == nil {
		t.next, l.head = l.head, t
	} else {
		t.next, previous.next = previous.next, t
	}
	if t.next == nil {
		l.tail = t
	} else {
		t.next.previous = t
	}
}

func (l *lane) remove(t *queuedTicket) {
	l.len--
	if t.previous == nil {
		l.head = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		l.tail = t.previous
	} else {
		t.next.previous = t.previous
	}
}

// grantList is a list of accounts in order of their last grant, longest ago first.
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
