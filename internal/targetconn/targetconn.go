// Package targetconn sends HTTP/1.1 requests to targets over pooled persistent
// connections, one exchange at a time on each.
//
// The transport of net/http is not used because it hides three things that must be
// known exactly: whether any byte of the request may have been sent (otherwise
// "not run" could be wrong), whether a response belongs to the preceding request
// (a target may send a late second response), and whether data arrived after the
// end of a response (it would be taken for the next response).
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/internal/responsehead"
)

// Config configures a Pool. Zero fields take their defaults.
type Config struct {
	// ConnectTimeout limits the time to open a connection. Default: 400 ms, which
	// is below the shortest latency objective that a second target could still
	// meet.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may remain unacknowledged (TCP_USER_TIMEOUT).
	// Default: 1 s.
	UserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target does not
	// specify a timeout. Default: 20 s.
	IdleTimeout time.Duration
	// IdleMargin is how long before the target's own timeout an idle connection is
	// closed, so that no request is sent while the target closes it. Default:
	// 500 ms.
	IdleMargin time.Duration
	// ReceiveBuffer is the size of the receive buffer of a connection, of which the kernel reserves twice as
	// much. Default: the kernel's, which grows to several MB while a response is not read.
	ReceiveBuffer int
	// Now returns the time. Default: time.Now.
	Now func() time.Time
}

const (
	defaultConnectTimeout = 400 * time.Millisecond
	defaultUserTimeout    = time.Second
	defaultIdleTimeout    = 20 * time.Second
	defaultIdleMargin     = 500 * time.Millisecond
	// TCP keepalive probes detect a target that has disappeared while it runs a
	// request. They take 2 s, the longest time that callers tolerate without an
	// event.
	keepaliveIdle     = time.Second
	keepaliveInterval = 500 * time.Millisecond
	keepaliveCount    = 2
	// readBufferSize is enough for a typical response header or a few events.
	readBufferSize = 4 << 10
)

func (c Config) withDefaults() Config {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.UserTimeout == 0 {
		c.UserTimeout = defaultUserTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.IdleMargin == 0 {
		c.IdleMargin = defaultIdleMargin
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Pool manages the connections to many targets. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *dialing.Dialer

	mu      sync.Mutex
	targets map[string]*target
	closed  bool
}

// target holds the connections to one address.
type target struct {
	idle []*conn
	// open is the number of connections, idle or in use.
	open int
	// restartedAt is when a new process was known at the address. Older connections are not reused.
	restartedAt time.Time
	// usedOnce reports that each connection is used for one request.
	usedOnce bool
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// limit bounds what reader reads, and head checks the heads in it.
	limit *limitedReader
	head  *responsehead.Reader
	// reuseDeadline is the time from which on the connection must not be used for a
	// new request.
	reuseDeadline time.Time
	openedAt      time.Time
	// used reports that a request was sent on the connection.
	used bool
}

// ErrConnectionLimit is the cause of the error if the address has reached its
// connection limit.
var ErrConnectionLimit = errors.New("the connection limit of the target is reached")

// UnsentError is the error of an exchange of which no byte was sent.
type UnsentError struct{ Cause error }

// Error implements error.
func (u *UnsentError) Error() string { return "not sent: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *UnsentError) Unwrap() error { return u.Cause }

// New returns an empty pool.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg: cfg,
		dialer: dialing.New(dialing.Config{
			ConnectTimeout: cfg.ConnectTimeout, UserTimeout: cfg.UserTimeout,
			KeepAliveIdle: keepaliveIdle, KeepAliveInterval: keepaliveInterval, KeepAliveCount: keepaliveCount, ReceiveBuffer: cfg.ReceiveBuffer,
		}),
		targets: map[string]*target{},
	}
}

// Close closes the idle connections. Connections that become idle later are closed
// as well.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleExcept(nil)
}

// CloseIdleExcept closes the idle connections to all addresses except the given
// ones, because an address may be reassigned to another target.
func (p *Pool) CloseIdleExcept(addresses map[string]bool) {
	var drop []*conn
	p.mu.Lock()
	for address, t := range p.targets {
		if addresses[address] {
			continue
		}
		drop = append(drop, t.idle...)
		t.open -= len(t.idle)
		t.idle = nil
		if t.open == 0 {
			delete(p.targets, address)
		}
	}
	p.mu.Unlock()
	closeAll(drop)
}

// CloseIdle closes the idle connections to an address. It is called when one
// connection to the address has stopped responding: whatever lost the state of
// that connection may have lost the state of all.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var drop []*conn
	if t := p.targets[address]; t != nil {
		drop = t.takeIdle()
	}
	p.mu.Unlock()
	closeAll(drop)
}

// TargetRestarted closes the idle connections to an address at which another process runs now, and closes
// those in use once their exchanges end.
func (p *Pool) TargetRestarted(address string) {
	p.mu.Lock()
	var drop []*conn
	if t := p.targets[address]; t != nil {
		t.restartedAt, t.usedOnce = p.cfg.Now(), false
		drop = t.takeIdle()
	}
	p.mu.Unlock()
	closeAll(drop)
}

// StopReuse makes the pool use each connection to an address for one request until another process
// runs there. It is called for a target whose responses do not tell to which request they belong.
func (p *Pool) StopReuse(address string) {
	p.mu.Lock()
	var drop []*conn
	if t := p.targets[address]; t != nil {
		t.usedOnce = true
		drop = t.takeIdle()
	}
	p.mu.Unlock()
	closeAll(drop)
}

// takeIdle removes and returns the idle connections. The caller holds the lock of the pool.
func (t *target) takeIdle() []*conn {
	idle := t.idle
	t.open -= len(idle)
	t.idle = nil
	return idle
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // an idle connection has no data to lose
	}
}

// ConnectionCount returns the number of connections to an address, idle or in use.
func (p *Pool) ConnectionCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		return t.open
	}
	return 0
}

// takeIdle returns an idle connection that is not in the history, or nil after counting a new one that
// the caller must open.
func (p *Pool) takeIdle(address string, limit int, history *History) (*conn, error) {
	now := p.cfg.Now()
	var stale []*conn
	defer func() { closeAll(stale) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[address]
	if t == nil {
		t = &target{}
		p.targets[address] = t
	}
	for c := t.popIdle(history); c != nil; c = t.popIdle(history) {
		if now.Before(c.reuseDeadline) && noPendingInput(c.Conn) {
			return c, nil
		}
		t.open--
		stale = append(stale, c)
	}
	if limit > 0 && t.open >= limit {
		if len(t.idle) == 0 {
			return nil, ErrConnectionLimit
		}
		stale = append(stale, t.idle[0]) // the new connection replaces it
		t.idle = slices.Delete(t.idle, 0, 1)
		return nil, nil
	}
	t.open++
	return nil, nil
}

// popIdle removes and returns the newest idle connection that is not in the history; nil if there is
// none. The caller holds the lock of the pool.
func (t *target) popIdle(history *History) *conn {
	for i, c := range slices.Backward(t.idle) {
		if !history.contains(c) {
			t.idle = slices.Delete(t.idle, i, i+1)
			return c
		}
	}
	return nil
}

// release stops counting a connection that was closed.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		if t.open--; t.open <= 0 && len(t.idle) == 0 && !t.usedOnce {
			delete(p.targets, address)
		}
	}
}

// putIdle makes a connection available for reuse.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	t := p.targets[c.address]
	if p.closed || t == nil || t.usedOnce && c.used || c.openedAt.Before(t.restartedAt) {
		p.mu.Unlock()
		_ = c.Conn.Close() // it is idle
		p.release(c.address)
		return
	}
	t.idle = append(t.idle, c)
	p.mu.Unlock()
}

// putUnused returns a connection that was not used to the pool.
func (p *Pool) putUnused(c *conn) {
	if c.reuseDeadline.IsZero() {
		c.reuseDeadline = p.cfg.Now().Add(p.cfg.IdleTimeout / 2) // new: the target has not specified a timeout
	}
	p.putIdle(c)
}

// connect returns an idle connection to the address that is not in the history or opens a new one.
func (p *Pool) connect(ctx context.Context, address string, limit int, history *History) (*conn, error) {
	c, err := p.takeIdle(address, limit, history)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	if c != nil {
		return c, nil
	}
	openedAt := p.cfg.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &UnsentError{Cause: err}
	}
	head := responsehead.NewReader(raw)
	bounded := &limitedReader{head, unlimited}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(bounded, readBufferSize), limit: bounded, head: head, openedAt: openedAt}, nil
}

// reuseDeadline returns the time until which a connection may be reused according
// to the response; reusable is false if it must not be reused.
func (p *Pool) reuseDeadline(r *http.Response) (deadline time.Time, reusable bool) {
	if r.Close {
		return time.Time{}, false
	}
	idleTimeout := p.cfg.IdleTimeout
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			idleTimeout = min(idleTimeout, time.Duration(seconds)*time.Second)
		}
	}
	idleTimeout -= min(p.cfg.IdleMargin, idleTimeout/2)
	return p.cfg.Now().Add(idleTimeout), idleTimeout > 0
}

// Accepts reports whether a target accepts connections. It opens one and closes it at once; the
// connection does not count against any limit of the pool.
func (p *Pool) Accepts(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
