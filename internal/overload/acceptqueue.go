package overload

import (
	"iter"
	"time"
)

const (
	// StaleAfter is how long a connection waits in an AcceptQueue at most. A caller that gets no
	// response within about a second tries another daemon, and a busy daemon takes some hundred ms to
	// forward and place a request.
	StaleAfter = 400 * time.Millisecond
	// MaxAcceptQueue bounds the connections in an AcceptQueue.
	MaxAcceptQueue = 512
)

// AcceptQueue holds the connections that a daemon without enough processor time has accepted and not
// served yet. It is not safe for concurrent use. The zero value is an empty queue.
//
// The load pattern it addresses: callers send more than the daemon can even refuse. Served in the order
// of arrival, each connection has waited for as long as callers do at most, so that a great part of them
// leave between the moment at which they are served and that at which their requests are placed, and what
// is granted to them is lost to their workspace. The newest are served first instead.
type AcceptQueue[C any] struct {
	// waiting are the connections, oldest first.
	waiting []waitingConn[C]
}

type waitingConn[C any] struct {
	conn  C
	since time.Time
}

// Len returns the number of connections.
func (q *AcceptQueue[C]) Len() int { return len(q.waiting) }

// Add adds a connection that has just been accepted.
func (q *AcceptQueue[C]) Add(now time.Time, conn C) {
	q.waiting = append(q.waiting, waitingConn[C]{conn, now})
}

// Newest removes the connection that was added last; ok is false if there is none.
func (q *AcceptQueue[C]) Newest() (conn C, ok bool) {
	last := len(q.waiting) - 1
	if last < 0 {
		return conn, false
	}
	conn = q.waiting[last].conn
	q.waiting = q.waiting[:last]
	return conn, true
}

// Oldest removes the connection that was added first; ok is false if there is none.
func (q *AcceptQueue[C]) Oldest() (conn C, ok bool) {
	if len(q.waiting) == 0 {
		return conn, false
	}
	conn = q.waiting[0].conn
	q.waiting = q.waiting[1:]
	return conn, true
}

// Stale removes the connections that have waited for longer than StaleAfter, oldest first.
func (q *AcceptQueue[C]) Stale(now time.Time) iter.Seq[C] {
	return func(yield func(C) bool) {
		for len(q.waiting) > 0 && now.Sub(q.waiting[0].since) > StaleAfter {
			conn, _ := q.Oldest()
			if !yield(conn) {
				return
			}
		}
	}
}
