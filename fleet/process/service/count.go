// Package service counts what each client account has been served, over the
// whole fleet.
//
// A dispatcher's daemon counts what it grants in a Meter: an estimate at the
// grant, corrected while the answer streams and trued up at its end. The
// account's home in each data centre, a Home, sums the meters there, exchanges
// the sum with the homes in other data centres and tells each dispatcher where
// the account is backlogged what was counted elsewhere. All counts are
// weighted: cost units divided by the account's weight when they were charged,
// so that a change of weights moves no level.
package service

import (
	"math"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Count is what an account was charged and what of that was returned, in
// weighted cost units.
//
// Invariant: neither field ever falls, so two counts of one source merge by
// maximum.
type Count struct {
	Charged  float64
	Returned float64
}

// Net returns the service that remains charged.
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

// Minus returns what c counts beyond other, at least 0 in each field.
func (c Count) Minus(other Count) Count {
	return Count{
		Charged:  math.Max(c.Charged-other.Charged, 0),
		Returned: math.Max(c.Returned-other.Returned, 0),
	}
}

// Source is one incarnation of a daemon that counts.
type Source struct {
	VM          version.VMID
	Incarnation uint64
}
