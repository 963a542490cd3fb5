package overload

import "time"

const (
	// maxAcceptWait is how long a connection waits to be served while the daemon limits new
	// connections. It is less than the shortest latency objectives, so that a caller that
	// is turned away can still be served in time by another daemon.
	maxAcceptWait = 80 * time.Millisecond
	// maxAcceptQueue bounds the connections that wait.
	maxAcceptQueue = 256
)

// AcceptQueue holds the connections that a daemon has accepted and not begun to serve. It is
// not safe for concurrent use.
//
// The load pattern it addresses: a caller opens thousands of connections a second to one
// small VM, more than it has the processor time to refuse. In the kernel's queue they are
// served in order of arrival: it fills up, every connection that is accepted has waited for
// seconds and its caller has left, and callers for which there is no room in the queue wait
// until their connection attempt times out. Here the newest connection is served first, and
// one that has waited for too long is closed unread, which costs a tenth of a refusal. Its
// caller knows that its request was not read and reaches another daemon.
type AcceptQueue[C any] struct {
	waiting []waitingConn[C]
}

// waitingConn is a connection that waits to be served.
type waitingConn[C any] struct {
	conn C
	at   time.Time
}

// Len returns the number of connections that wait.
func (q *AcceptQueue[C]) Len() int { return len(q.waiting) }

// Push adds a connection.
func (q *AcceptQueue[C]) Push(now time.Time, conn C) {
	q.waiting = append(q.waiting, waitingConn[C]{conn: conn, at: now})
}

// Next removes the connection to serve next: the newest one while new connections are
// limited, otherwise the oldest one. ok is false if none waits.
func (q *AcceptQueue[C]) Next(limited bool) (conn C, ok bool) {
	last := len(q.waiting) - 1
	if last < 0 {
		return conn, false
	}
	if limited {
		conn = q.waiting[last].conn
		q.waiting[last] = waitingConn[C]{}
		q.waiting = q.waiting[:last]
		return conn, true
	}
	return q.removeOldest(), true
}

// TakeExpired removes and returns the connections to close unread, oldest first.
func (q *AcceptQueue[C]) TakeExpired(now time.Time) (expired []C) {
	for len(q.waiting) > 0 && (len(q.waiting) > maxAcceptQueue || now.Sub(q.waiting[0].at) >= maxAcceptWait) {
		expired = append(expired, q.removeOldest())
	}
	return expired
}

func (q *AcceptQueue[C]) removeOldest() C {
	oldest := q.waiting[0].conn
	q.waiting[0] = waitingConn[C]{}
	q.waiting = q.waiting[1:]
	return oldest
}
