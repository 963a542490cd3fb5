package daemon

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/overload"
)

const (
	// acceptBurst is how many new connections are served at once while the rate is limited.
	acceptBurst = 15
	// acceptPollInterval is how long the listener sleeps before it checks the rate limit
	// again.
	acceptPollInterval = 5 * time.Millisecond
)

// rateLimitedListener limits the rate of new connections while the daemon cannot keep up
// (overload.AcceptRate), and closes those unread for which it has no processor time
// (overload.AcceptQueue).
type rateLimitedListener struct {
	*drainableListener
	// acceptRate returns how many connections to serve per second; zero means no limit.
	acceptRate func() rate.Limit
	limiter    *rate.Limiter
	// mayTurnAway reports whether other daemons serve callers whose connections are closed
	// unread. If not, which is the default, connections wait here.
	mayTurnAway func() bool
	// tryForward starts forwarding a connection if a neighbour is to serve it, and reports
	// whether it did. If nil, no connection is forwarded.
	tryForward func(*trackedConn) bool
	// turnedAway, abandoned and failed count, since the last report, the connections that
	// were closed unread and those whose callers had disconnected before, and the failures
	// to accept one.
	turnedAway, abandoned, failed atomic.Int64

	// startOnce starts the goroutine that accepts connections. arrived has room for one
	// wake-up, sent when the queue or acceptErr changes.
	startOnce sync.Once
	arrived   chan struct{}

	mu    sync.Mutex
	queue overload.AcceptQueue[*trackedConn]
	// acceptErr is set once no further connection is accepted.
	acceptErr error
}

func newRateLimitedListener(l *drainableListener, acceptRate func() rate.Limit, tryForward func(*trackedConn) bool) *rateLimitedListener {
	return &rateLimitedListener{
		drainableListener: l, acceptRate: acceptRate, limiter: rate.NewLimiter(rate.Inf, acceptBurst),
		mayTurnAway: func() bool { return false }, tryForward: tryForward, arrived: make(chan struct{}, 1),
	}
}

// Accept implements net.Listener.
func (l *rateLimitedListener) Accept() (net.Conn, error) {
	l.startOnce.Do(func() { go l.collect() })
	for {
		conn, err := l.next()
		switch {
		case err != nil:
			return nil, err
		case l.tryForward == nil || l.draining.Load() || !l.tryForward(conn):
			return conn, nil
		}
	}
}

// collect accepts connections as they arrive, so that none waits in the kernel's queue, which
// a flood would fill.
func (l *rateLimitedListener) collect() {
	for {
		conn, err := l.drainableListener.accept()
		if err != nil && !errors.Is(err, net.ErrClosed) {
			l.failed.Add(1) // out of descriptors, or the caller has disconnected
			time.Sleep(acceptPollInterval)
			continue
		}
		l.turnAway(l.enqueue(time.Now(), conn, err))
		l.wake()
		if err != nil {
			return
		}
	}
}

// enqueue adds a connection to the queue, or the error that ends it, and removes the
// connections to close unread.
func (l *rateLimitedListener) enqueue(now time.Time, conn *trackedConn, err error) (expired []*trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.queue.Push(now, conn)
	}
	l.acceptErr = err
	return l.takeExpired(now)
}

// wake wakes the goroutine that serves connections.
func (l *rateLimitedListener) wake() {
	select {
	case l.arrived <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// limit returns how many connections to serve per second now; zero means no limit.
func (l *rateLimitedListener) limit() rate.Limit {
	if l.draining.Load() {
		return 0
	}
	return l.acceptRate()
}

// takeExpired removes the connections to close unread. The caller holds the lock.
func (l *rateLimitedListener) takeExpired(now time.Time) []*trackedConn {
	if l.limit() == 0 || !l.mayTurnAway() {
		return nil
	}
	return l.queue.TakeExpired(now)
}

// turnAway closes connections unread.
func (l *rateLimitedListener) turnAway(conns []*trackedConn) {
	l.turnedAway.Add(int64(len(conns)))
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// next waits for the next connection to serve.
func (l *rateLimitedListener) next() (*trackedConn, error) {
	for {
		conn, expired, wait, err := l.poll(time.Now())
		l.turnAway(expired)
		switch {
		case conn != nil || err != nil:
			return conn, err
		case wait > 0:
			time.Sleep(wait)
		default:
			<-l.arrived
		}
	}
}

// poll returns the next connection to serve and the connections to close unread. If there is
// none to serve, it returns how long to wait, or zero to wait for one to arrive.
func (l *rateLimitedListener) poll(now time.Time) (conn *trackedConn, expired []*trackedConn, wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired = l.takeExpired(now)
	if l.queue.Len() == 0 {
		return nil, expired, 0, l.acceptErr
	}
	limit := l.limit()
	if limit == 0 {
		conn, _ = l.queue.Next(false)
		return conn, expired, 0, nil
	}
	l.limiter.SetLimit(limit)
	if l.limiter.Tokens() < 1 {
		return nil, expired, acceptPollInterval, nil
	}
	if conn = l.nextConnected(); conn != nil {
		l.limiter.Allow()
	}
	return conn, expired, 0, nil
}

// nextConnected returns the next connection whose caller has not disconnected, or nil if
// there is none. The caller holds the lock.
func (l *rateLimitedListener) nextConnected() *trackedConn {
	for {
		conn, ok := l.queue.Next(l.mayTurnAway())
		if !ok || !peerClosed(conn) {
			return conn
		}
		l.abandoned.Add(1)
		_ = conn.Close()
	}
}

// logReport logs what became of connections that were not served since the last report, if
// there were any.
func (l *rateLimitedListener) logReport(log *slog.Logger) {
	turnedAway, abandoned, failed := l.turnedAway.Swap(0), l.abandoned.Swap(0), l.failed.Swap(0)
	if turnedAway+abandoned+failed > 0 {
		event.ConnectionsTurnedAway.Log(log, "turned_away", turnedAway, "abandoned", abandoned, "failed", failed)
	}
}
