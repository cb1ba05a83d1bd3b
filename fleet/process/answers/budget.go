// Package answers bounds the memory that a process spends on parts of upstreams' answers which it
// has received and not passed on yet: heads, events that are not complete, and bodies that are
// buffered.
package answers

import (
	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ErrExceeded is returned for a reservation that the budget does not allow.
var ErrExceeded = errors.New("answer exceeds the memory for answers")

// Budget is a number of bytes that all requests in progress share. An upstream may hold as much as
// is left free, so that n upstreams that take whatever they can leave 1/(n+1) of it to the others.
//
// Invariant: used is the sum of byUpstream, and at most limit.
type Budget struct {
	limit, used int64
	byUpstream  map[version.UpstreamID]int64
	exceeded    uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, byUpstream: make(map[version.UpstreamID]int64)}
}

// Reserve takes n more bytes for an answer of an upstream. It returns ErrExceeded, and takes none,
// if the upstream would then hold more than is left free.
func (b *Budget) Reserve(upstream version.UpstreamID, n int64) error {
	held := b.byUpstream[upstream] + n
	if free := b.limit - b.used - n; held > free {
		b.exceeded++
		return errors.Mark(errors.Newf("%d bytes more exceed the memory for answers: the upstream holds %d, all of them %d of %d",
			n, held-n, b.used, b.limit), ErrExceeded)
	}
	b.byUpstream[upstream] = held
	b.used += n
	return nil
}

// Release gives back n bytes that were reserved for an answer of an upstream.
func (b *Budget) Release(upstream version.UpstreamID, n int64) {
	b.used -= n
	if b.byUpstream[upstream] -= n; b.byUpstream[upstream] <= 0 {
		delete(b.byUpstream, upstream)
	}
}

// Stats are the figures of a budget.
type Stats struct {
	// HeldBytes is what is reserved, and LimitBytes the limit.
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Upstreams is the number of upstreams that hold any.
	Upstreams int `json:"upstreams"`
	// Exceeded counts the reservations that were not allowed.
	Exceeded uint64 `json:"exceeded"`
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	return Stats{HeldBytes: b.used, LimitBytes: b.limit, Upstreams: len(b.byUpstream), Exceeded: b.exceeded}
}
