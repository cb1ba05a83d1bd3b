// Package service counts what each client account has been served.
//
// An entry keeps Counters; the account's home sums them; a dispatcher orders
// its queue by the Levels that result.
package service

import (
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Levels gives an account's service divided by its weight, in cost units. The
// lowest level is served next.
type Levels interface {
	Level(account version.AccountID) float64
}

// Counters holds one entry's service per account.
//
// Invariant: no counter ever falls.
type Counters struct {
	served map[version.AccountID]request.Cost
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{served: make(map[version.AccountID]request.Cost)}
}

// Add charges cost to the account. A negative cost is ignored.
func (c *Counters) Add(account version.AccountID, cost request.Cost) {
	if cost > 0 {
		c.served[account] += cost
	}
}

// Served returns what the account has been charged.
func (c *Counters) Served(account version.AccountID) request.Cost { return c.served[account] }
