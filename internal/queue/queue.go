// Package queue holds the requests of one workspace that wait at one daemon for
// a slot.
//
// The load pattern it addresses: a workspace sends two hundred long batch
// requests and then one short interactive request, and under overload more than
// can be served in time. In arrival order the interactive request waits behind
// the batch requests, and every response is late because slots go to requests
// whose callers are about to give up.
//
// Classes share the slot time of a workspace by weight, 16 to 4 to 1 by
// default: an interactive request is next as long as interactive requests use
// less than 16 of 21 parts of the time, and batch requests get 1 of 21
// regardless of what else is waiting. A class earns no credit while it is
// empty. Within a class the earliest deadline goes first. A request that is
// unlikely to meet its deadline is moved behind all requests, of any class,
// that can meet theirs; among such requests the latest deadline goes first. A
// request is returned as expired once its deadline has passed. Every class but
// the first leaves the last tenths of the queue free for the classes before it,
// so that batch requests cannot crowd out interactive ones.
package queue

import (
	"container/heap"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Defaults of Config.
const (
	DefaultLimit          = 1000
	DefaultImpliedTimeout = 60 * time.Second
	DefaultReserve        = 0.1
)

// DefaultWeights returns the weights of the classes 0, 1 and 2.
func DefaultWeights() []float64 { return []float64{16, 4, 1} }

// Config configures a Queue. Zero fields take their defaults.
type Config struct {
	// Limit bounds the number of waiting requests (default 1000).
	Limit int
	// Weights holds the weight of each class, the first class first (default
	// 16, 4, 1). Its length is the number of classes.
	Weights []float64
	// ImpliedTimeout takes the place of the deadline when a request without one
	// is ordered (default 60 s).
	ImpliedTimeout time.Duration
	// Reserve is the fraction of Limit that each class leaves free for the
	// classes before it (default 0.1).
	Reserve float64
}

// Item is a waiting request.
type Item[T any] struct {
	// ID identifies the request; it must not be in the queue yet.
	ID ident.Request
	// Class is the index of the request's class. An index above the last class
	// counts as the last.
	Class uint8
	// Arrived is the arrival time, which orders requests without a deadline.
	Arrived time.Time
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Front puts the request ahead of all others of its class and exempts it
	// from Limit. It is set for a request that has already waited and whose
	// attempt did not run.
	Front bool
	// Value is opaque to the queue.
	Value T
}

// Queue holds the waiting requests of one workspace. It is not safe for
// concurrent use.
type Queue[T any] struct {
	config  Config
	classes []class[T]
	// late holds the requests that are unlikely to meet their deadlines.
	late  requestHeap[T]
	items map[ident.Request]*entry[T]
	// earliestDeadline is a lower bound of all deadlines; zero if there are
	// none.
	earliestDeadline time.Time
	// virtualTime is the highest virtual time that a class has had when a
	// request of it was popped.
	virtualTime float64
}

// class is the queue of one class.
type class[T any] struct {
	requestHeap[T]
	weight float64
	// medianServiceTime is the median time from dispatch to completion.
	medianServiceTime time.Duration
	// virtualTime is the slot time charged to the class over its weight.
	virtualTime float64
}

// New returns an empty queue.
func New[T any](c Config) *Queue[T] {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	if len(c.Weights) == 0 {
		c.Weights = DefaultWeights()
	}
	if c.ImpliedTimeout <= 0 {
		c.ImpliedTimeout = DefaultImpliedTimeout
	}
	if c.Reserve <= 0 {
		c.Reserve = DefaultReserve
	}
	q := &Queue[T]{config: c, items: make(map[ident.Request]*entry[T])}
	for _, w := range c.Weights {
		q.classes = append(q.classes, class[T]{weight: w})
	}
	return q
}

// SetLimit changes the limit. Requests already waiting above it remain in the
// queue.
func (q *Queue[T]) SetLimit(limit int) { q.config.Limit = limit }

// SetMedianServiceTime sets the measured median time from dispatch to
// completion in the class. A request whose deadline is closer than that is
// unlikely to meet it.
func (q *Queue[T]) SetMedianServiceTime(class uint8, median time.Duration) {
	q.classes[q.classIndex(class)].medianServiceTime = median
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// LenClass returns the number of waiting requests of the class, excluding late
// ones.
func (q *Queue[T]) LenClass(class uint8) int { return q.classes[q.classIndex(class)].Len() }

// Ahead returns the minimum number of waiting requests that would be popped
// before a new one of the class: those of its class and of the classes before
// it.
func (q *Queue[T]) Ahead(class uint8) int {
	n := 0
	for i := range q.classIndex(class) + 1 {
		n += q.classes[i].Len()
	}
	return n
}

// Push adds a request. It fails with the code QueueFull if the queue is full.
func (q *Queue[T]) Push(it Item[T]) *resultcode.Failure {
	index := q.classIndex(it.Class)
	usable := 1 - q.config.Reserve*float64(index)
	if !it.Front && len(q.items) >= max(1, int(float64(q.config.Limit)*usable)) {
		return resultcode.Fail(resultcode.QueueFull, "%d requests wait", len(q.items))
	}
	e := &entry[T]{Item: it, sortTime: it.Deadline}
	switch {
	case it.Front:
		e.sortTime = time.Time{}
	case it.Deadline.IsZero():
		e.sortTime = it.Arrived.Add(q.config.ImpliedTimeout)
	}
	c := &q.classes[index]
	if c.Len() == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	q.items[it.ID] = e
	q.noteDeadline(it.Deadline)
	e.parent = &c.requestHeap
	heap.Push(e.parent, e)
	return nil
}

func (q *Queue[T]) classIndex(class uint8) int { return min(int(class), len(q.classes)-1) }

// Pop removes and returns the next request. It also removes and returns, in
// expired, requests whose deadline has passed without their having run.
func (q *Queue[T]) Pop(now time.Time) (it Item[T], expired []Item[T], ok bool) {
	return q.PopWhere(now, func(Item[T]) bool { return true })
}

// PopWhere removes the first request, in the order of Pop, for which fits
// returns true.
func (q *Queue[T]) PopWhere(now time.Time, fits func(Item[T]) bool) (it Item[T], expired []Item[T], ok bool) {
	return q.PopPreferred(now, fits, nil)
}

// PopPreferred is like PopWhere, but a request near the head of the same class
// for which prefers returns true may go ahead of the head. A request is
// bypassed in this way at most maxBypasses times. A nil prefers prefers none.
func (q *Queue[T]) PopPreferred(now time.Time, fits, prefers func(Item[T]) bool) (it Item[T], expired []Item[T], ok bool) {
	var skipped []*entry[T]
	defer func() {
		for _, e := range skipped {
			heap.Push(e.parent, e)
		}
	}()
	for e := q.next(); e != nil; e = q.next() {
		switch {
		case e.expired(now):
			q.drop(e)
			expired = append(expired, e.Item)
		case e.parent != &q.late && e.expired(now.Add(q.classes[q.classIndex(e.Class)].medianServiceTime)):
			heap.Remove(e.parent, e.index)
			e.parent, e.late = &q.late, true
			heap.Push(e.parent, e)
		case !fits(e.Item):
			heap.Remove(e.parent, e.index)
			skipped = append(skipped, e)
		default:
			e = q.preferred(e, now, fits, prefers)
			q.chargeClass(e)
			q.drop(e)
			return e.Item, expired, true
		}
	}
	return it, expired, false
}

const (
	// preferenceLookahead is how many requests at the top of the heap are
	// checked for a preferred one: three levels, which contain the requests
	// that are popped next.
	preferenceLookahead = 7
	// maxBypasses limits the cost of a preference for other requests to a few
	// positions.
	maxBypasses = 4
)

// preferred returns the request to pop in place of the head of its class, or
// the head itself. Late requests are never bypassed, because they have no time
// to spare.
func (q *Queue[T]) preferred(head *entry[T], now time.Time, fits, prefers func(Item[T]) bool) *entry[T] {
	if prefers == nil || head.parent == &q.late || head.bypasses == maxBypasses || prefers(head.Item) {
		return head
	}
	best := head
	for _, e := range (*head.parent)[:min(preferenceLookahead, head.parent.Len())] {
		if e.expired(now) || !prefers(e.Item) || !fits(e.Item) {
			continue
		}
		if best == head || e.sortTime.Before(best.sortTime) {
			best = e
		}
	}
	if best != head {
		head.bypasses++
	}
	return best
}

// Drain removes and returns all requests.
func (q *Queue[T]) Drain() []Item[T] {
	var all []Item[T]
	for i := range q.classes {
		all = q.drain(&q.classes[i].requestHeap, all)
	}
	return q.drain(&q.late, all)
}

func (q *Queue[T]) drain(h *requestHeap[T], all []Item[T]) []Item[T] {
	for h.Len() > 0 {
		e := (*h)[0]
		q.drop(e)
		all = append(all, e.Item)
	}
	return all
}

// next returns the head of the class with the lowest virtual time, the first
// class on a tie. If all classes are empty, it returns the head of the late
// requests, or nil if there are none.
func (q *Queue[T]) next() *entry[T] {
	var best *class[T]
	for i := range q.classes {
		c := &q.classes[i]
		if c.Len() > 0 && (best == nil || c.virtualTime < best.virtualTime) {
			best = c
		}
	}
	switch {
	case best != nil:
		return best.requestHeap[0]
	case q.late.Len() > 0:
		return q.late[0]
	}
	return nil
}

// chargeClass charges the class of e with the median service time of the class.
func (q *Queue[T]) chargeClass(e *entry[T]) {
	c := &q.classes[q.classIndex(e.Class)]
	q.virtualTime = max(q.virtualTime, c.virtualTime)
	c.virtualTime += max(minServiceTime, c.medianServiceTime).Seconds() / c.weight
}

// minServiceTime is the lower bound of the charged service time. It also
// applies before one has been measured.
const minServiceTime = 10 * time.Millisecond

// Remove removes a request, for example because its caller disconnected.
func (q *Queue[T]) Remove(id ident.Request) (Item[T], bool) {
	e := q.items[id]
	if e == nil {
		return Item[T]{}, false
	}
	q.drop(e)
	return e.Item, true
}

// Expire removes and returns the requests whose deadline has passed, so that
// their callers are notified even if no slot becomes free.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	if q.earliestDeadline.IsZero() || !now.After(q.earliestDeadline) {
		return nil
	}
	var expired []Item[T]
	for i := range q.classes {
		expired = q.expire(&q.classes[i].requestHeap, now, expired)
	}
	expired = q.expire(&q.late, now, expired)
	q.earliestDeadline = time.Time{}
	for _, e := range q.items {
		q.noteDeadline(e.Deadline)
	}
	return expired
}

func (q *Queue[T]) noteDeadline(deadline time.Time) {
	if !deadline.IsZero() && (q.earliestDeadline.IsZero() || deadline.Before(q.earliestDeadline)) {
		q.earliestDeadline = deadline
	}
}

func (q *Queue[T]) expire(h *requestHeap[T], now time.Time, expired []Item[T]) []Item[T] {
	var expiredEntries []*entry[T]
	for _, e := range *h {
		if e.expired(now) {
			expiredEntries = append(expiredEntries, e)
		}
	}
	for _, e := range expiredEntries {
		q.drop(e)
		expired = append(expired, e.Item)
	}
	return expired
}

func (q *Queue[T]) drop(e *entry[T]) {
	heap.Remove(e.parent, e.index)
	delete(q.items, e.ID)
}
