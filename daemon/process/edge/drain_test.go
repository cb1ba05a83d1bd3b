package edge

import (
	"testing"
	"time"
)

// Guards against a stop that takes in new requests for longer while the store hangs: the time for the
// load balancer began only after the call that removes the registration, 0.5 s late.
func TestTimeForTheBalancerBeginsWithTheSignal(t *testing.T) {
	for _, c := range []struct{ since, period, want time.Duration }{
		{0, 8 * time.Second, 2800 * time.Millisecond},
		{deregisterTimeout, 8 * time.Second, 2300 * time.Millisecond},
		{deregisterTimeout, time.Second, 0},
		{0, time.Second, 400 * time.Millisecond},
	} {
		if got := noticeLeft(c.since, c.period); got != c.want {
			t.Errorf("%v after the signal, with a grace period of %v: %v are left, want %v", c.since, c.period, got, c.want)
		}
	}
}
