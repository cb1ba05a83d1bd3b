package service

import "github.com/trefoilwell/trefoilwell/fleet/request"

// estimateGain is the weight of the latest request in an account's mean.
const estimateGain = 0.1

// mean follows the cost of an account's recent requests in one lane.
type mean struct {
	cost  float64
	known bool
}

func (m *mean) learn(cost request.Cost) {
	if !m.known {
		m.cost, m.known = float64(cost), true
		return
	}
	m.cost += estimateGain * (float64(cost) - m.cost)
}

// or returns the mean, or hint if nothing is known.
func (m *mean) or(hint request.Cost) request.Cost {
	if m.known {
		return request.Cost(m.cost)
	}
	return max(hint, 1)
}
