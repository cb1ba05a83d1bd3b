package edge

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/platform"
)

// Guards against a fleet that exceeds its retry budget when upstreams fail for all VMs at once.
// With a sixteenth of the permitted number for each VM, 295 VMs retried 18 times that number.
func TestRetriesOfAllVMsStayWithinTheFleetBudget(t *testing.T) {
	bounds := platform.Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 630}
	for _, vms := range []int{1, 6, 77, 295, 1000} {
		now, requests, retries := time.Unix(1000, 0), 0, 0
		for range vms {
			window := retry.NewWindow(processRetryBudget(bounds, vms))
			for range 12 {
				window.Request(now)
				requests++
			}
			for window.Take(now) {
				retries++
			}
		}
		if allowed := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(retries) > allowed {
			t.Errorf("%d VMs retry %d times, the budget is %.0f", vms, retries, allowed)
		}
	}
}

// Guards against a retry budget that keeps the size for the fleet as first seen: a process
// learns of the others after it has begun to count requests.
func TestRetryBudgetFollowsTheFleetSize(t *testing.T) {
	now := time.Unix(1000, 0)
	bounds := platform.Bounds{RetryWindow: 10 * time.Second, RetrySlack: 32}
	window := retry.NewWindow(processRetryBudget(bounds, 1))
	retries := 0
	for window.Take(now) {
		retries++
	}
	if retries != 2 {
		t.Errorf("a process of a small fleet may retry %d times without requests, want 2", retries)
	}
	window.Configure(processRetryBudget(bounds, 100))
	if now = now.Add(bounds.RetryWindow * 2); window.Take(now) {
		t.Error("a retry is allowed although the slack is less than one retry")
	}
}
