package edge

import (
	"runtime"
	"testing"
)

// Guards against a measure of memory that does not follow what is held, or that counts
// what was given back to the system.
func TestWhatIsHeldIsMeasured(t *testing.T) {
	const held = 64 << 20
	u := newUsage()
	before := u.read()
	block := make([]byte, held)
	for i := 0; i < held; i += 4096 {
		block[i] = 1
	}
	if after := u.read(); after < before+held {
		t.Errorf("%d bytes before, %d with %d more", before, after, held)
	}
	if u.value(2) < held || u.value(4) == 0 {
		t.Errorf("%v", u.attributes())
	}
	runtime.KeepAlive(block)
}
