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

// allows reports whether another request may be sent. limit is this VM's part of
// the requests in any window; below 1, requests keep a longer distance.
func (g *coldGate) allows(now time.Time, limit float64) bool {
	if !g.cold(now) {
		return true
	}
	window := coldWindow
	if limit < 1 {
		window = time.Duration(float64(coldWindow) / max(limit, minColdLimit))
	}
	g.forget(now.Add(-window))
	return float64(len(g.sent)) < max(limit, 1) && len(g.sent) < max(int(limit), 1)
}

// minColdLimit keeps a little work going to a cold upstream from each VM of the
// largest fleet, in requests a second.
const minColdLimit = 0.1

// count notes a request that is sent. Warm upstreams are counted too, because
// they may turn cold within the window.
func (g *coldGate) count(now time.Time) { g.sent = append(g.sent, now) }

func (g *coldGate) forget(before time.Time) {
	kept := g.sent[:0]
	for _, at := range g.sent {
		if at.After(before) {
			kept = append(kept, at)
		}
	}
	g.sent = kept
}
