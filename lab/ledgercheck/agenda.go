package ledgercheck

import (
	"container/heap"
	"time"
)

// agenda runs functions in the order of their virtual times.
type agenda struct {
	now   time.Time
	next  uint64
	items items
}

type item struct {
	// at is in nanoseconds of Unix time.
	at  int64
	seq uint64
	run func()
}

type items []*item

// at runs f at a time, or now if that has passed.
func (a *agenda) at(t time.Time, f func()) {
	if t.Before(a.now) {
		t = a.now
	}
	a.next++
	heap.Push(&a.items, &item{at: t.UnixNano(), seq: a.next, run: f})
}

func (a *agenda) after(d time.Duration, f func()) { a.at(a.now.Add(d), f) }

// until runs everything up to a time.
func (a *agenda) until(end time.Time) {
	for len(a.items) > 0 && a.items[0].at <= end.UnixNano() {
		i := heap.Pop(&a.items).(*item)
		a.now = time.Unix(0, i.at)
		i.run()
	}
	a.now = end
}

func (h items) Len() int { return len(h) }

func (h items) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *items) Push(x any) { *h = append(*h, x.(*item)) }

func (h *items) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
