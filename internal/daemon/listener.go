package daemon

import (
	"context"
	"errors"
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
)

// acceptLimit bounds the wait for a connection that was reported as waiting and
// was given up by its caller before it could be accepted.
const acceptLimit = 100 * time.Millisecond

// drainLimit bounds how long connections are still accepted in a planned stop:
// without a balancer, new ones may come without end.
const drainLimit = 5 * time.Second

// drainableListener accepts, once it drains, only the connections that the
// kernel has taken already, and then ends.
//
// A listener that is just closed resets those: their callers, who have sent
// their requests before the balancer noticed the stop, get no answer. On a
// daemon that is short of processor time these are many.
type drainableListener struct {
	*net.TCPListener
	draining atomic.Bool
	until    atomic.Pointer[time.Time]
}

func listenDrainable(address string) (*drainableListener, error) {
	// No keepalive probes: an unused connection ends by its idle timeout and a request by
	// its deadline, and to set them takes four system calls of the ten that a refused
	// request on a new connection takes.
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
	return &drainableListener{TCPListener: tcp}, nil
}

// drain ends the listener as soon as no connection waits to be accepted.
func (l *drainableListener) drain() {
	until := time.Now().Add(drainLimit)
	l.until.Store(&until)
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now()) // wakes an Accept that waits
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

func (l *drainableListener) accept() (*readingConn, error) {
	for {
		if l.draining.Load() {
			if !l.pending() || time.Now().After(*l.until.Load()) {
				return nil, net.ErrClosed
			}
			_ = l.SetDeadline(time.Now().Add(acceptLimit))
		}
		conn, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return newReadingConn(conn), nil
	}
}

// pending tells whether a connection waits to be accepted.
func (l *drainableListener) pending() bool {
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
	// shedBurst is how many new connections are taken at once where they are limited.
	shedBurst = 15
	// shedPause is how long the listener waits for a place, at most.
	shedPause = 5 * time.Millisecond
)

// sheddingListener takes few new connections while the daemon does not keep up, and then
// none whose caller has given up meanwhile (overload.AcceptRate).
//
// Those that are not taken wait in the kernel, where they cost nothing; closing them
// instead makes their callers come back at once, which is worse than what it answers.
type sheddingListener struct {
	*drainableListener
	// rate is how many a second are taken; zero: all.
	rate    func() rate.Limit
	limiter *rate.Limiter
	// passOn takes a connection over that a neighbour is to serve, and tells whether it did;
	// nil: none is passed on.
	passOn func(*readingConn) bool
}

func newSheddingListener(l *drainableListener, most func() rate.Limit, passOn func(*readingConn) bool) *sheddingListener {
	return &sheddingListener{drainableListener: l, rate: most, limiter: rate.NewLimiter(rate.Inf, shedBurst), passOn: passOn}
}

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	for {
		limited := l.await()
		conn, err := l.drainableListener.accept()
		switch {
		case err != nil:
			return nil, err
		case limited && hungUp(conn):
			_ = conn.Close() // nobody waits for anything on it
		case l.passOn == nil || l.draining.Load() || !l.passOn(conn):
			return conn, nil
		}
	}
}

// await waits until one more connection may be taken, and tells whether they are limited.
func (l *sheddingListener) await() bool {
	for {
		most := l.rate()
		if most == 0 || l.draining.Load() {
			return false
		}
		l.limiter.SetLimit(most)
		if l.limiter.Allow() {
			return true
		}
		time.Sleep(shedPause)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// callerConn is a caller's connection and how many requests it has brought. One goroutine
// serves it.
type callerConn struct {
	net.Conn
	requests int
}

// withConn lets callerGone and firstOnConnection find the connection of a request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: conn})
}

// counting counts the requests of connections.
func counting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			conn.requests++
		}
		next.ServeHTTP(w, r)
	})
}

// firstOnConnection tells whether a request is the first one on its connection.
func firstOnConnection(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && conn.requests <= 1
}

// callerGone tells whether the caller of a request has closed its connection. The
// server notices that by itself, but only when it comes to read it, which on a daemon
// short of processor time is after the request was sent on.
func callerGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && hungUp(conn.Conn)
}

// leftEvents are those of a connection that the other end has closed.
const leftEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// hungUp tells whether the other end has closed the connection.
func hungUp(conn net.Conn) bool { return polled(conn, leftEvents) }

// hasUnread tells whether something waits to be read on the connection.
func hasUnread(conn net.Conn) bool { return polled(conn, unix.POLLIN) }

// polled tells whether one of these events holds for a connection now.
func polled(conn net.Conn, events int16) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	holds := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		holds = err == nil && n > 0 && fds[0].Revents&events != 0
	})
	return err == nil && holds
}

// closing asks callers to open a new connection for their next request from the
// begin of a planned stop on, which the balancer then leads elsewhere. Closing
// unused connections at that moment instead would cut off the requests that are
// on their way on them.
func closing(life *Life, next http.Handler) http.Handler {
	going := map[chart.State]bool{StateStarting: true, StateReady: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !going[life.State()] {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
