package queue

import "container/heap"

// levelHeap implements heap.Interface over accounts, lowest level first.
type levelHeap []*account

func (h levelHeap) Len() int { return len(h) }

func (h levelHeap) Less(i, j int) bool { return h[i].ranksBefore(h[j]) }

func (h levelHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *levelHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *levelHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// ascending yields the accounts, lowest level first, without changing the heap. The
// first k accounts cost O(k log k).
func (h levelHeap) ascending() func(yield func(*account) bool) {
	return func(yield func(*account) bool) {
		if len(h) == 0 || !yield(h[0]) {
			return
		}
		frontier := frontier{heap: h}
		frontier.pushChildren(0)
		for len(frontier.indexes) > 0 {
			i := heap.Pop(&frontier).(int)
			if !yield(h[i]) {
				return
			}
			frontier.pushChildren(i)
		}
	}
}

// ranksBefore reports whether a comes before b in the order by level, then by ID.
func (a *account) ranksBefore(b *account) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	return a.id < b.id
}

// frontier implements heap.Interface over indexes of a levelHeap. It holds those that
// have not been visited but whose parents have.
type frontier struct {
	heap    levelHeap
	indexes []int
}

func (f *frontier) pushChildren(i int) {
	for child := 2*i + 1; child <= 2*i+2 && child < len(f.heap); child++ {
		heap.Push(f, child)
	}
}

func (f *frontier) Len() int { return len(f.indexes) }

func (f *frontier) Less(i, j int) bool {
	return f.heap[f.indexes[i]].ranksBefore(f.heap[f.indexes[j]])
}

func (f *frontier) Swap(i, j int) { f.indexes[i], f.indexes[j] = f.indexes[j], f.indexes[i] }

// Push implements heap.Interface.
func (f *frontier) Push(x any) { f.indexes = append(f.indexes, x.(int)) }

// Pop implements heap.Interface.
func (f *frontier) Pop() any {
	last := f.indexes[len(f.indexes)-1]
	f.indexes = f.indexes[:len(f.indexes)-1]
	return last
}

// expiryHeap implements heap.Interface over tickets, earliest expiry first.
type expiryHeap []*queuedTicket

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	t := x.(*queuedTicket)
	t.expiryIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
