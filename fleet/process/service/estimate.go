package service

import (
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

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

// Estimates follows the cost of each account's recent requests by lane. It is
// not safe for concurrent use.
type Estimates struct {
	means map[version.AccountID]*[request.Lanes]mean
}

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates {
	return &Estimates{means: make(map[version.AccountID]*[request.Lanes]mean)}
}

// Of returns the mean of the account's recent requests in the ticket's lane, or
// the ticket's own estimate.
func (e *Estimates) Of(ticket request.Ticket) request.Cost {
	return e.mean(ticket.Account, ticket.Lane).or(ticket.Estimate)
}

// Learn adds the true cost of a request.
func (e *Estimates) Learn(account version.AccountID, lane request.Lane, cost request.Cost) {
	e.mean(account, lane).learn(cost)
}

func (e *Estimates) mean(account version.AccountID, lane request.Lane) *mean {
	means, present := e.means[account]
	if !present {
		means = new([request.Lanes]mean)
		e.means[account] = means
	}
	return &means[min(lane, request.LaneLong)]
}
