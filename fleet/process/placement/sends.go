package placement

import (
	"slices"
	"time"
)

// sendHistoryTime is how long a request counts as sent: the longest window in which requests to
// an upstream are bounded.
const sendHistoryTime = limitWindow

// sendHistory holds when this VM sent requests to an upstream, the oldest first. Requests to an
// upstream without any bound are recorded too, because it may get one within the window.
type sendHistory struct {
	sentAt []time.Time
}

// record counts a request that is sent.
func (h *sendHistory) record(now time.Time) {
	h.forget(now.Add(-sendHistoryTime))
	h.sentAt = append(h.sentAt, now)
}

// within returns how many requests were sent in the window before now. The window is at most
// sendHistoryTime.
func (h *sendHistory) within(now time.Time, window time.Duration) int {
	h.forget(now.Add(-sendHistoryTime))
	return len(h.sentAt) - h.sentBefore(now.Add(-window))
}

// forget drops the requests that were sent at cutoff or earlier.
func (h *sendHistory) forget(cutoff time.Time) {
	h.sentAt = h.sentAt[h.sentBefore(cutoff):]
}

// sentBefore returns how many of the requests were sent at cutoff or earlier.
func (h *sendHistory) sentBefore(cutoff time.Time) int {
	index, _ := slices.BinarySearchFunc(h.sentAt, cutoff, func(at, cutoff time.Time) int {
		if at.After(cutoff) {
			return 1
		}
		return -1
	})
	return index
}

// clone returns an independent copy.
func (h *sendHistory) clone() sendHistory { return sendHistory{sentAt: slices.Clone(h.sentAt)} }
