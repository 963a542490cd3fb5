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
)

const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// poolUnused is how long the pool of an address is kept without use;
	// addresses change as VMs are replaced.
	poolUnused = 10 * time.Minute
	// writeBuffer and readBuffer are small, since a daemon holds thousands of
	// open streams with events of some hundred bytes; larger bodies are read and
	// written past them.
	writeBuffer = 1 << 10
	readBuffer  = 2 << 10
)

// errSealed is the error of a write after the attempt has given its verdict.
var errSealed = merry.New("the connection is sealed")

// trackedConn counts the writes that were begun on a connection.
//
// It guards against a false "not run": the transport's write loop may still be
// about to write when a canceled RoundTrip returns. Sealing makes the count
// final, since a write that has not begun by then fails without a byte sent.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	begun  uint64
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.begun++
	return nil
}

func (c *trackedConn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// seal stops all writing and returns the final count of writes begun.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	begun := c.begun
	c.mu.Unlock()
	// Nothing can be done about a failing close; the count is what matters.
	_ = c.Conn.Close()
	return begun
}

// dialer opens tracked connections that notice a peer that is gone.
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
	return &trackedConn{Conn: c}, nil
}

// pool holds the connections to one address.
type pool struct {
	transport *http.Transport
	used      time.Time
}

func (r *Runner) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         r.dial.dialTracked,
		DisableCompression:  true,
		MaxIdleConnsPerHost: r.cfg.IdlePerTarget,
		IdleConnTimeout:     r.cfg.IdleTimeout,
		WriteBufferSize:     writeBuffer,
		ReadBufferSize:      readBuffer,
	}
}

// pooled returns the transport that reuses connections to the address.
func (r *Runner) pooled(address string) *http.Transport {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[address]
	if !ok {
		r.dropUnused(now)
		p = &pool{transport: r.newTransport()}
		r.pools[address] = p
	}
	p.used = now
	return p.transport
}

func (r *Runner) dropUnused(now time.Time) {
	for address, p := range r.pools {
		if now.Sub(p.used) > poolUnused {
			p.transport.CloseIdleConnections()
			delete(r.pools, address)
		}
	}
}

// distrust closes the unused connections to an address of which one went
// silent: what lost track of the one may have lost track of all.
func (r *Runner) distrust(address string) {
	r.metrics.stalled.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.pools[address]; ok {
		p.transport.CloseIdleConnections()
	}
}

// footprint tells whether any byte of one request may have reached the
// transport of the target.
type footprint struct {
	mu   sync.Mutex
	conn *trackedConn
	base uint64
	sent bool
}

// observe returns a context under which the footprint follows the request.
func (f *footprint) observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: f.gotConn})
}

func (f *footprint) gotConn(info httptrace.GotConnInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		// An unknown connection cannot be vouched for.
		f.sent = true
		return
	}
	f.conn, f.base = conn, conn.writes()
}

// settle takes the present connection into account. The caller holds f.mu.
func (f *footprint) settle() {
	if f.conn != nil && f.conn.writes() > f.base {
		f.sent = true
	}
}

// final seals the connection and returns true where a byte may have left.
func (f *footprint) final() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.conn.seal() > f.base {
		f.sent = true
	}
	return f.sent
}
