package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Account describes an account's waiting tickets: their number and the wait of
// the oldest one.
type Account struct {
	Account version.AccountID
	Waiting int
	Oldest  time.Duration
}

// Counts returns the counters since the dispatcher started.
func (d *Dispatcher) Counts() Counts { return d.counts }

// Waiting returns the number of queued tickets.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Offered returns the number of tickets on offer to other data centres.
func (d *Dispatcher) Offered() int {
	total := 0
	for _, p := range d.peers {
		for _, placed := range p.placed {
			if r := d.registrationOf(placed.key); r != nil && r.held[placed.key.ID].state == offered {
				total++
			}
		}
	}
	return total
}

// Entries returns the number of registered daemons.
func (d *Dispatcher) Entries() int { return len(d.order) }

// Upstreams describes the upstreams in service.
func (d *Dispatcher) Upstreams(now time.Time) []slots.Upstream { return d.slots.Upstreams(now) }

// Accounts describes the accounts with queued tickets, sorted by ID.
func (d *Dispatcher) Accounts(now time.Time) []Account {
	byID := make(map[version.AccountID]Account)
	for item := range d.queue.All() {
		a := byID[item.Ticket.Account]
		a.Account = item.Ticket.Account
		a.Waiting++
		a.Oldest = max(a.Oldest, now.Sub(item.Arrived))
		byID[a.Account] = a
	}
	accounts := make([]Account, 0, len(byID))
	for _, a := range byID {
		accounts = append(accounts, a)
	}
	slices.SortFunc(accounts, func(a, b Account) int { return cmp.Compare(a.Account, b.Account) })
	return accounts
}
