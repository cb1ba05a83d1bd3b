package edge

import (
	"context"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/placing"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// sharesInterval is the time between two looks at the shares of accounts.
	sharesInterval = 2 * time.Second
	// unmetFactor times what an account was granted is the request beyond which its shares are
	// logged.
	unmetFactor = 1.5
)

// logShares logs what this process takes the shares of accounts to be while one of them requests
// far more than it is granted, or is refused much below its share, until ctx ends.
func (d *Daemon) logShares(ctx context.Context) error {
	for {
		if err := wait.Sleep(ctx, sharesInterval); err != nil {
			return err
		}
		if shares := d.placing.Shares(); hasUnmet(shares) {
			d.log.Info("account shares", "fair_share_tokens", shares.FairShareTokens, "accounts", shares.Accounts)
		}
	}
}

// hasUnmet reports whether an account at its fair share requests far more than it is granted, or one below
// its share is refused as much as it is granted.
func hasUnmet(shares placing.Shares) bool {
	for _, account := range shares.Accounts {
		if account.RequestedTokens > unmetFactor*max(account.GrantedTokens, shares.FairShareTokens) ||
			account.RefusedBelowShareTokens > max(account.GrantedTokens, 1) {
			return true
		}
	}
	return false
}
