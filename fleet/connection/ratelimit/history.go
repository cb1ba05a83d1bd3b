package ratelimit

import (
	"slices"
	"time"
)

// History holds when requests were sent to an upstream within the last Window, the oldest first.
// Requests to an upstream without any bound are recorded too, because it may get one within the
// window.
type History struct {
	sentAt []time.Time
}

// Record counts a request that is sent.
func (h *History) Record(now time.Time) {
	h.forget(now.Add(-Window))
	h.sentAt = append(h.sentAt, now)
}

// Within returns how many requests were sent in the window before now. The window is at most
// Window long.
func (h *History) Within(now time.Time, window time.Duration) int {
	h.forget(now.Add(-Window))
	return len(h.sentAt) - h.sentBefore(now.Add(-window))
}

// forget drops the requests that were sent at cutoff or earlier.
func (h *History) forget(cutoff time.Time) {
	h.sentAt = h.sentAt[h.sentBefore(cutoff):]
}

// sentBefore returns how many of the requests were sent at cutoff or earlier.
func (h *History) sentBefore(cutoff time.Time) int {
	index, _ := slices.BinarySearchFunc(h.sentAt, cutoff, func(at, cutoff time.Time) int {
		if at.After(cutoff) {
			return 1
		}
		return -1
	})
	return index
}

// Clone returns an independent copy.
func (h *History) Clone() History { return History{sentAt: slices.Clone(h.sentAt)} }

// Oldest returns when the oldest request within the last Window was sent, and false if there is
// none.
func (h *History) Oldest(now time.Time) (time.Time, bool) {
	if h.Within(now, Window) == 0 {
		return time.Time{}, false
	}
	return h.sentAt[0], true
}
