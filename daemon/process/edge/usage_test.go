package edge

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// Guards against a measurement of memory that misses allocated memory, or that counts memory
// which was returned to the operating system.
func TestMemoryUsageFollowsAllocations(t *testing.T) {
	const blockBytes = 64 << 20
	u := newMemoryUsage()
	block := make([]byte, blockBytes)
	for i := 0; i < blockBytes; i += 4096 {
		block[i] = 1
	}
	debug.FreeOSMemory()
	with := u.read()
	if with < blockBytes || u.value(2) < blockBytes || u.value(4) == 0 {
		t.Errorf("measured %d bytes with a block allocated, %v", with, u.logAttributes())
	}
	runtime.KeepAlive(block)
	debug.FreeOSMemory()
	if without := u.read(); without > with-blockBytes*9/10 {
		t.Errorf("measured %d bytes with a block of %d bytes and %d bytes without", with, blockBytes, without)
	}
}
