// Package timeline records the events of one process as typed events that can be merged
// with those of other processes.
//
// Events are stamped with a hybrid logical clock, that is physical milliseconds and a
// counter, so that an event never sorts before an event that caused it.
package timeline

import (
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Kind is the type of an event.
type Kind string

const (
	// KindSubmitted means that an entry admitted a request.
	KindSubmitted Kind = "submitted"
	// KindQueued means that a dispatcher queued a ticket.
	KindQueued Kind = "queued"
	// KindGranted means that an entry accepted a grant.
	KindGranted Kind = "granted"
	// KindHandedBack means that an entry returned a grant unused.
	KindHandedBack Kind = "handed-back"
	// KindSpilled means that a ticket was offered to another data centre.
	KindSpilled Kind = "spilled"
	// KindFinished means that an attempt completed.
	KindFinished Kind = "finished"
	// KindRefused means that this router refused a request.
	KindRefused Kind = "refused"
	// KindClaimed means that the ledger decided on a claim. The detail is its verdict.
	KindClaimed Kind = "claimed"
	// KindRegistered means that an entry registered with a dispatcher.
	KindRegistered Kind = "registered"
	// KindMember means that the state of a member changed.
	KindMember Kind = "member"
	// KindConfigured means that a configuration version was applied.
	KindConfigured Kind = "configured"
	// KindUpstream means that the limit or health of an upstream changed.
	KindUpstream Kind = "upstream"
	// KindDraining means that a daemon started to drain.
	KindDraining Kind = "draining"
	// KindPlatform means that the platform became reachable or unreachable.
	KindPlatform Kind = "platform"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Millis is the physical time since the Unix epoch, in milliseconds.
	Millis int64 `json:"ms"`
	// Logical orders stamps with the same Millis.
	Logical uint32 `json:"n"`
}

// Before reports whether s sorts before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Millis != other.Millis {
		return s.Millis < other.Millis
	}
	return s.Logical < other.Logical
}

// Event is an event of a process. Fields that do not apply to its kind are zero.
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

// Compare orders events by stamp, then by VM, so that the order of merged timelines is
// well defined.
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

// DefaultRingEvents is the default capacity of a process's ring buffer, in events.
const DefaultRingEvents = 8192

// Ring is a ring buffer of the latest events of a process, with the clock that stamps
// them. It is safe for concurrent use.
//
// Invariant: stamps increase from each event to the next.
type Ring struct {
	mu     sync.Mutex
	vm     version.VMID
	events []Event
	// next is the index of the oldest event, which the next event overwrites, once
	// events is full.
	next int
	// last is the last reading of the clock.
	last Stamp
}

// New returns an empty ring buffer for capacity events of a VM.
func New(vm version.VMID, capacity int) *Ring {
	return &Ring{vm: vm, events: make([]Event, 0, capacity)}
}

// Record stamps an event and adds it. If the ring buffer is full, the event overwrites the
// oldest one.
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

// Stamp advances the clock and returns a stamp to send with a message.
func (r *Ring) Stamp(now time.Time) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick(now)
}

// Observe advances the clock to a stamp received with a message, so that later stamps sort
// after it.
func (r *Ring) Observe(remote Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(remote) {
		r.last = remote
	}
}

// Events returns the events in the ring buffer, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

// tick advances the clock and returns its reading. The caller holds mu.
func (r *Ring) tick(now time.Time) Stamp {
	physical := now.UnixMilli()
	if physical > r.last.Millis {
		r.last = Stamp{Millis: physical}
	} else {
		r.last.Logical++
	}
	return r.last
}
