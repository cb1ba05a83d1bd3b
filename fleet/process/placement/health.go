package placement

import "time"

const (
	// ejectMin and ejectMax bound how long an upstream that failed gets nothing;
	// each further failure doubles the time.
	ejectMin = 400 * time.Millisecond
	ejectMax = 3 * time.Second
	// brokenStreak is how many answers in a row may break before their upstream
	// is ejected. A single one says little: one connection may have been reset.
	brokenStreak = 3
	// failureMemory is the weight of the newest outcome in the failure share.
	failureMemory = 0.15
	// silenceFactor and silenceSlack tell when an upstream is taken for silent:
	// its answer has not begun after a multiple of the predicted time and some.
	silenceFactor = 3
	silenceSlack  = 400 * time.Millisecond
)

// health is what this VM has seen of an upstream's answers.
type health struct {
	// failures is the share of recent attempts that failed, 0 to 1.
	failures float64
	streak   int
	ejected  time.Time
	ejection time.Duration
}

// ok reports whether the upstream may get work.
func (h *health) ok(now time.Time) bool { return !now.Before(h.ejected) }

func (h *health) succeeded() {
	h.failures -= failureMemory * h.failures
	h.streak = 0
	h.ejection = 0
}

// broke notes an answer that broke off or a failure of the upstream's own.
func (h *health) broke(now time.Time) {
	h.failures += failureMemory * (1 - h.failures)
	h.streak++
	if h.streak >= brokenStreak {
		h.eject(now)
	}
}

// unreachable notes an upstream that took no connection.
func (h *health) unreachable(now time.Time) {
	h.failures += failureMemory * (1 - h.failures)
	h.eject(now)
}

func (h *health) eject(now time.Time) {
	if !h.ok(now) {
		// Several attempts fail together when an upstream goes away.
		return
	}
	h.ejection = min(max(2*h.ejection, ejectMin), ejectMax)
	h.ejected = now.Add(h.ejection)
}
