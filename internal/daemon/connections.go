package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequest is how long a planned stop waits for the first request of a new
	// connection. It is above what a caller takes to send one that it has ready,
	// and bounds the stop where a balancer opens connections in advance.
	firstRequest = 5 * time.Second
	// settlePoll is how often the stop looks whether connections are in use.
	settlePoll = 10 * time.Millisecond
	// maxIdleLooks is how many connections are looked at for one to close. Each look is
	// a system call; where so many hold a request, the bound is exceeded.
	maxIdleLooks = 4
)

// connections knows which connections of callers are in use. It is safe for
// concurrent use.
//
// It guards against what http.Server.Shutdown does to a request whose header is
// read after the shutdown began: it closes the connection without an answer,
// though the request was sent before. So the stop waits first until no
// connection holds a request or may still bring its first one.
type connections struct {
	mu sync.Mutex
	// busy are those whose request is served, fresh those that have brought
	// none yet, and idle those that wait for a
	// further request, since when they do. Ending are those that were told to close
	// and have not yet.
	busy   map[net.Conn]bool
	fresh  map[net.Conn]*freshConn
	idle   map[net.Conn]time.Time
	ending map[net.Conn]bool
	// most bounds the connections; zero means no bound.
	most int
	// recent are those that were fresh of late, in order, and unreadNow counts those of them
	// that still are.
	recent    []*freshConn
	unreadNow int
	// opened counts those that callers opened since arrived was last called.
	opened int
}

// freshConn is a connection that has brought no request yet.
type freshConn struct {
	began time.Time
	// counted tells that it is among connections.unreadNow.
	counted bool
}

// unreadFor is for how long a connection of which nothing was read counts as unread. One that is
// older was opened in advance, or its caller is about to leave.
const unreadFor = 500 * time.Millisecond

// newConnections returns an empty set that is to hold at most so many; zero means
// no bound.
func newConnections(most int) *connections {
	return &connections{
		busy: map[net.Conn]bool{}, fresh: map[net.Conn]*freshConn{}, idle: map[net.Conn]time.Time{}, ending: map[net.Conn]bool{},
		most: most,
	}
}

// note is the ConnState hook of the server.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, conn)
	if f := c.fresh[conn]; f != nil {
		c.uncount(f)
		delete(c.fresh, conn)
	}
	delete(c.idle, conn)
	delete(c.ending, conn)
	switch state {
	case http.StateNew:
		if reader, ok := conn.(*readingConn); !ok || !reader.passedOn {
			c.opened++
		}
		c.begin(conn, time.Now())
		if c.full() {
			c.closeIdle()
		}
	case http.StateActive:
		c.busy[conn] = true
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if reader, ok := conn.(*readingConn); ok {
			reader.answered()
		}
	}
}

func (c *connections) full() bool {
	return c.most > 0 && len(c.busy)+len(c.fresh)+len(c.idle) > c.most
}

// closeIdle closes the connection that has been unused for longest, of those on which
// nothing waits to be read: on a daemon that is short of processor time a request waits
// there for some hundred ms, and its caller would get neither an answer nor a refusal.
//
// It guards against running out of descriptors: callers that come back after a
// refusal do so on a new connection each time, and a daemon that can accept no
// more leaves requests unread until long after their callers have gone.
func (c *connections) closeIdle() {
	for range maxIdleLooks {
		var oldest net.Conn
		for conn, since := range c.idle {
			if oldest == nil || since.Before(c.idle[oldest]) {
				oldest = conn
			}
		}
		if oldest == nil {
			return
		}
		if c.closeOrWait(oldest) {
			return
		}
	}
}

// closeUnused closes the connections on which no request is under way, leaves the others
// to the end of theirs, and tells whether none is left. Connections close in their own time:
// it is to be called until none is.
//
// It stands in for http.Server.SetKeepAlivesEnabled(false) and Shutdown, which close a
// connection also while its next request is being read, or waits to be: on a VM whose turns
// take long a planned stop would leave such callers without an answer or a refusal.
func (c *connections) closeUnused(now time.Time) (all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		c.closeOrWait(conn)
	}
	for conn, f := range c.fresh {
		if now.Sub(f.began) >= firstRequest {
			retire(conn)
		}
	}
	for conn := range c.ending {
		retire(conn) // again: the server sets a deadline of its own when a request has ended
	}
	return len(c.busy)+len(c.fresh)+len(c.ending) == 0
}

// closeOrWait closes a connection that waits for a further request, unless a part of one has
// come. The caller holds the lock.
func (c *connections) closeOrWait(conn net.Conn) (closed bool) {
	delete(c.idle, conn)
	if hasUnread(conn) || !retire(conn) {
		c.busy[conn] = true // its goroutine will say so when it has its turn
		return false
	}
	c.ending[conn] = true // its caller opens another one
	return true
}

// retire ends a connection unless a request is under way on it, and tells whether none is.
func retire(conn net.Conn) bool {
	if reader, ok := conn.(*readingConn); ok {
		return reader.retire()
	}
	return conn.Close() == nil
}

// pressed tells whether so many connections are open that refused callers should
// not keep theirs.
func (c *connections) pressed() bool {
	return c.most > 0 && 2*c.open() > c.most
}

// begin notes a new connection. The caller holds the lock.
func (c *connections) begin(conn net.Conn, now time.Time) {
	f := &freshConn{began: now, counted: true}
	c.fresh[conn] = f
	c.recent = append(c.recent, f)
	c.unreadNow++
	c.forget(now)
}

// forget leaves out those that are fresh no more, or for too long to count. The caller holds
// the lock.
func (c *connections) forget(now time.Time) {
	for len(c.recent) > 0 && (!c.recent[0].counted || now.Sub(c.recent[0].began) >= unreadFor) {
		c.uncount(c.recent[0])
		c.recent = c.recent[1:]
	}
}

func (c *connections) uncount(f *freshConn) {
	if f.counted {
		f.counted = false
		c.unreadNow--
	}
}

// unread counts those that came of late and of which nothing has been read yet.
func (c *connections) unread(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	return c.unreadNow
}

// arrived returns how many connections callers opened to this daemon since its last call;
// those that a neighbour passed on are not among them.
func (c *connections) arrived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	opened := c.opened
	c.opened = 0
	return opened
}

// open counts the connections.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy) + len(c.fresh) + len(c.idle)
}

// use is how many connections hold a request, may still bring their first, and were told to
// close.
type use struct{ busy, fresh, ending int }

func (c *connections) use() use {
	c.mu.Lock()
	defer c.mu.Unlock()
	return use{busy: len(c.busy), fresh: len(c.fresh), ending: len(c.ending)}
}

// used tells whether a connection holds a request or may still bring its first.
func (c *connections) used(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 {
		return true
	}
	for _, f := range c.fresh {
		if now.Sub(f.began) < firstRequest {
			return true
		}
	}
	return false
}

// settle waits until no connection is in use or ctx ends, and closes those that are not: a
// shutdown of the server would also close one whose next request is being read.
func (c *connections) settle(ctx context.Context) {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for c.used(time.Now()) || !c.closeUnused(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
