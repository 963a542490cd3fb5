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
	// none yet, with the time of their beginning.
	busy  map[net.Conn]bool
	fresh map[net.Conn]time.Time
}

func newConnections() *connections {
	return &connections{busy: map[net.Conn]bool{}, fresh: map[net.Conn]time.Time{}}
}

// note is the ConnState hook of the server.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, conn)
	delete(c.fresh, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.busy[conn] = true
	}
}

// used tells whether a connection holds a request or may still bring its first.
func (c *connections) used(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 {
		return true
	}
	for _, began := range c.fresh {
		if now.Sub(began) < firstRequest {
			return true
		}
	}
	return false
}

// settle waits until no connection is in use or ctx ends.
func (c *connections) settle(ctx context.Context) {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for c.used(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
