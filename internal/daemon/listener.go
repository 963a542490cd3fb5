package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/overload"
)

// drainAcceptTimeout bounds the wait for a connection that was reported as pending and was
// closed by its caller before it could be accepted.
const drainAcceptTimeout = 100 * time.Millisecond

// maxDrainAcceptTime bounds how long connections are still accepted during a graceful
// shutdown: without a balancer, new ones may arrive indefinitely.
const maxDrainAcceptTime = 5 * time.Second

// drainableListener is a listener that, once it drains, accepts only the connections that
// the kernel has already accepted, and then ends.
//
// Closing a listener resets those connections: callers that sent their requests before the
// balancer noticed the stop get no answer. On a daemon that is short of processor time
// there are many of them.
type drainableListener struct {
	*net.TCPListener
	draining      atomic.Bool
	drainDeadline atomic.Pointer[time.Time]
}

func listenDrainable(address string) (*drainableListener, error) {
	// No keep-alive probes: an idle connection ends by its idle timeout and a request by
	// its deadline, and enabling the probes takes four of the ten system calls that a
	// refused request on a new connection takes.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, merry.Errorf("%s: not a TCP listener", address)
	}
	if err := setBacklog(tcp, overload.AcceptBacklog); err != nil {
		_ = l.Close()
		return nil, merry.Prepend(err, address)
	}
	return &drainableListener{TCPListener: tcp}, nil
}

// setBacklog bounds the connections that wait in the kernel until they are accepted. A further
// call of listen changes only that bound.
func setBacklog(l *net.TCPListener, connections int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), connections) }); err != nil {
		return err
	}
	return listenErr
}

// drain ends the listener as soon as no connection is pending.
func (l *drainableListener) drain() {
	until := time.Now().Add(maxDrainAcceptTime)
	l.drainDeadline.Store(&until)
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now()) // unblocks a waiting Accept
}

// Accept implements net.Listener. Its error wraps net.ErrClosed once the
// listener is drained.
func (l *drainableListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (l *drainableListener) accept() (*trackedConn, error) {
	for {
		if l.draining.Load() {
			if !l.hasPending() || time.Now().After(*l.drainDeadline.Load()) {
				return nil, net.ErrClosed
			}
			_ = l.SetDeadline(time.Now().Add(drainAcceptTimeout))
		}
		conn, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return newTrackedConn(conn), nil
	}
}

// hasPending reports whether a connection is waiting to be accepted.
func (l *drainableListener) hasPending() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0
	})
	return err == nil && ready
}

const (
	// acceptBurst is how many new connections are accepted at once while the rate is
	// limited.
	acceptBurst = 15
	// acceptPollInterval is how long the listener sleeps before it checks the rate limit
	// again.
	acceptPollInterval = 5 * time.Millisecond
)

// rateLimitedListener limits the rate of new connections while the daemon cannot keep up
// (overload.AcceptRate). Those beyond it wait here, and the newest is served first
// (overload.AcceptQueue).
type rateLimitedListener struct {
	*drainableListener
	// acceptRate returns how many connections to serve per second; zero means no limit.
	acceptRate func() rate.Limit
	limiter    *rate.Limiter
	// tryForward starts forwarding a connection if a neighbour is to serve it, and reports
	// whether it did. If nil, no connection is forwarded.
	tryForward func(*trackedConn) bool
	// othersServe reports whether other daemons serve the callers whose connections this one closes; nil
	// if none does.
	othersServe func() bool
	// queue holds the accepted connections that wait to be served, maxQueue at most.
	maxQueue int
	queue    overload.AcceptQueue[*trackedConn]
	// abandoned counts the connections since the last report whose callers had disconnected
	// before they were served, and stale those that had waited for too long.
	abandoned, stale atomic.Int64
}

func newRateLimitedListener(l *drainableListener, acceptRate func() rate.Limit, tryForward func(*trackedConn) bool) *rateLimitedListener {
	return &rateLimitedListener{drainableListener: l, acceptRate: acceptRate, limiter: rate.NewLimiter(rate.Inf, acceptBurst), tryForward: tryForward, maxQueue: overload.MaxAcceptQueue}
}

// Accept implements net.Listener.
func (l *rateLimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.next()
		if err != nil {
			return nil, err
		}
		if l.tryForward == nil || l.draining.Load() || !l.tryForward(conn) {
			return conn, nil
		}
	}
}

// next returns the next connection to serve or to forward.
func (l *rateLimitedListener) next() (*trackedConn, error) {
	for {
		limited := l.setLimit()
		if l.queue.Len() == 0 && (!limited || !l.hasPending()) {
			conn, err := l.drainableListener.accept()
			if err != nil || !limited {
				return conn, err
			}
			l.queue.Add(time.Now(), conn)
		}
		if !limited {
			conn, _ := l.queue.Oldest()
			return conn, nil
		}
		l.fillQueue()
		l.closeStale()
		if conn, ok := l.newest(); ok {
			return conn, nil
		}
	}
}

// setLimit updates the rate limit, and reports whether the rate is limited.
func (l *rateLimitedListener) setLimit() bool {
	limit := l.acceptRate()
	if limit == 0 || l.draining.Load() {
		return false
	}
	l.limiter.SetLimit(limit)
	return true
}

// fillQueue accepts the connections that wait in the kernel.
func (l *rateLimitedListener) fillQueue() {
	for l.queue.Len() < l.maxQueue && l.hasPending() {
		conn, err := l.drainableListener.accept()
		if err != nil {
			return // the next call of accept reports it once the queue is empty
		}
		l.queue.Add(time.Now(), conn)
	}
}

// closeStale closes the connections that have waited for too long. Nothing was read from them, so that
// their callers may try another daemon.
func (l *rateLimitedListener) closeStale() {
	if l.othersServe == nil || !l.othersServe() {
		return
	}
	for conn := range l.queue.Stale(time.Now()) {
		if peerClosed(conn) {
			l.abandoned.Add(1)
		} else {
			l.stale.Add(1)
		}
		_ = conn.Close()
	}
}

// newest takes the newest connection whose caller has not disconnected from the queue if another one
// may be served now. It waits for a moment if not.
func (l *rateLimitedListener) newest() (conn *trackedConn, ok bool) {
	if l.limiter.Tokens() < 1 {
		time.Sleep(acceptPollInterval)
		return nil, false
	}
	for {
		conn, ok = l.queue.Newest()
		if !ok {
			return nil, false
		}
		if !peerClosed(conn) {
			l.limiter.Allow()
			return conn, true
		}
		l.abandoned.Add(1)
		_ = conn.Close()
	}
}

// logReport logs how many connections were closed since the last report without having been served,
// if any were.
func (l *rateLimitedListener) logReport(log *slog.Logger) {
	abandoned, stale := l.abandoned.Swap(0), l.stale.Swap(0)
	if abandoned+stale > 0 {
		event.ConnectionsAbandoned.Log(log, "abandoned", abandoned, "stale", stale)
	}
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// callerConn is a caller's connection with the number of requests received on it. It is
// used by a single goroutine.
type callerConn struct {
	net.Conn
	requestCount int
}

// withConn adds the connection to the context, where callerDisconnected and isFirstRequest
// look it up.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, &callerConn{Conn: conn})
}

// countRequests is middleware that counts the requests on each connection.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
			conn.requestCount++
		}
		next.ServeHTTP(w, r)
	})
}

// isFirstRequest reports whether a request is the first one on its connection.
func isFirstRequest(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey{}).(*callerConn)
	return ok && conn.requestCount <= 1
}

// callerDisconnected reports whether the caller of a request has closed its connection. The
// server notices that on its own, but only when it gets to read from the connection, which
// on a daemon short of processor time is after the request was sent to a target.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey{}).(*callerConn)
	return ok && peerClosed(conn.Conn)
}

// disconnectEvents are the poll events of a connection that the peer has closed.
const disconnectEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// peerClosed reports whether the peer has closed the connection.
func peerClosed(conn net.Conn) bool { return pollConn(conn, disconnectEvents) }

// hasUnreadData reports whether the connection has data to be read.
func hasUnreadData(conn net.Conn) bool { return pollConn(conn, unix.POLLIN) }

// pollConn reports whether one of these poll events is set for a connection.
func pollConn(conn net.Conn, events int16) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		occurred = err == nil && n > 0 && fds[0].Revents&events != 0
	})
	return err == nil && occurred
}

// resetAborted is middleware that resets the connection of an HTTP/1.0 caller if its response is aborted. Such a
// caller knows no chunks: without a length, the end of the connection in order would be that of a whole body.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := trackedConnOf(r.Context()); conn != nil && !r.ProtoAtLeast(1, 1) {
			aborted := true
			defer func() {
				if aborted {
					conn.resetOnClose()
				}
			}()
			next.ServeHTTP(w, r)
			aborted = false
			return
		}
		next.ServeHTTP(w, r)
	})
}

// closeWhenStopping is middleware that makes callers, from the beginning of a graceful
// shutdown, open a new connection for their next request, which the balancer then
// directs to another daemon. Closing idle connections at that moment instead would cut
// off requests that are in transit on them.
func closeWhenStopping(life *Lifecycle, next http.Handler) http.Handler {
	serving := map[chart.State]bool{StateStarting: true, StateReady: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !serving[life.State()] {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
