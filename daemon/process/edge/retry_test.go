package edge

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/platform"
)

// Load: upstreams fail for all VMs of a large fleet at once, and each has requests to send
// again. A sixteenth of the permitted number for each was 18 times the whole with 295 VMs.
func TestRetriesOfAllVMsStayWithinTheFleetsBudget(t *testing.T) {
	bounds := platform.Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 630}
	for _, vms := range []int{1, 6, 77, 295, 1000} {
		now, requests, retries := time.Unix(1000, 0), 0, 0
		for range vms {
			window := retry.NewWindow(retryPart(bounds, vms))
			for range 12 {
				window.Request(now)
				requests++
			}
			for window.Take(now) {
				retries++
			}
		}
		if allowed := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(retries) > allowed {
			t.Errorf("%d VMs send again %d times, %.0f are allowed", vms, retries, allowed)
		}
	}
}

// A process learns of the others after it has begun to count.
func TestAPartOfTheBudgetFollowsTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	bounds := platform.Bounds{RetryWindow: 10 * time.Second, RetrySlack: 32}
	window := retry.NewWindow(retryPart(bounds, 1))
	taken := 0
	for window.Take(now) {
		taken++
	}
	if taken != 2 {
		t.Errorf("%d retries are free in a small fleet", taken)
	}
	window.Configure(retryPart(bounds, 100))
	if now = now.Add(bounds.RetryWindow * 2); window.Take(now) {
		t.Error("a part of a whole retry is taken for one")
	}
}
