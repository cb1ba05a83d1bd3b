package upstream

import (
	"testing"
	"time"
)

// Guards against work that grows with what upstreams send: each read of each connection took a system
// call and a lock. The connections of an upstream are recorded together.
func TestReadsOfAnUpstreamAreRecordedTogether(t *testing.T) {
	calls := 0
	now := time.Unix(1000, 0)
	lives := NewLives(func() time.Time { calls++; return now }, time.Second, func() bool { return true })
	conns := make([]*life, 100)
	for i := range conns {
		conns[i] = &life{lives: lives, conn: lives.tracker.Open(now, "a")}
	}
	now = now.Add(time.Minute)
	lives.Read(now)
	// The first bytes after a standstill prove nothing, and each connection is recorded.
	conns[0].received()
	now = now.Add(100 * time.Millisecond)
	conns[1].received()
	now = now.Add(100 * time.Millisecond)
	conns[2].received()
	now = now.Add(100 * time.Millisecond)
	conns[3].received()
	calls = 0
	for range 10 {
		for _, conn := range conns {
			conn.received()
		}
	}
	if calls > len(conns)/10 {
		t.Errorf("%d reads of one upstream took the time %d times", 10*len(conns), calls)
	}
}
