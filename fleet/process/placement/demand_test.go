package placement

import (
	"math"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against an overloaded VM whose callers nobody counts: it turned 5,000 connections a second away
// unread, and all VMs took the account of these callers to be satisfied with what it was granted.
func TestRequestsTurnedAwayUnreadCountInTheDemandOfAccounts(t *testing.T) {
	f := newFixture(4, nil)
	turnedAway := map[version.AccountID]int{1: 9, 2: 0}
	for account, n := range turnedAway {
		ticket := f.ticket(account, 1, 3000, 1500)
		ticket.TurnedAway = n
		f.Place(f.now, ticket)
		refused := f.ticket(account, 2, 3000, 1500)
		refused.TurnedAway = n
		f.RecordRequest(f.now, refused)
	}
	_, shares := f.Shares(f.now, 8)
	if len(shares) != len(turnedAway) {
		t.Fatalf("%d accounts have requested, want %d", len(shares), len(turnedAway))
	}
	each := cost(f.ticket(1, 1, 3000, 1500))
	for _, share := range shares {
		if want := 2 * float64(1+turnedAway[share.Account]) * each; math.Abs(share.Requested-want) > 1 {
			t.Errorf("account %d has requested %.0f tokens, want %.0f", share.Account, share.Requested, want)
		}
		if share.Granted > each {
			t.Errorf("account %d was granted %.0f tokens, want at most %.0f", share.Account, share.Granted, each)
		}
	}
	// A VM that turns callers away can't use more of what limited upstreams take than it places.
	if requests, most := f.demandOf(f.pool).rate(f.now), 2*math.Ln2/demandHalfLife.Seconds(); requests > most {
		t.Errorf("the demand of the VM is %.2f requests a second, want at most %.2f", requests, most)
	}
}

// Guards against an account that is refused while it is below its share and that no log or metric shows, as it
// asks for little beside others.
func TestAccountsRefusedBelowTheirShareAreListed(t *testing.T) {
	const small, large = version.AccountID(9), version.AccountID(1)
	f := newFixture(1, nil)
	for account := large; account < small; account++ {
		f.usage.add(f.now, account, 100_000, 50_000)
	}
	refused := 0
	for range 200 {
		if _, refusal := f.Place(f.now, f.ticket(small, uint64(f.nextID), 3000, 1500)); refusal != nil && refusal.ShareUsed < 1 {
			refused++
		}
	}
	f.usage.add(f.now, large, 10_000_000, 0)
	_, shares := f.Shares(f.now, 1)
	if refused == 0 || len(shares) != 2 || shares[0].Account != large || shares[1].Account != small {
		t.Fatalf("listed %+v after %d refusals below the share", shares, refused)
	}
	if want := float64(refused) * cost(f.ticket(small, 1, 3000, 1500)); shares[1].RefusedBelowShare != want {
		t.Errorf("%.0f tokens refused below the share, want %.0f", shares[1].RefusedBelowShare, want)
	}
}
