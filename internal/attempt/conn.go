package attempt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/internal/responsehead"
)

const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// poolIdleTimeout is how long the pool of an address is kept while unused.
	// Pools have to expire because addresses change as VMs are replaced.
	poolIdleTimeout = 10 * time.Minute
	// writeBufferSize and readBufferSize are small because a daemon holds
	// thousands of open streams whose events are a few hundred bytes long. Larger
	// bodies bypass the buffers.
	writeBufferSize = 1 << 10
	readBufferSize  = 2 << 10
	// maxIdleCheck bounds the wait of a request for the transport to check the idle
	// connection that it gets.
	maxIdleCheck = 100 * time.Millisecond
)

// errConnSealed is returned by writes after the attempt has determined whether
// the request may have been sent.
var errConnSealed = merry.New("the connection no longer accepts writes")

// trackedConn counts the writes started on a connection.
//
// It prevents a false "not run" outcome: the transport's write loop may still be
// about to write when a canceled RoundTrip returns. Sealing makes the count
// final, because a write that has not started by then fails without sending any
// byte.
//
// It also keeps a request from being sent while bytes behind the previous response
// are still unread: net/http would take them for the response.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	startedWrites uint64
	sealed        bool
	// reading is set while a read is in progress.
	reading bool
	// closed is set once the connection is closed.
	closed bool
	// changed is signaled after a change of reading or closed.
	changed *sync.Cond
}

func newTrackedConn(c net.Conn) *trackedConn {
	t := &trackedConn{Conn: c}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	return c.Conn.Read(p)
}

func (c *trackedConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitIdle waits until an idle connection of the transport is known to hold no
// unread bytes, or is closed. The transport reads from an idle connection only after
// its own buffer is empty, and closes the connection if it is not.
func (c *trackedConn) awaitIdle() {
	timer := time.AfterFunc(maxIdleCheck, func() { _ = c.Close() })
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || c.closed {
		return errConnSealed
	}
	c.startedWrites++
	return nil
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedWrites
}

// seal rejects further writes, closes the connection and returns the final
// number of started writes.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	started := c.startedWrites
	c.mu.Unlock()
	// A failed close cannot be handled here; only the count matters.
	_ = c.Close()
	return started
}

// dialer opens tracked connections that detect an unreachable peer.
type dialer struct {
	*dialing.Dialer
}

func newDialer(cfg Config) *dialer {
	return &dialer{dialing.New(dialing.Config{
		ConnectTimeout: cfg.ConnectTimeout, UserTimeout: cfg.UserTimeout,
		KeepAliveIdle: keepAliveIdle, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveCount,
	})}
}

func (d *dialer) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newTrackedConn(c), nil
}

// pool holds the reusable connections to one address.
type pool struct {
	transport *responsehead.Transport
	lastUsed  time.Time
}

func (r *Runner) newTransport() *responsehead.Transport {
	return responsehead.NewTransport(&http.Transport{
		DialContext:         r.dialer.dialTracked,
		DisableCompression:  true,
		MaxIdleConnsPerHost: r.cfg.MaxIdlePerTarget,
		IdleConnTimeout:     r.cfg.IdleTimeout,
		WriteBufferSize:     writeBufferSize,
		ReadBufferSize:      readBufferSize,
	})
}

// pooledTransport returns the transport that reuses connections to the address.
func (r *Runner) pooledTransport(address string) *responsehead.Transport {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[address]
	if !ok {
		r.evictIdlePools(now)
		p = &pool{transport: r.newTransport()}
		r.pools[address] = p
	}
	p.lastUsed = now
	return p.transport
}

func (r *Runner) evictIdlePools(now time.Time) {
	for address, p := range r.pools {
		if now.Sub(p.lastUsed) > poolIdleTimeout {
			p.transport.CloseIdleConnections()
			delete(r.pools, address)
		}
	}
}

// handleSilentConn closes the idle connections to an address after one of its
// connections went silent: a device on the path, such as a firewall, that lost the
// state of one connection may have lost that of all.
func (r *Runner) handleSilentConn(address string) {
	r.metrics.stalled.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.pools[address]; ok {
		p.transport.CloseIdleConnections()
	}
}

// writeTracker records whether any byte of one request may have reached the
// target's transport.
type writeTracker struct {
	mu            sync.Mutex
	conn          *trackedConn
	initialWrites uint64
	sent          bool
	// connReused is set if an earlier request was sent on the present connection.
	connReused bool
}

// withTrace returns a context that makes the writeTracker observe the request's
// connections.
func (f *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: f.gotConn})
}

// trackedConnOf returns the tracked connection that a connection of the transport reads from and writes to.
func trackedConnOf(c net.Conn) (*trackedConn, bool) {
	checked, ok := c.(*responsehead.Conn)
	if !ok {
		return nil, false
	}
	tracked, ok := checked.NetConn().(*trackedConn)
	return tracked, ok
}

func (f *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := trackedConnOf(info.Conn)
	if ok && info.Reused {
		conn.awaitIdle()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateSent()
	if !ok {
		// The writes of an untracked connection are unknown.
		f.sent = true
		return
	}
	f.conn, f.initialWrites, f.connReused = conn, conn.writeCount(), info.Reused
}

// reused reports whether an earlier request was sent on the connection.
func (f *writeTracker) reused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connReused
}

// updateSent takes the current connection into account. The caller holds f.mu.
func (f *writeTracker) updateSent() {
	if f.conn != nil && f.conn.writeCount() > f.initialWrites {
		f.sent = true
	}
}

// seal seals the connection and reports whether any byte may have been sent.
func (f *writeTracker) seal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.conn.seal() > f.initialWrites {
		f.sent = true
	}
	return f.sent
}
