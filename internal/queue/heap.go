package queue

import "time"

// entry is an item and its position in a heap.
type entry[T any] struct {
	Item[T]
	sortTime time.Time
	// late reverses the order of the sort times: of the requests that are
	// unlikely to meet their deadlines, the one with the latest deadline has
	// the best chance and goes first.
	late   bool
	parent *requestHeap[T]
	index  int
	// bypasses counts the preferred requests that were popped ahead of this
	// one.
	bypasses int
}

// expired reports whether the deadline has passed.
func (e *entry[T]) expired(now time.Time) bool {
	return !e.Deadline.IsZero() && now.After(e.Deadline)
}

// requestHeap is a heap ordered by sort time, latest first for late entries,
// then by arrival and ID.
type requestHeap[T any] []*entry[T]

// Len implements heap.Interface.
func (h requestHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.sortTime.Equal(b.sortTime) {
		return a.sortTime.Before(b.sortTime) != a.late
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// Swap implements heap.Interface.
func (h requestHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *requestHeap[T]) Push(x any) {
	e := x.(*entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *requestHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
