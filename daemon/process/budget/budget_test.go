package budget

import "testing"

// Guards against limits that leave the garbage collector too little memory. A VM of 112 MB had
// 2,300 goroutines, and the runtime spent two thirds of its processor time on garbage
// collection to stay within its memory limit. Everything that the limits allow must fit into
// the runtime's limit, and connections without requests must leave half of that for garbage,
// also on the smallest VM.
func TestMemoryLimitsLeaveRoomForGarbageCollection(t *testing.T) {
	// base is the memory of a process without requests in a fleet of 69 VMs, in bytes.
	const base = 12 << 20
	for _, megabytes := range []int64{112, 134, 536, 4096} {
		memory := megabytes << 20
		plan := New(memory, 0)
		maxUsed := base + int64(plan.MaxCallerConns)*callerConnBytes + int64(plan.MaxIdleUpstreamConns)*idleUpstreamConnBytes +
			int64(plan.MaxRequests)*requestBytes + plan.MaxBodyBytes + plan.MaxAnswerBytes + plan.MaxHeadBytes +
			int64(plan.MaxPeerConns+2*plan.MaxPortConns)*callerConnBytes + plan.MaxUnreadBytes
		if maxUsed > plan.RuntimeLimitBytes {
			t.Errorf("VM of %d MB: the limits allow %d bytes, above the runtime's limit of %d bytes", megabytes, maxUsed, plan.RuntimeLimitBytes)
		}
		connsUsed := base + int64(plan.MaxCallerConns)*callerConnBytes + int64(plan.MaxIdleUpstreamConns)*idleUpstreamConnBytes
		if 2*connsUsed > plan.RuntimeLimitBytes {
			t.Errorf("VM of %d MB: connections without requests take %d bytes, more than half of the runtime's limit of %d bytes", megabytes, connsUsed, plan.RuntimeLimitBytes)
		}
		if plan.RuntimeLimitBytes >= memory*4/5 {
			t.Errorf("VM of %d MB: the runtime's limit of %d bytes is not below 4/5 of the memory", megabytes, plan.RuntimeLimitBytes)
		}
	}
}

// Guards against parts of the file descriptors that together are more than the process may open, with
// what links and the store need, also with few of them.
func TestDescriptorsOfAllPartsAreFewerThanThereAre(t *testing.T) {
	// others is for links to 30 hubs and peers, the store, logs and the listeners.
	const others = 60
	for _, descriptors := range []int{1024, 4100, 65_536} {
		plan := New(64<<30, descriptors)
		used := plan.HardCallerConns + plan.MaxRequests + plan.MaxIdleUpstreamConns + plan.MaxPeerConns + 2*plan.MaxPortConns + plan.MaxRejectedConns
		if used+others > descriptors {
			t.Errorf("%d descriptors: the parts take %d", descriptors, used)
		}
	}
	// The smallest VM has 112 MB and 4,100 descriptors; memory bounds it, not descriptors.
	if few, unknown := New(112<<20, 4100), New(112<<20, 0); few.MaxCallerConns != unknown.MaxCallerConns || few.MaxRequests != unknown.MaxRequests {
		t.Errorf("descriptors bound the smallest VM: %+v, by memory alone %+v", few, unknown)
	}
}
