package service

import (
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// estimateGain is the weight of the latest request in an account's moving
// average.
const estimateGain = 0.1

// mean is the moving average of the cost of an account's recent requests in one
// lane, in cost units.
type mean struct {
	cost     float64
	observed bool
}

// update adds the cost of a request. The first one sets the average.
func (m *mean) update(cost request.Cost) {
	if !m.observed {
		m.cost, m.observed = float64(cost), true
		return
	}
	m.cost += estimateGain * (float64(cost) - m.cost)
}

// orDefault returns the average, or hint, at least 1, if no request was
// observed.
func (m *mean) orDefault(hint request.Cost) request.Cost {
	if m.observed {
		return request.Cost(m.cost)
	}
	return max(hint, 1)
}

// Estimates predicts the cost of requests from the cost of the account's recent
// requests in the same lane. It is not safe for concurrent use.
type Estimates struct {
	means map[version.AccountID]*[request.Lanes]mean
}

// NewEstimates returns estimates without any observed request.
func NewEstimates() *Estimates {
	return &Estimates{means: make(map[version.AccountID]*[request.Lanes]mean)}
}

// Of returns the average cost of the account's recent requests in the ticket's
// lane, or the ticket's own estimate if there are none.
func (e *Estimates) Of(ticket request.Ticket) request.Cost {
	return e.mean(ticket.Account, ticket.Lane).orDefault(ticket.Estimate)
}

// Observe adds the true cost of a request.
func (e *Estimates) Observe(account version.AccountID, lane request.Lane, cost request.Cost) {
	e.mean(account, lane).update(cost)
}

// mean returns the average of an account and lane and creates it if needed.
// Lanes beyond the last known one count as long.
func (e *Estimates) mean(account version.AccountID, lane request.Lane) *mean {
	means, present := e.means[account]
	if !present {
		means = new([request.Lanes]mean)
		e.means[account] = means
	}
	return &means[min(lane, request.LaneLong)]
}
