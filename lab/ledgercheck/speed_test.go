package ledgercheck

import (
	"testing"
	"time"
)

// The ledger must sustain its target rate of 470 claims a second without refusals
// and with a 99th percentile below 500 ms, in virtual time, on a store that answers
// within 5 ms and accepts 100 writes a second.
func TestClaimsAtTheTargetRate(t *testing.T) {
	t.Parallel()
	cost, err := Measure(Options{
		Seed: 1, DataCentres: 12, VMs: 36, StoreTime: 5 * time.Millisecond, StoreWritesPerSecond: 100,
		ServiceTime: 500 * time.Millisecond, BodyBytes: 300,
	}, Load{PerSecond: 470, Length: streamLength, KeyAge: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", cost)
	if cost.Refused > 0 || float64(cost.Claims) < 400*streamLength.Seconds() {
		t.Errorf("%d of %d claims were refused, want none of at least 400 a second", cost.Refused, cost.Claims)
	}
	if cost.P99 >= 500*time.Millisecond {
		t.Errorf("p99 is %s, want less than 500ms", cost.P99)
	}
}

// A claim in an idle fleet, whose shard is written by the entry itself, must take
// only one round trip to the store.
func TestIdleClaimTakesOneStoreRoundTrip(t *testing.T) {
	t.Parallel()
	const storeTime = 5 * time.Millisecond
	cost, err := Measure(Options{Seed: 1, DataCentres: 1, VMs: 1, StoreTime: storeTime},
		Load{PerSecond: 0.5, Length: 10 * time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", cost)
	if cost.Claims < 200 || cost.Refused > 0 || cost.P99 > storeTime+time.Millisecond {
		t.Errorf("%d claims, %d refused, p99 %s, want at least 200 claims, none refused, p99 of one round trip", cost.Claims, cost.Refused, cost.P99)
	}
}
