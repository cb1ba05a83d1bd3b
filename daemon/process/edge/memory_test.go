package edge

import "testing"

// A VM of 112 MB held 2,300 goroutines, and the runtime collected garbage for two
// thirds of its processor to stay within its limit. What the bounds allow together
// must leave half of the limit to garbage, on the smallest VM, too.
func TestWhatIsBoundedLeavesMemoryToTheCollector(t *testing.T) {
	// base is what the process takes without any request, from a run of 69 VMs.
	const base = 12 << 20
	for _, megabytes := range []int64{112, 134, 536, 4096} {
		memory := megabytes << 20
		plan := planMemory(memory)
		most := base + int64(plan.callers)*callerBytes + int64(plan.idleUpstreams)*upstreamBytes +
			int64(plan.requests)*requestBytes + plan.bodyBytes
		if most > plan.runtimeBytes {
			t.Errorf("%d MB: %d bytes may be held, the runtime's limit is %d", megabytes, most, plan.runtimeBytes)
		}
		standing := base + int64(plan.callers)*callerBytes + int64(plan.idleUpstreams)*upstreamBytes
		if 2*standing > plan.runtimeBytes {
			t.Errorf("%d MB: connections without requests take %d bytes of %d", megabytes, standing, plan.runtimeBytes)
		}
		if plan.runtimeBytes >= memory*4/5 {
			t.Errorf("%d MB: %d bytes leave too little beside the runtime", megabytes, plan.runtimeBytes)
		}
	}
}
