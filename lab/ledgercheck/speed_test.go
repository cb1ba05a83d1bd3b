package ledgercheck

import (
	"testing"
	"time"
)

// TestSpeed holds the ledger to its target: 470 claims a second at a store of
// 5 ms that takes 100 writes a second, in virtual time.
func TestSpeed(t *testing.T) {
	t.Parallel()
	speed, err := Measure(Options{
		Seed: 1, DataCentres: 12, VMs: 36, StoreTime: 5 * time.Millisecond, StoreWritesPerSecond: 100,
		ServiceTime: 500 * time.Millisecond, BodyBytes: 300,
	}, Load{PerSecond: 470, Length: speedLength, KeyAge: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", speed)
	if speed.Refused > 0 || float64(speed.Claims) < 400*speedLength.Seconds() {
		t.Errorf("%d of %d claims were refused", speed.Refused, speed.Claims)
	}
	if speed.P99 >= 500*time.Millisecond {
		t.Errorf("p99 is %s", speed.P99)
	}
}

// TestIdleCost shows that a claim costs one round trip to the store when
// nothing else goes on and the shard is written by the entry itself.
func TestIdleCost(t *testing.T) {
	t.Parallel()
	const storeTime = 5 * time.Millisecond
	speed, err := Measure(Options{Seed: 1, DataCentres: 1, VMs: 1, StoreTime: storeTime},
		Load{PerSecond: 0.5, Length: 10 * time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", speed)
	if speed.Claims < 200 || speed.Refused > 0 || speed.P99 > storeTime+time.Millisecond {
		t.Errorf("%d claims, %d refused, p99 %s", speed.Claims, speed.Refused, speed.P99)
	}
}
