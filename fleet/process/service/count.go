// Package service accounts for the service that each client account received
// over the whole fleet.
//
// The daemon of a dispatcher charges the tickets that it grants in a Meter: an
// estimate at the grant, corrected while the answer streams and replaced by the
// true cost at its end. In each data centre one daemon is the account's home.
// Its Home sums the counts of the meters there, sends the sum to the homes in
// the other data centres, and reports to each dispatcher where the account is
// backlogged what was counted elsewhere.
//
// An account's level is its service over the whole fleet. All counts are
// weighted: cost units divided by the account's weight at the time of the
// charge, so that a change of weights does not change any level.
package service

import (
	"math"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Count holds how much an account was charged and how much of that was returned,
// in weighted cost units.
//
// Invariant: neither field ever decreases, so that two counts of the same
// source can be merged by taking the maximum.
type Count struct {
	Charged  float64
	Returned float64
}

// Net returns the service that remains charged, in weighted cost units.
func (c Count) Net() float64 { return c.Charged - c.Returned }

// Merge returns the later of two counts of the same source.
func (c Count) Merge(other Count) Count {
	return Count{
		Charged:  math.Max(c.Charged, other.Charged),
		Returned: math.Max(c.Returned, other.Returned),
	}
}

// Plus returns the sum of the counts of two sources.
func (c Count) Plus(other Count) Count {
	return Count{Charged: c.Charged + other.Charged, Returned: c.Returned + other.Returned}
}

// Minus returns by how much c exceeds other, at least 0 in each field.
func (c Count) Minus(other Count) Count {
	return Count{
		Charged:  math.Max(c.Charged-other.Charged, 0),
		Returned: math.Max(c.Returned-other.Returned, 0),
	}
}

// Source identifies one incarnation of a daemon whose Meter counts service.
type Source struct {
	VM          version.VMID
	Incarnation uint64
}
