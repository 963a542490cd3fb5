package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

var start = time.Unix(1000, 0)

func push(t *testing.T, q *Queue[int], id string, class uint8, deadline time.Time) {
	t.Helper()
	failure := q.Push(Item[int]{ID: ident.Request(id), Class: class, Arrived: start, Deadline: deadline})
	is.New(t).Equal(failure, nil)
}

func pop(t *testing.T, q *Queue[int], now time.Time) string {
	t.Helper()
	it, _, ok := q.Pop(now)
	is.New(t).True(ok)
	return string(it.ID)
}

// A workspace has queued two hundred batch requests when an interactive request
// arrives. In arrival order it would wait for all of them.
func TestInteractiveOvertakesBatch(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{})
	for i := range 200 {
		push(t, q, fmt.Sprintf("batch-%03d", i), 2, time.Time{})
	}
	is.Equal(pop(t, q, start), "batch-000")
	push(t, q, "interactive", 0, time.Time{})
	is.Equal(q.Ahead(0), 1)
	is.Equal(pop(t, q, start), "interactive")
}

// Interactive requests arrive continuously. With strict priority the batch
// request would never run.
func TestBatchIsNotStarved(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{})
	for i := range 50 {
		push(t, q, fmt.Sprintf("interactive-%03d", i), 0, time.Time{})
	}
	push(t, q, "batch", 2, time.Time{})
	for range 21 {
		if pop(t, q, start) == "batch" {
			return
		}
	}
	is.Fail()
}

// Under overload a request is left whose caller gives up in one second although
// a response takes two. Serving it first would waste the slot and make the next
// request late as well.
func TestFeasibleDeadlinesGoFirst(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{})
	q.SetMedianServiceTime(0, 2*time.Second)
	push(t, q, "hopeless", 0, start.Add(time.Second))
	push(t, q, "unlikely", 0, start.Add(1500*time.Millisecond))
	push(t, q, "later", 0, start.Add(9*time.Second))
	push(t, q, "soon", 0, start.Add(3*time.Second))
	push(t, q, "standard", 1, start.Add(9*time.Second))
	is.Equal(pop(t, q, start), "soon")
	is.Equal(pop(t, q, start), "standard")
	is.Equal(pop(t, q, start), "later")
	is.Equal(pop(t, q, start), "unlikely")
	is.Equal(pop(t, q, start), "hopeless")
}

func TestExpiredRequestsAreReturned(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{})
	push(t, q, "a", 0, start.Add(time.Second))
	push(t, q, "b", 1, start.Add(time.Second))
	push(t, q, "c", 1, time.Time{})
	it, expired, ok := q.Pop(start.Add(2 * time.Second))
	is.True(ok)
	is.Equal(string(it.ID), "c")
	is.Equal(len(expired), 2)
	push(t, q, "d", 2, start.Add(time.Second))
	is.Equal(len(q.Expire(start.Add(time.Second))), 0)
	is.Equal(len(q.Expire(start.Add(2*time.Second))), 1)
	is.Equal(q.Len(), 0)
}

// Batch requests have filled their part of the queue. An interactive request
// must still be accepted.
func TestBatchLeavesRoomForInteractive(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{Limit: 10})
	var failure *resultcode.Failure
	for i := 0; failure == nil; i++ {
		failure = q.Push(Item[int]{ID: ident.Request(fmt.Sprint(i)), Class: 2})
	}
	is.Equal(q.Len(), 8)
	is.Equal(failure.Code, resultcode.QueueFull)
	push(t, q, "interactive", 0, time.Time{})
	_, removed := q.Remove("interactive")
	is.True(removed)
	_, removed = q.Remove("interactive")
	is.True(!removed)
}

// A request was refused by one target and must not be sent there again. It
// keeps its position while another request takes that target's slot.
func TestPopWhereSkipsUnfitRequests(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{Limit: 2})
	push(t, q, "a", 0, time.Time{})
	push(t, q, "b", 0, time.Time{})
	is.Equal(q.Push(Item[int]{ID: "again", Class: 0, Arrived: start, Front: true}), nil)
	it, _, ok := q.PopWhere(start, func(it Item[int]) bool { return it.ID != "again" })
	is.True(ok)
	is.Equal(string(it.ID), "a")
	_, _, ok = q.PopWhere(start, func(Item[int]) bool { return false })
	is.True(!ok)
	is.Equal(pop(t, q, start), "again")
	is.Equal(len(q.Drain()), 1)
	is.Equal(q.Len(), 0)
}

// A target caches a prompt prefix that many requests share. Those requests may
// go first, because they are cheap to run there. Without a bound, a request
// with a different prompt would wait for as long as the others keep arriving.
func TestPreferredRequestsGoFirstWithinABound(t *testing.T) {
	is := is.New(t)
	q := New[int](Config{})
	add := func(id string, value int) {
		is.True(q.Push(Item[int]{ID: ident.Request(id), Class: 1, Arrived: start, Value: value}) == nil)
	}
	add("0-own", 0)
	all := func(Item[int]) bool { return true }
	shared := func(it Item[int]) bool { return it.Value == 1 }
	for i := range 20 {
		add(fmt.Sprintf("1-shared-%02d", i), 1)
		it, _, ok := q.PopPreferred(start, all, shared)
		is.True(ok)
		if it.ID == "0-own" {
			is.Equal(i, 4) // bypassed four times
			return
		}
	}
	t.Fatal("the request is bypassed for too long")
}
