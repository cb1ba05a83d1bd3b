package service

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Levels gives each account's service in weighted cost units, as far as it is
// known here. The backlogged account with the lowest level is served next.
type Levels interface {
	// Level returns the account's level.
	Level(account version.AccountID) float64
	// Changes returns the accounts whose level changed since cursor and the
	// cursor for the next call. If all is set, any level may have changed.
	Changes(cursor uint64) (changed []version.AccountID, next uint64, all bool)
	// Join says that the account became backlogged in a queue in which the
	// lowest level of a backlogged account is floor, or -Inf if there is none.
	Join(now time.Time, account version.AccountID, floor float64)
	// Leave says that the account is no longer backlogged in a queue.
	Leave(now time.Time, account version.AccountID)
}
