package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is how long a graceful shutdown waits for the first request of
	// a new connection. It exceeds the time a caller takes to send a request that it has
	// ready, and bounds the stop where a balancer opens connections in advance.
	firstRequestTimeout = 5 * time.Second
	// drainPollInterval is how often a graceful shutdown checks whether connections are
	// in use.
	drainPollInterval = 10 * time.Millisecond
	// maxIdleProbes is how many idle connections are examined to find one to close. Each
	// examination is a system call. If all of them hold a request, the connection limit is
	// exceeded.
	maxIdleProbes = 4
)

// connTracker tracks which connections of callers are in use. It is safe for concurrent
// use.
//
// http.Server.Shutdown closes a connection without an answer if the header of its request
// is read after the shutdown began, even if the request was sent before. A graceful
// shutdown therefore first waits until no connection holds a request or may still bring
// its first one.
type connTracker struct {
	mu sync.Mutex
	// active connections have a request being served. pending ones have brought no request
	// yet. idle ones wait for a further request; the value is when they became idle.
	// closing ones have been told to close and have not closed yet.
	active  map[net.Conn]bool
	pending map[net.Conn]*pendingConn
	idle    map[net.Conn]time.Time
	closing map[net.Conn]bool
	// maxConns bounds the number of connections; zero means no limit.
	maxConns int
	// ends records how connections ended; nil if that is not recorded.
	ends *endRecorder
	// recentPending lists, in order, the connections that became pending recently, and
	// unreadConns counts those of them that are still pending.
	recentPending []*pendingConn
	unreadConns   int
	// received counts the bytes read from callers, opened the connections that they opened.
	received, opened atomic.Int64
	// openedConns counts the connections that callers opened since the last
	// takeOpenedConns.
	openedConns int
}

// pendingConn is a connection that has brought no request yet.
type pendingConn struct {
	openedAt time.Time
	// countedUnread reports whether it is included in connTracker.unreadConns.
	countedUnread bool
}

// unreadWindow is how long a connection from which nothing was read counts as unread. An
// older one was opened in advance, or its caller is about to disconnect.
const unreadWindow = 500 * time.Millisecond

// newConnTracker returns an empty connTracker for at most maxConns connections; zero means
// no limit.
func newConnTracker(maxConns int) *connTracker {
	return &connTracker{
		active: map[net.Conn]bool{}, pending: map[net.Conn]*pendingConn{}, idle: map[net.Conn]time.Time{}, closing: map[net.Conn]bool{},
		maxConns: maxConns,
	}
}

// track is the ConnState hook of the server.
func (c *connTracker) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	if p := c.pending[conn]; p != nil {
		c.uncountUnread(p)
		delete(c.pending, conn)
	}
	delete(c.idle, conn)
	delete(c.closing, conn)
	switch state {
	case http.StateNew:
		tracked, ok := conn.(*trackedConn)
		if !ok || !tracked.forwarded {
			c.openedConns++
			c.opened.Add(1)
		}
		if ok {
			tracked.recordEndTo(c.ends)
			tracked.received = &c.received
		}
		c.addPending(conn, time.Now())
		if c.overLimit() {
			c.closeOldestIdle()
		}
	case http.StateActive:
		c.active[conn] = true
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if tracked, ok := conn.(*trackedConn); ok {
			tracked.onRequestDone()
		}
	}
}

func (c *connTracker) overLimit() bool {
	return c.maxConns > 0 && len(c.active)+len(c.pending)+len(c.idle) > c.maxConns
}

// closeOldestIdle closes the connection that has been idle for longest among those without
// unread data. On a daemon that is short of processor time, a request may wait unread for
// some hundred ms, and its caller would get neither an answer nor a refusal.
//
// It prevents the daemon from running out of file descriptors: callers that retry after a
// refusal use a new connection each time, and a daemon that can accept no more leaves
// requests unread until long after their callers have disconnected.
func (c *connTracker) closeOldestIdle() {
	for range maxIdleProbes {
		var oldest net.Conn
		for conn, since := range c.idle {
			if oldest == nil || since.Before(c.idle[oldest]) {
				oldest = conn
			}
		}
		if oldest == nil {
			return
		}
		if c.tryCloseIdle(oldest, endConnectionLimit) {
			return
		}
	}
}

// closeInactive closes the connections without a request in progress, leaves the others
// until their requests end, and reports whether none is left. Connections close
// asynchronously, so that it must be called repeatedly until it returns true.
//
// It replaces http.Server.SetKeepAlivesEnabled(false) and Shutdown, which also close a
// connection whose next request is being read or waits to be read. On a VM with a high
// scheduling latency, a graceful shutdown would leave such callers without an answer or a
// refusal.
func (c *connTracker) closeInactive(now time.Time) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		c.tryCloseIdle(conn, endShutdown)
	}
	for conn, p := range c.pending {
		if now.Sub(p.openedAt) >= firstRequestTimeout {
			tryClose(conn, endShutdown)
		}
	}
	for conn := range c.closing {
		tryClose(conn, endShutdown) // repeated because the server sets its own deadline when a request has ended
	}
	return len(c.active)+len(c.pending)+len(c.closing) == 0
}

// tryCloseIdle closes an idle connection unless part of its next request has arrived. The
// caller holds the lock.
func (c *connTracker) tryCloseIdle(conn net.Conn, reason endCause) (closed bool) {
	delete(c.idle, conn)
	if hasUnreadData(conn) || !tryClose(conn, reason) {
		c.active[conn] = true // its goroutine updates the state when it is scheduled
		return false
	}
	c.closing[conn] = true // its caller opens a new connection
	return true
}

// tryClose closes a connection unless a request is in progress on it, and reports whether
// none is.
func tryClose(conn net.Conn, reason endCause) bool {
	if tracked, ok := conn.(*trackedConn); ok {
		return tracked.closeIfIdle(reason)
	}
	return conn.Close() == nil
}

// nearLimit reports whether so many connections are open that refused callers should not
// keep theirs.
func (c *connTracker) nearLimit() bool {
	return c.maxConns > 0 && 2*c.countOpen() > c.maxConns
}

// addPending records a new connection. The caller holds the lock.
func (c *connTracker) addPending(conn net.Conn, now time.Time) {
	p := &pendingConn{openedAt: now, countedUnread: true}
	c.pending[conn] = p
	c.recentPending = append(c.recentPending, p)
	c.unreadConns++
	c.pruneRecent(now)
}

// pruneRecent removes connections that are no longer pending, or have been for too long to
// count as unread. The caller holds the lock.
func (c *connTracker) pruneRecent(now time.Time) {
	for len(c.recentPending) > 0 && (!c.recentPending[0].countedUnread || now.Sub(c.recentPending[0].openedAt) >= unreadWindow) {
		c.uncountUnread(c.recentPending[0])
		c.recentPending = c.recentPending[1:]
	}
}

func (c *connTracker) uncountUnread(p *pendingConn) {
	if p.countedUnread {
		p.countedUnread = false
		c.unreadConns--
	}
}

// countUnread returns how many connections were opened recently and have not been read
// from.
func (c *connTracker) countUnread(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruneRecent(now)
	return c.unreadConns
}

// takeOpenedConns returns how many connections callers opened to this daemon since its last
// call, not counting those that a neighbour forwarded.
func (c *connTracker) takeOpenedConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	opened := c.openedConns
	c.openedConns = 0
	return opened
}

// countOpen returns the number of open connections.
func (c *connTracker) countOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) + len(c.pending) + len(c.idle)
}

// connUsage counts the connections that hold a request, may still bring their first one,
// and were requested to close.
type connUsage struct{ active, pending, closing int }

func (c *connTracker) usage() connUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connUsage{active: len(c.active), pending: len(c.pending), closing: len(c.closing)}
}

// inUse reports whether a connection holds a request or may still bring its first one.
func (c *connTracker) inUse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.active) > 0 {
		return true
	}
	for _, p := range c.pending {
		if now.Sub(p.openedAt) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// drain waits until no connection is in use or ctx ends, and closes the connections that
// are not in use. A shutdown of the server would also close those whose next request is
// being read.
func (c *connTracker) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.inUse(time.Now()) || !c.closeInactive(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
