// Package incarnation decides whether a connection to an upstream reaches the incarnation that its
// registration describes.
//
// An upstream may end and start again under its name and address with another software version,
// and its registration may tell so late, or not at all while the store is away. A connection does
// not survive the end of the process that accepted it. So one that was open before the
// registration was read is proven; another one is proven if the upstream has been sending on a
// proven connection until the other one was opened. One that is not proven is trusted while the
// registrations are read regularly, unless the upstream has crashed, refused a connection or closed
// the last idle one since. A VM without a connection to the upstream sees no such sign, and learns late
// that the store has fallen silent. So a stream goes on over one that is not proven only if the store
// has answered right before it was opened.
package incarnation

import (
	"sync/atomic"
	"time"
)

const (
	// MarkInterval is the shortest time between two calls of Received for an address that make a
	// difference, if the first one showed that the incarnation lives.
	MarkInterval = 30 * time.Millisecond
	// restartTime is the least time that an upstream takes from its end until it accepts
	// connections again.
	restartTime = 100 * time.Millisecond
	// standstill is the time without a byte from any upstream after which this process may have
	// been stopped. What it reads for settleTime after that may have been sent long before.
	standstill = 150 * time.Millisecond
	settleTime = 200 * time.Millisecond
	// freshTime is how old a read of the registrations may be for connections that are not proven:
	// the hold of a watch, sent twice, with the pause between and slow answers.
	freshTime = 3500 * time.Millisecond
	// maxAddresses limits the addresses that are remembered, and retention is how long one is after
	// its last connection.
	maxAddresses = 4096
	retention    = time.Minute
)

// Tracker holds what one VM knows of the incarnations behind its connections. Times are of a clock
// that goes on while the VM is suspended. It is not safe for concurrent use.
type Tracker struct {
	// readAt is a time at which the registrations that are known were complete.
	readAt time.Time
	// registrationTime is how long an upstream takes from its start until it is registered.
	registrationTime time.Duration
	addresses        map[string]*address
	// receivedAt is when a byte was last received from any upstream, and settledAt when what is
	// received is recent again after a standstill.
	receivedAt, settledAt time.Time
}

// address is a place where an upstream accepts connections.
type address struct {
	// aliveAt is when the registered incarnation last sent a byte.
	aliveAt time.Time
	// endedAt is when the upstream was last known to have crashed or refused a connection, and
	// emptiedAt when it closed the last connection while that was idle.
	endedAt, emptiedAt time.Time

	open     int
	closedAt time.Time
	marked   atomic.Int64
}

// Conn is a connection to an upstream.
type Conn struct {
	address  *address
	openedAt time.Time
	// continued is set if the incarnation was proven when the connection was opened.
	continued bool
}

// New returns a tracker for upstreams that register within a time after their start.
func New(registrationTime time.Duration) *Tracker {
	return &Tracker{registrationTime: registrationTime, addresses: make(map[string]*address)}
}

// Read records that the registrations that are known were complete at a time.
func (t *Tracker) Read(at time.Time) {
	if at.After(t.readAt) {
		t.readAt = at
	}
}

// Open records a connection that is about to be opened to an address. begin is when its opening
// began.
func (t *Tracker) Open(begin time.Time, to string) *Conn {
	a := t.address(begin, to)
	a.open++
	return &Conn{address: a, openedAt: begin, continued: !a.aliveAt.IsZero() && begin.Sub(a.aliveAt) < restartTime}
}

// Ended records that the upstream at an address has crashed or refused a connection.
func (t *Tracker) Ended(now time.Time, at string) {
	a := t.address(now, at)
	a.endedAt, a.closedAt = now, now
}

// address returns what is known of an address.
func (t *Tracker) address(now time.Time, name string) *address {
	a := t.addresses[name]
	if a == nil {
		t.makeRoom(now)
		a = &address{}
		t.addresses[name] = a
	}
	return a
}

// Close records that a connection is closed. If the upstream closed it and no other one is left,
// the upstream may have ended, unless BrokeOff follows.
func (t *Tracker) Close(now time.Time, c *Conn, byUpstream bool) {
	c.address.open--
	c.address.closedAt = now
	if byUpstream && c.address.open == 0 {
		c.address.emptiedAt = now
	}
}

// BrokeOff records that the upstream at an address broke off an answer. That the connection is closed
// says nothing more then: whether the upstream has crashed is found out by itself.
func (t *Tracker) BrokeOff(now time.Time, at string) { t.address(now, at).emptiedAt = time.Time{} }

// Marked returns when bytes were last recorded for a connection's address, in nanoseconds of the wall
// clock. It may be read and set without the Tracker's lock.
func (c *Conn) Marked() *atomic.Int64 { return &c.address.marked }

// Received records that bytes were received on a connection. It reports whether they show that the
// registered incarnation lives.
func (t *Tracker) Received(now time.Time, c *Conn) bool {
	if now.Sub(t.receivedAt) > standstill {
		t.settledAt = now.Add(settleTime)
	}
	t.receivedAt = now
	if now.Before(t.settledAt) || !t.Proven(c) {
		return false
	}
	if now.After(c.address.aliveAt) {
		c.address.aliveAt = now
	}
	return true
}

// Proven reports whether a connection reaches the incarnation that the registration describes
// which is known now.
func (t *Tracker) Proven(c *Conn) bool {
	return c.continued || !t.readAt.IsZero() && !c.openedAt.After(t.readAt.Add(-t.registrationTime))
}

// Trusted reports whether the registration that is known now may be taken for that of the
// incarnation behind a connection. storeAnswers tells whether the store answers the reads of the
// registrations now.
func (t *Tracker) Trusted(now time.Time, c *Conn, storeAnswers bool) bool {
	if t.Proven(c) {
		return true
	}
	fresh := storeAnswers && !t.readAt.IsZero() && now.Sub(t.readAt) <= freshTime
	lastEnd := c.address.endedAt
	if c.address.emptiedAt.After(lastEnd) {
		lastEnd = c.address.emptiedAt
	}
	return fresh && !lastEnd.After(t.readAt.Add(-t.registrationTime))
}

// Checked reports whether a connection is proven, or was opened before an upstream that ended after
// answeredAt could accept it. answeredAt is when a call was sent that the store has answered.
func (t *Tracker) Checked(c *Conn, answeredAt time.Time) bool {
	return t.Proven(c) || !answeredAt.IsZero() && c.openedAt.Sub(answeredAt) < restartTime
}

// makeRoom forgets addresses without connections when there are too many, those first that were left
// longest ago. What is forgotten of an address is a sign of its end.
func (t *Tracker) makeRoom(now time.Time) {
	for age := retention; len(t.addresses) >= maxAddresses; age /= 2 {
		for to, a := range t.addresses {
			if a.open == 0 && now.Sub(a.closedAt) >= age {
				delete(t.addresses, to)
			}
		}
		if age == 0 {
			// The others have connections, which are limited by themselves.
			return
		}
	}
}
