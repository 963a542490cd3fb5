package daemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// restOfRequest is how long a request may take to arrive that begins just as its connection
// was to be closed as unused.
const restOfRequest = 5 * time.Second

// tcpConn is what the daemon needs of a caller's TCP connection.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// readingConn is a caller's connection that knows whether something has been read from it
// since its last request was answered, and that can be closed as unused without losing a
// request. It is safe for concurrent use.
//
// The server tells of a request only when it has read its whole header. Until then neither
// the server nor the kernel shows that the bytes have been taken from the socket, for as long
// as the goroutine that took them waits for its turn.
type readingConn struct {
	tcpConn
	mu sync.Mutex
	// read tells that something has been read of a request that is not answered yet, and
	// retired that the connection is to end unless a request comes.
	read, retired bool
	// passedOn tells that a neighbour took the connection first and passes it on, admitted that
	// its first request is to be served here and not refused for want of processor time, since
	// others were passed on in its place, crowded that it is to be refused, since neither this
	// daemon nor a neighbour would read it in time.
	passedOn, admitted, crowded bool
}

func newReadingConn(conn tcpConn) *readingConn { return &readingConn{tcpConn: conn} }

// Read implements net.Conn.
func (c *readingConn) Read(b []byte) (n int, err error) {
	for {
		n, err = c.tcpConn.Read(b)
		switch {
		case n > 0:
			c.begun()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.requested():
			return n, err
		}
	}
}

// begun notes that a request has begun to arrive.
func (c *readingConn) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = true
	if c.retired {
		c.retired = false
		_ = c.SetReadDeadline(time.Now().Add(restOfRequest)) // a closed connection shows at the next read
	}
}

// requested tells, past a deadline, whether a request has come on an unused connection and
// waits to be read. The runtime does not look: on a VM that stood still it reports the
// deadline of a connection that has had bytes for long.
func (c *readingConn) requested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read || !hasUnread(c.tcpConn) {
		return false
	}
	c.retired = false
	return c.SetReadDeadline(time.Now().Add(restOfRequest)) == nil
}

// retire closes the connection unless a request has come or comes first, and tells whether
// none had. Closing is left to the goroutine that reads: it alone knows what it has taken.
func (c *readingConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read {
		return false
	}
	c.retired = true
	_ = c.SetReadDeadline(time.Now()) // fails only once it is closed
	return true
}

// answered notes that a request was answered. What has come of the next one by then, should
// its caller have been so quick, waits in the kernel but for a byte.
func (c *readingConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = false
}
