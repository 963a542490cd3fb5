package queue

import "time"

// entry is an item with its place in an order.
type entry[T any] struct {
	Item[T]
	due time.Time
	// late puts the entry behind those of a later deadline: among requests that
	// will hardly be in time, the one with the most time left has most hope.
	late bool
	in   *order[T]
	at   int
	// passedOver counts the preferred requests that went first.
	passedOver int
}

// passed tells whether the caller has given up by the time.
func (e *entry[T]) passed(by time.Time) bool {
	return !e.Deadline.IsZero() && by.After(e.Deadline)
}

// order is a heap by due time, for late entries the last first, then by arrival
// and id.
type order[T any] []*entry[T]

// Len implements heap.Interface.
func (o order[T]) Len() int { return len(o) }

// Less implements heap.Interface.
func (o order[T]) Less(i, j int) bool {
	a, b := o[i], o[j]
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due) != a.late
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// Swap implements heap.Interface.
func (o order[T]) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].at, o[j].at = i, j
}

// Push implements heap.Interface.
func (o *order[T]) Push(x any) {
	e := x.(*entry[T])
	e.at = len(*o)
	*o = append(*o, e)
}

// Pop implements heap.Interface.
func (o *order[T]) Pop() any {
	old := *o
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*o = old[:last]
	return e
}
