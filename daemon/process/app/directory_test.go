package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// listOf returns a list of size VMs, named vm-0 and up.
func listOf(size int) []objectstore.VM {
	var vms []objectstore.VM
	for i := range size {
		vms = append(vms, objectstore.VM{ID: version.VMID(fmt.Sprintf("vm-%d", i))})
	}
	return vms
}

// A daemon that is not listed yet owns no role, so it must read the list often, but only
// for a bounded time.
func TestUnlistedDaemonReadsTheListMoreOften(t *testing.T) {
	const vms = 340
	schedule := readSchedule{self: "vm-new"}
	for i := 1; i < maxUnlistedReads; i++ {
		if interval := schedule.interval(listOf(vms), nil); interval > 2*unlistedInterval {
			t.Fatalf("read %d: interval of %v until the next one, want about %v", i, interval, unlistedInterval)
		}
	}
	if interval := schedule.interval(listOf(vms), nil); interval < directoryMinInterval {
		t.Errorf("interval of %v after %d lists without the daemon, want the usual interval", interval, maxUnlistedReads)
	}
	schedule = readSchedule{self: "vm-0"}
	if interval := schedule.interval(listOf(vms), nil); interval < directoryMinInterval {
		t.Errorf("interval of %v although the list has the daemon, want the usual interval", interval)
	}
}

// Guards against a large fleet that reads the list at the rate of a small one while the
// platform fails, because the failed reads return no list.
func TestPlatformOutageDoesNotShortenTheReadInterval(t *testing.T) {
	const vms = 340
	minInterval := (directoryMinInterval + vms*directoryIntervalPerVM) * 3 / 4
	schedule := readSchedule{self: "vm-0"}
	for range 100 {
		if interval := schedule.interval(nil, objectstore.ErrUnavailable); interval > 2*directoryMinInterval {
			t.Fatalf("interval of %v before the first list, want at most twice the minimum", interval)
		}
	}
	schedule.interval(listOf(vms), nil)
	for range 100 {
		if interval := schedule.interval(nil, objectstore.ErrUnavailable); interval < minInterval {
			t.Fatalf("interval of %v after an error, want at least %v", interval, minInterval)
		}
	}
	if interval := schedule.interval(listOf(1), nil); interval > 2*(directoryMinInterval+directoryIntervalPerVM) {
		t.Errorf("interval of %v with a list of one, want about %v", interval, time.Duration(directoryMinInterval))
	}
}
