package daemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// requestRestTimeout is how long a request may take to arrive that begins just as its
// connection was to be closed as idle.
const requestRestTimeout = 5 * time.Second

// tcpConn is the subset of a TCP connection's methods that the daemon needs of a caller's.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// trackedConn is a caller's connection that tracks whether data has been read from it since
// its last request was answered, and that can be closed as idle without losing a request.
// It is safe for concurrent use.
//
// The server reports a request only after it has read its whole header. Until then neither
// the server nor the kernel shows that data has been read from the socket, for as long as
// the goroutine that read it waits to be scheduled.
type trackedConn struct {
	tcpConn
	mu sync.Mutex
	// requestStarted reports that part of a request was read that is not answered yet, and
	// closePending that the connection is to be closed unless a request arrives.
	requestStarted, closePending bool
	// forwarded reports that the connection was forwarded by a neighbour. mustServe reports
	// that its first request is to be served here and not refused for lack of processor
	// time, because other connections were forwarded in its place. mustRefuse reports that
	// it is to be refused, because neither this daemon nor a neighbour would read it in
	// time.
	forwarded, mustServe, mustRefuse bool

	// readAhead reports that the server has read the first byte of the next request while
	// it serves one.
	readAhead atomic.Bool

	// resets reports that the connection is to be reset instead of ended in order.
	resets atomic.Bool

	// received counts the bytes that are read from callers; nil if they are not to be counted.
	received *atomic.Int64
	// use is what the connection occupies for its current request.
	use callerUse

	// ends records the end of the connection; nil if it is not to be recorded.
	ends *endRecorder
	// request is the state of the current request, and answered the number of those that
	// were answered.
	request  requestState
	answered int
	// responseStarted reports that part of the response to the current request was sent.
	responseStarted atomic.Bool
	// closeReason is why closeIfIdle was called; empty if it was not, or if a request has
	// been answered since. callerClosed reports that a read found the connection closed by
	// the caller, and timedOut that the last read failed at its deadline.
	closeReason            endCause
	callerClosed, timedOut bool
}

// readAheadSize is the size of the buffer into which the server reads while it serves a
// request. It reads requests into larger ones.
const readAheadSize = 1

// hasReadAhead reports whether the server has read the first byte of the next request while
// it serves one. It does not read from the connection then until the response is complete.
func hasReadAhead(conn net.Conn) bool {
	tracked, ok := conn.(*trackedConn)
	return ok && tracked.readAhead.Load()
}

func newTrackedConn(conn tcpConn) *trackedConn { return &trackedConn{tcpConn: conn} }

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	for {
		n, err = c.tcpConn.Read(b)
		switch {
		case n > 0:
			if len(b) == readAheadSize {
				c.readAhead.Store(true)
			}
			if c.received != nil {
				c.received.Add(int64(n))
			}
			c.onRequestData()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasWaitingRequest():
			c.onReadError(err)
			return n, err
		}
	}
}

// onRequestData records that a request has begun to arrive.
func (c *trackedConn) onRequestData() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted, c.timedOut = true, false
	if c.closePending {
		c.closePending = false
		_ = c.SetReadDeadline(time.Now().Add(requestRestTimeout)) // fails only on a closed connection, which the next read reports
	}
}

// hasWaitingRequest reports, after a deadline, whether a request has arrived on an idle
// connection and waits to be read. The runtime does not check: on a VM that was paused, it
// reports the deadline of a connection that received data long before.
func (c *trackedConn) hasWaitingRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted || !hasUnreadData(c.tcpConn) {
		return false
	}
	c.closePending = false
	return c.SetReadDeadline(time.Now().Add(requestRestTimeout)) == nil
}

// resetOnClose makes Close reset the connection, so that what was sent of a response does not look complete.
func (c *trackedConn) resetOnClose() {
	c.resets.Store(true)
	_ = c.SetLinger(0) // fails only on a closed connection
}

// closeIfIdle closes the connection unless a request has arrived or arrives first, and
// reports whether none had. Closing is left to the reading goroutine: only it knows what it
// has read.
func (c *trackedConn) closeIfIdle(reason endCause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted {
		return false
	}
	c.closePending, c.closeReason = true, reason
	_ = c.SetReadDeadline(time.Now()) // fails only on a closed connection
	return true
}

// onRequestDone records that a request was answered. Any data of the next request that has
// arrived by then is still in the kernel, except for one byte.
func (c *trackedConn) onRequestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted, c.closeReason, c.request = false, "", requestState{}
	c.responseStarted.Store(false)
	c.readAhead.Store(false)
	c.use.reset()
}
