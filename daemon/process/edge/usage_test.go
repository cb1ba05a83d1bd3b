package edge

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// Guards against a measure of memory that does not follow what is held, or that counts
// what was given back to the system.
func TestWhatIsHeldIsMeasured(t *testing.T) {
	const held = 64 << 20
	u := newUsage()
	block := make([]byte, held)
	for i := 0; i < held; i += 4096 {
		block[i] = 1
	}
	debug.FreeOSMemory()
	with := u.read()
	if with < held || u.value(2) < held || u.value(4) == 0 {
		t.Errorf("%d bytes, %v", with, u.attributes())
	}
	runtime.KeepAlive(block)
	debug.FreeOSMemory()
	if without := u.read(); without > with-held*9/10 {
		t.Errorf("%d bytes with %d held and %d without", with, held, without)
	}
}
