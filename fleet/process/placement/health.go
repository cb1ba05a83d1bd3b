package placement

import "time"

const (
	// minEjection and maxEjection bound how long a failed upstream gets no requests; each
	// further failure doubles the time.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
	// failuresToEject is the number of failed answers in a row after which an upstream is
	// ejected. A single failure says little: one connection may have been reset.
	failuresToEject = 3
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.15
	// overdueFactor and overdueSlack define when an upstream is unresponsive: no first byte
	// after overdueFactor times the predicted TTFB plus overdueSlack.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// health is the state of an upstream as observed by this VM from the outcomes of attempts.
type health struct {
	// failureRate is the fraction of recent attempts that failed, 0 to 1, as a moving average.
	failureRate   float64
	failureStreak int
	ejectedUntil  time.Time
	ejectionTime  time.Duration
}

// available reports whether the upstream may get requests, that is, whether it is not ejected.
func (h *health) available(now time.Time) bool { return !now.Before(h.ejectedUntil) }

// recordSuccess records an answer without a failure, which resets the failure streak.
func (h *health) recordSuccess() {
	h.failureRate -= failureWeight * h.failureRate
	h.failureStreak = 0
	h.ejectionTime = 0
}

// recordFailure records an answer that broke off or a failure of the upstream itself.
func (h *health) recordFailure(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.failureStreak++
	if h.failureStreak >= failuresToEject {
		h.eject(now)
	}
}

// recordUnreachable records that the upstream accepted no connection.
func (h *health) recordUnreachable(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.eject(now)
}

// eject ejects the upstream, unless it is ejected already.
func (h *health) eject(now time.Time) {
	if !h.available(now) {
		// When an upstream goes down, several attempts fail together.
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime)
}
