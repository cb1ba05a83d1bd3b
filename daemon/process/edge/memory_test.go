package edge

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
		plan := planMemory(memory)
		maxUsed := base + int64(plan.maxCallerConns)*callerConnBytes + int64(plan.maxIdleUpstreamConns)*idleUpstreamConnBytes +
			int64(plan.maxRequests)*requestBytes + plan.maxBodyBytes + plan.maxAnswerBytes + plan.maxHeadBytes + plan.maxUnreadBytes
		if maxUsed > plan.runtimeLimitBytes {
			t.Errorf("VM of %d MB: the limits allow %d bytes, above the runtime's limit of %d bytes", megabytes, maxUsed, plan.runtimeLimitBytes)
		}
		connsUsed := base + int64(plan.maxCallerConns)*callerConnBytes + int64(plan.maxIdleUpstreamConns)*idleUpstreamConnBytes
		if 2*connsUsed > plan.runtimeLimitBytes {
			t.Errorf("VM of %d MB: connections without requests take %d bytes, more than half of the runtime's limit of %d bytes", megabytes, connsUsed, plan.runtimeLimitBytes)
		}
		if plan.runtimeLimitBytes >= memory*4/5 {
			t.Errorf("VM of %d MB: the runtime's limit of %d bytes is not below 4/5 of the memory", megabytes, plan.runtimeLimitBytes)
		}
	}
}
