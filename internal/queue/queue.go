// Package queue holds the requests of one workspace that wait at one daemon for
// a slot.
//
// The load pattern it answers: a workspace sends two hundred long drafts and
// then one short question, and under overload more than can be answered in
// time. In arrival order the question waits behind the drafts, and every answer
// is late because slots go to requests whose callers have nearly given up.
//
// Classes share the time on slots that a workspace gets by weight, 16 to 4 to 1
// by default: a question is next as long as questions take less than 16 in 21
// parts of it, and batch requests get 1 in 21 whatever else waits. A class earns
// no credit while it is empty. Within a class the earliest deadline goes first; a
// request that will hardly be in time any more stands behind all that can be, of
// whatever class, the least hopeless first, and is handed back when its deadline
// has passed. Each class but the first is kept
// out of the last tenths of the queue, so that drafts cannot fill it against
// questions.
package queue

import (
	"container/heap"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Defaults of Config.
const (
	DefaultLimit    = 1000
	DefaultPatience = 60 * time.Second
	DefaultReserve  = 0.1
)

// DefaultWeights are the shares of the classes 0, 1 and 2.
func DefaultWeights() []float64 { return []float64{16, 4, 1} }

// Config sets up a Queue. Zero fields take their defaults.
type Config struct {
	// Limit bounds the requests that wait (default 1000).
	Limit int
	// Weights gives the share of each class, the first class first (default 16,
	// 4, 1). It also sets the number of classes.
	Weights []float64
	// Patience stands in for the deadline of a request that has none
	// (default 60 s), so that it keeps a place in the order.
	Patience time.Duration
	// Reserve is the part of Limit that each class leaves to the classes before
	// it (default 0.1).
	Reserve float64
}

// Item is one waiting request.
type Item[T any] struct {
	// ID must not be in the queue yet.
	ID ident.Request
	// Class goes before those with a higher number; one above the last counts
	// as the last.
	Class uint8
	// Arrived orders requests without a deadline.
	Arrived time.Time
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Front puts the request before all others of its class and past the bound:
	// it waited before and its attempt did not run.
	Front bool
	// Value is the caller's own.
	Value T
}

// Queue holds the waiting requests of one workspace. It is not safe for
// concurrent use.
type Queue[T any] struct {
	config  Config
	classes []class[T]
	// late holds what cannot be in time any more.
	late  order[T]
	items map[ident.Request]*entry[T]
	// earliest is at or before the earliest deadline; zero: there is none.
	earliest time.Time
	// clock is the virtual time of the class that was popped last.
	clock float64
}

// class is the sub-queue of one class.
type class[T any] struct {
	order[T]
	weight float64
	// typical is the time that a request takes once it is dispatched.
	typical time.Duration
	// pass is the class's virtual time: time on slots over weight.
	pass float64
}

// New returns an empty queue.
func New[T any](c Config) *Queue[T] {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	if len(c.Weights) == 0 {
		c.Weights = DefaultWeights()
	}
	if c.Patience <= 0 {
		c.Patience = DefaultPatience
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

// SetLimit changes the bound. What already waits above it stays.
func (q *Queue[T]) SetLimit(limit int) { q.config.Limit = limit }

// SetTypical sets the measured median time from dispatch to the end of a request
// of the class. One whose deadline is nearer than that will hardly be in time.
func (q *Queue[T]) SetTypical(class uint8, typical time.Duration) {
	q.classes[q.index(class)].typical = typical
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// LenClass returns how many requests of the class wait, late ones left out.
func (q *Queue[T]) LenClass(class uint8) int { return q.classes[q.index(class)].Len() }

// Ahead returns how many waiting requests a new one of the class would be
// popped after, at the least: those of its class and of the classes before it.
func (q *Queue[T]) Ahead(class uint8) int {
	n := 0
	for i := range q.index(class) + 1 {
		n += q.classes[i].Len()
	}
	return n
}

// Push adds a request. The failure has the code QueueFull.
func (q *Queue[T]) Push(it Item[T]) *resultcode.Failure {
	index := q.index(it.Class)
	free := 1 - q.config.Reserve*float64(index)
	if !it.Front && len(q.items) >= max(1, int(float64(q.config.Limit)*free)) {
		return resultcode.Fail(resultcode.QueueFull, "%d requests wait", len(q.items))
	}
	e := &entry[T]{Item: it, due: it.Deadline}
	switch {
	case it.Front:
		e.due = time.Time{}
	case it.Deadline.IsZero():
		e.due = it.Arrived.Add(q.config.Patience)
	}
	c := &q.classes[index]
	if c.Len() == 0 {
		c.pass = max(c.pass, q.clock)
	}
	q.items[it.ID] = e
	q.noteDeadline(it.Deadline)
	e.in = &c.order
	heap.Push(e.in, e)
	return nil
}

func (q *Queue[T]) index(class uint8) int { return min(int(class), len(q.classes)-1) }

// Pop removes the request that goes next. Expired are requests whose deadline
// has passed; they are removed as well and were not run.
func (q *Queue[T]) Pop(now time.Time) (it Item[T], expired []Item[T], ok bool) {
	return q.PopWhere(now, func(Item[T]) bool { return true })
}

// PopWhere removes the first request, in the order of Pop, that fits.
func (q *Queue[T]) PopWhere(now time.Time, fits func(Item[T]) bool) (it Item[T], expired []Item[T], ok bool) {
	return q.PopPreferred(now, fits, nil)
}

// PopPreferred is PopWhere, but for a request near the head of the same class
// that is preferred: it may go first. A request is passed over for that
// maxPassedOver times at most. Nil prefers none.
func (q *Queue[T]) PopPreferred(now time.Time, fits, prefers func(Item[T]) bool) (it Item[T], expired []Item[T], ok bool) {
	var passedOver []*entry[T]
	defer func() {
		for _, e := range passedOver {
			heap.Push(e.in, e)
		}
	}()
	for e := q.next(); e != nil; e = q.next() {
		switch {
		case e.passed(now):
			q.drop(e)
			expired = append(expired, e.Item)
		case e.in != &q.late && e.passed(now.Add(q.classes[q.index(e.Class)].typical)):
			heap.Remove(e.in, e.at)
			e.in, e.late = &q.late, true
			heap.Push(e.in, e)
		case !fits(e.Item):
			heap.Remove(e.in, e.at)
			passedOver = append(passedOver, e)
		default:
			e = q.preferred(e, now, fits, prefers)
			q.account(e)
			q.drop(e)
			return e.Item, expired, true
		}
	}
	return it, expired, false
}

const (
	// near is how many requests at the top of the heap are looked at for a
	// preferred one: three levels, which hold those that go next.
	near = 7
	// maxPassedOver bounds what a preference costs the others: a few places.
	maxPassedOver = 4
)

// preferred returns the request that goes in place of the head of its class, or
// the head. Late requests have no time to lose for a preference.
func (q *Queue[T]) preferred(head *entry[T], now time.Time, fits, prefers func(Item[T]) bool) *entry[T] {
	if prefers == nil || head.in == &q.late || head.passedOver == maxPassedOver || prefers(head.Item) {
		return head
	}
	best := head
	for _, e := range (*head.in)[:min(near, head.in.Len())] {
		if e.passed(now) || !prefers(e.Item) || !fits(e.Item) {
			continue
		}
		if best == head || e.due.Before(best.due) {
			best = e
		}
	}
	if best != head {
		head.passedOver++
	}
	return best
}

// Drain removes and returns all requests.
func (q *Queue[T]) Drain() []Item[T] {
	var all []Item[T]
	for i := range q.classes {
		all = q.drain(&q.classes[i].order, all)
	}
	return q.drain(&q.late, all)
}

func (q *Queue[T]) drain(o *order[T], all []Item[T]) []Item[T] {
	for o.Len() > 0 {
		e := (*o)[0]
		q.drop(e)
		all = append(all, e.Item)
	}
	return all
}

// next returns the head of the class with the least virtual time, the first
// class on a tie, or the head of the late ones.
func (q *Queue[T]) next() *entry[T] {
	var best *class[T]
	for i := range q.classes {
		c := &q.classes[i]
		if c.Len() > 0 && (best == nil || c.pass < best.pass) {
			best = c
		}
	}
	switch {
	case best != nil:
		return best.order[0]
	case q.late.Len() > 0:
		return q.late[0]
	}
	return nil
}

// account charges the class of e with the time that the request will take.
func (q *Queue[T]) account(e *entry[T]) {
	c := &q.classes[q.index(e.Class)]
	q.clock = max(q.clock, c.pass)
	c.pass += max(leastTime, c.typical).Seconds() / c.weight
}

// leastTime stands for the time of a request until one was measured.
const leastTime = 10 * time.Millisecond

// Remove takes a request out, for instance because its caller left.
func (q *Queue[T]) Remove(id ident.Request) (Item[T], bool) {
	e := q.items[id]
	if e == nil {
		return Item[T]{}, false
	}
	q.drop(e)
	return e.Item, true
}

// Expire removes and returns the requests whose deadline has passed, so that
// their callers hear of it although no slot becomes free.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	if q.earliest.IsZero() || !now.After(q.earliest) {
		return nil
	}
	var expired []Item[T]
	for i := range q.classes {
		expired = q.expire(&q.classes[i].order, now, expired)
	}
	expired = q.expire(&q.late, now, expired)
	q.earliest = time.Time{}
	for _, e := range q.items {
		q.noteDeadline(e.Deadline)
	}
	return expired
}

func (q *Queue[T]) noteDeadline(deadline time.Time) {
	if !deadline.IsZero() && (q.earliest.IsZero() || deadline.Before(q.earliest)) {
		q.earliest = deadline
	}
}

func (q *Queue[T]) expire(o *order[T], now time.Time, expired []Item[T]) []Item[T] {
	var passed []*entry[T]
	for _, e := range *o {
		if e.passed(now) {
			passed = append(passed, e)
		}
	}
	for _, e := range passed {
		q.drop(e)
		expired = append(expired, e.Item)
	}
	return expired
}

func (q *Queue[T]) drop(e *entry[T]) {
	heap.Remove(e.in, e.at)
	delete(q.items, e.ID)
}
