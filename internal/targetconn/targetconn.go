// Package targetconn exchanges HTTP/1.1 requests with targets over kept
// connections, one exchange at a time on each.
//
// net/http's transport is not used because three things must be known exactly
// that it hides: whether a byte of the request may have left (so that "not run"
// is true), whether an answer belongs to the request that it follows (a target
// may send a late second one), and whether anything came after the end of an
// answer (stray bytes would be taken for the next one).
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/dialing"
)

// Config sets up a Pool. Zero fields take their defaults.
type Config struct {
	// Connect bounds the opening of a connection. Default 400 ms: below the
	// shortest latency objective that a second target could still meet.
	Connect time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged. Default 1 s.
	UserTimeout time.Duration
	// Idle is how long an unused connection is kept where the target states
	// nothing. Default 20 s.
	Idle time.Duration
	// Margin is how much earlier than the target's own limit an unused connection
	// is given up, so that no request crosses the target's close. Default 500 ms.
	Margin time.Duration
	// Now returns the time. Default time.Now.
	Now func() time.Time
}

const (
	defaultConnect     = 400 * time.Millisecond
	defaultUserTimeout = time.Second
	defaultIdle        = 20 * time.Second
	defaultMargin      = 500 * time.Millisecond
	// Keepalive probes find a target that is gone while a request runs on it;
	// the 2 s that they take are what callers bear without an event.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// readBuffer holds an ordinary answer's header or a few events.
	readBuffer = 4 << 10
)

func (c Config) complete() Config {
	if c.Connect == 0 {
		c.Connect = defaultConnect
	}
	if c.UserTimeout == 0 {
		c.UserTimeout = defaultUserTimeout
	}
	if c.Idle == 0 {
		c.Idle = defaultIdle
	}
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Pool keeps connections to many targets. It is safe for concurrent use.
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
	// open counts all connections, in use or not.
	open int
}

// conn is one connection.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// until is when it must not be used any more for a new request.
	until time.Time
}

// ErrFull is the error where the address has as many connections as it may.
var ErrFull = errors.New("as many connections to the target are in use as may be")

// Unsent is the error of an exchange of which no byte has left.
type Unsent struct{ Cause error }

// Error implements error.
func (u *Unsent) Error() string { return "not sent: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unsent) Unwrap() error { return u.Cause }

// New returns an empty pool.
func New(cfg Config) *Pool {
	cfg = cfg.complete()
	return &Pool{
		cfg: cfg,
		dialer: dialing.New(dialing.Config{
			ConnectTimeout: cfg.Connect, UserTimeout: cfg.UserTimeout,
			KeepAliveIdle: probeIdle, KeepAliveInterval: probeInterval, KeepAliveCount: probeCount,
		}),
		targets: map[string]*target{},
	}
}

// Close drops the unused connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(nil)
}

// Retain drops the unused connections to all addresses but these: an address may
// be given to another target.
func (p *Pool) Retain(addresses map[string]bool) {
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

// Forget drops the unused connections to an address of which one went silent:
// what lost track of the one may have lost track of all.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	var drop []*conn
	if t := p.targets[address]; t != nil {
		drop = t.idle
		t.open -= len(drop)
		t.idle = nil
	}
	p.mu.Unlock()
	closeAll(drop)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // nothing is lost with an unused connection
	}
}

// Open returns the number of connections to an address, in use or not.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		return t.open
	}
	return 0
}

// take returns an unused connection, or reserves the place of a new one.
func (p *Pool) take(address string, limit int) (*conn, error) {
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
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if now.Before(c.until) && quiet(c.Conn) {
			return c, nil
		}
		t.open--
		stale = append(stale, c)
	}
	if limit > 0 && t.open >= limit {
		return nil, ErrFull
	}
	t.open++
	return nil, nil
}

// release gives the place of a connection back that was closed.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		if t.open--; t.open <= 0 && len(t.idle) == 0 {
			delete(p.targets, address)
		}
	}
}

// keep puts a connection back after a clean exchange.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	t := p.targets[c.address]
	if p.closed || t == nil {
		p.mu.Unlock()
		_ = c.Conn.Close() // unused
		p.release(c.address)
		return
	}
	t.idle = append(t.idle, c)
	p.mu.Unlock()
}

// giveBack puts a connection back that was not used.
func (p *Pool) giveBack(c *conn) {
	if c.until.IsZero() {
		c.until = p.cfg.Now().Add(p.cfg.Idle / 2) // new: the target has stated nothing
	}
	p.keep(c)
}

// connect returns a connection to the address.
func (p *Pool) connect(ctx context.Context, address string, limit int) (*conn, error) {
	c, err := p.take(address, limit)
	if err != nil {
		return nil, &Unsent{Cause: err}
	}
	if c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &Unsent{Cause: err}
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// idleUntil returns until when a connection may be used again, by what the
// answer says of it; ok is false where it must not be.
func (p *Pool) idleUntil(r *http.Response) (until time.Time, ok bool) {
	if r.Close {
		return time.Time{}, false
	}
	keep := p.cfg.Idle
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			keep = min(keep, time.Duration(seconds)*time.Second)
		}
	}
	keep -= min(p.cfg.Margin, keep/2)
	return p.cfg.Now().Add(keep), keep > 0
}
