package service

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Levels provides each account's service level in weighted cost units, as far
// as it is known here. The backlogged account with the lowest level is served
// next.
type Levels interface {
	// Level returns the account's level in weighted cost units.
	Level(account version.AccountID) float64
	// Changes returns the accounts whose level may have changed since cursor,
	// and the cursor for the next call. If all is set, any level may have
	// changed.
	Changes(cursor uint64) (changed []version.AccountID, next uint64, all bool)
	// Join records that the account became backlogged in a queue. floor is the
	// lowest level of a backlogged account there, or -Inf if there is none.
	Join(now time.Time, account version.AccountID, floor float64)
	// Leave records that the account is no longer backlogged in a queue.
	Leave(now time.Time, account version.AccountID)
}
