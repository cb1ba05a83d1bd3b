// Package timeline records what happened in one process as typed events that
// can be merged with those of others.
//
// Events are stamped with a hybrid logical clock: physical milliseconds and a
// counter, such that an event that another one caused never sorts before it.
package timeline

import (
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Kind says what happened.
type Kind string

const (
	// KindSubmitted is a request that an entry admitted.
	KindSubmitted Kind = "submitted"
	// KindQueued is a ticket that a dispatcher queued.
	KindQueued Kind = "queued"
	// KindGranted is a grant that an entry accepted.
	KindGranted Kind = "granted"
	// KindHandedBack is a grant that an entry did not use.
	KindHandedBack Kind = "handed-back"
	// KindSpilled is a ticket offered to another data centre.
	KindSpilled Kind = "spilled"
	// KindFinished is the end of an attempt.
	KindFinished Kind = "finished"
	// KindRefused is a request refused by this router.
	KindRefused Kind = "refused"
	// KindClaimed is what the ledger said of a claim; the detail is its verdict.
	KindClaimed Kind = "claimed"
	// KindRegistered is an entry that registered with a dispatcher.
	KindRegistered Kind = "registered"
	// KindMember is a member whose state changed.
	KindMember Kind = "member"
	// KindConfigured is a configuration version applied.
	KindConfigured Kind = "configured"
	// KindUpstream is an upstream whose limit or health changed.
	KindUpstream Kind = "upstream"
	// KindDraining is a daemon that began to drain.
	KindDraining Kind = "draining"
	// KindPlatform is a platform that became reachable or unreachable.
	KindPlatform Kind = "platform"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Millis is physical time since the Unix epoch in milliseconds.
	Millis int64 `json:"ms"`
	// Logical orders stamps of the same millisecond.
	Logical uint32 `json:"n"`
}

// Before reports whether s sorts before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Millis != other.Millis {
		return s.Millis < other.Millis
	}
	return s.Logical < other.Logical
}

// Event is one thing that happened. Fields that do not apply are zero.
type Event struct {
	Stamp    Stamp              `json:"stamp"`
	VM       version.VMID       `json:"vm"`
	Kind     Kind               `json:"kind"`
	Request  request.Key        `json:"request,omitzero"`
	Attempt  request.Attempt    `json:"attempt,omitempty"`
	Account  version.AccountID  `json:"account,omitempty"`
	Pool     version.PoolID     `json:"pool,omitempty"`
	Upstream version.UpstreamID `json:"upstream,omitempty"`
	Peer     version.VMID       `json:"peer,omitempty"`
	Version  version.Number     `json:"version,omitempty"`
	Detail   string             `json:"detail,omitempty"`
}

// Compare orders events by stamp, then by VM, so that merged time lines have
// one order.
func Compare(a, b Event) int {
	switch {
	case a.Stamp.Before(b.Stamp):
		return -1
	case b.Stamp.Before(a.Stamp):
		return 1
	default:
		return strings.Compare(string(a.VM), string(b.VM))
	}
}

// DefaultRingEvents is the number of events that a process keeps.
const DefaultRingEvents = 8192

// Ring keeps the latest events of a process. It is safe for concurrent use.
//
// Invariant: stamps grow from each event to the next.
type Ring struct {
	mu     sync.Mutex
	vm     version.VMID
	events []Event
	// next is the index that the next event takes once events is full.
	next int
	last Stamp
}

// New returns an empty ring for capacity events of a VM.
func New(vm version.VMID, capacity int) *Ring {
	return &Ring{vm: vm, events: make([]Event, 0, capacity)}
}

// Record stamps an event and keeps it in place of the oldest.
func (r *Ring) Record(now time.Time, event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.VM = r.vm
	event.Stamp = r.tick(now)
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Stamp returns a stamp to send along with a message.
func (r *Ring) Stamp(now time.Time) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick(now)
}

// Observe moves the clock past a stamp that came with a message.
func (r *Ring) Observe(remote Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(remote) {
		r.last = remote
	}
}

// Events returns the kept events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

func (r *Ring) tick(now time.Time) Stamp {
	physical := now.UnixMilli()
	if physical > r.last.Millis {
		r.last = Stamp{Millis: physical}
	} else {
		r.last.Logical++
	}
	return r.last
}
