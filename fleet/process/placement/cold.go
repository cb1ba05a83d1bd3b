package placement

import "time"

// coldWindow is the span in which requests to a cold upstream are counted: its
// bound holds for any second, and requests sent a second apart may arrive
// closer together.
const coldWindow = 1100 * time.Millisecond

// coldGate keeps this VM's part of what a cold upstream bears.
type coldGate struct {
	until time.Time
	sent  []time.Time
}

// cold reports whether the upstream is cold.
func (g *coldGate) cold(now time.Time) bool { return now.Before(g.until) }

// allows reports whether another request may be sent, if limit of them may be in
// any window.
func (g *coldGate) allows(now time.Time, limit int) bool {
	g.forget(now.Add(-coldWindow))
	return len(g.sent) < limit
}

// count notes a request that is sent. Warm upstreams are counted too, because
// they may turn cold within the window.
func (g *coldGate) count(now time.Time) {
	g.forget(now.Add(-coldWindow))
	g.sent = append(g.sent, now)
}

func (g *coldGate) forget(before time.Time) {
	old := 0
	for old < len(g.sent) && !g.sent[old].After(before) {
		old++
	}
	g.sent = g.sent[old:]
}
