package ledgercheck

import (
	"container/heap"
	"time"
)

// eventQueue runs functions in the order of their virtual times, and functions of
// the same time in the order in which they were added.
type eventQueue struct {
	now     time.Time
	lastSeq uint64
	pending eventHeap
}

type queuedEvent struct {
	atUnixNano int64
	seq        uint64
	run        func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []*queuedEvent

// at schedules f for a time, or for now if that time has passed.
func (q *eventQueue) at(t time.Time, f func()) {
	if t.Before(q.now) {
		t = q.now
	}
	q.lastSeq++
	heap.Push(&q.pending, &queuedEvent{atUnixNano: t.UnixNano(), seq: q.lastSeq, run: f})
}

// after schedules f for a time d from now.
func (q *eventQueue) after(d time.Duration, f func()) { q.at(q.now.Add(d), f) }

// runUntil advances the virtual time to end and runs every event due by then.
func (q *eventQueue) runUntil(end time.Time) {
	for len(q.pending) > 0 && q.pending[0].atUnixNano <= end.UnixNano() {
		e := heap.Pop(&q.pending).(*queuedEvent)
		q.now = time.Unix(0, e.atUnixNano)
		e.run()
	}
	q.now = end
}

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].atUnixNano != h[j].atUnixNano {
		return h[i].atUnixNano < h[j].atUnixNano
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*queuedEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
