package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// hangupEvery is how often connections with a request at a target are looked at while
	// turns are slow. It is far below the half second in which a target is to stop working
	// for a caller that has left.
	hangupEvery = 50 * time.Millisecond
	// calmEvery is how often it is asked whether they are.
	calmEvery = 100 * time.Millisecond
	// hangupTimers is how many timers see to it. The runtime gives the goroutine of a timer
	// the next turn, but only that of the last of those that have run out together; the
	// others wait like all.
	hangupTimers = 3
)

// hangups ends requests whose callers have closed their connections. It is safe for
// concurrent use.
//
// The server notices a close by a goroutine of the connection, which waits for its turn like
// all others: on a VM short of processor time for longer than targets may work on. Here one
// system call looks at all connections, while turns are slow. It is made by whatever has its
// turn when a look is due: a timer, or a connection that begins or ends a request.
type hangups struct {
	// slow tells whether turns take long.
	slow    func() bool
	started time.Time
	// looked is when the last look was, in nanoseconds since started, and count how many
	// requests are watched.
	looked, count atomic.Int64

	mu      sync.Mutex
	watched map[*watchedRequest]bool
	// timers are the running ones.
	timers [hangupTimers]*time.Timer
	// fds and order are the last look's, kept to be used again.
	fds   []unix.PollFd
	order []*watchedRequest
}

// watchedRequest is a request and what ends it.
type watchedRequest struct {
	conn net.Conn
	end  func()
}

func newHangups(load *loadWatch) *hangups {
	return &hangups{slow: load.slow, started: time.Now(), watched: map[*watchedRequest]bool{}}
}

// watch calls end once when the caller of a request, given by its context, has closed its
// connection, until stop is called. Stop tells whether end was not called, and won't be. End
// must not block.
func (h *hangups) watch(ctx context.Context, end func()) (stop func() bool) {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return func() bool { return true }
	}
	w := &watchedRequest{conn: conn.Conn, end: end}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watched[w] = true
	h.count.Store(int64(len(h.watched)))
	if h.timers[0] == nil {
		h.arm(0, calmEvery)
	}
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		still := h.watched[w]
		h.forget(w)
		return still
	}
}

// arm starts a timer. The caller holds the lock.
func (h *hangups) arm(i int, wait time.Duration) {
	h.timers[i] = time.AfterFunc(wait, func() { h.tick(i) })
}

// forget ends the watch over a request. The caller holds the lock.
func (h *hangups) forget(w *watchedRequest) {
	delete(h.watched, w)
	h.count.Store(int64(len(h.watched)))
}

// tick is the end of a timer.
func (h *hangups) tick(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timers[i] = nil
	if len(h.watched) == 0 {
		return
	}
	if !h.slow() {
		if i == 0 {
			h.arm(0, calmEvery)
		}
		return
	}
	if h.sinceLook() >= hangupEvery/2 {
		h.look()
	}
	for after := 1; after <= hangupTimers; after++ { // the others in between, and this one again
		if k := (i + after) % hangupTimers; h.timers[k] == nil {
			h.arm(k, hangupEvery*time.Duration(after)/hangupTimers)
		}
	}
}

// note is a ConnState hook of the server that looks where a look is due.
func (h *hangups) note(net.Conn, http.ConnState) {
	if h.count.Load() > 0 && h.sinceLook() >= hangupEvery && h.slow() && h.mu.TryLock() {
		h.look()
		h.mu.Unlock()
	}
}

func (h *hangups) sinceLook() time.Duration {
	return time.Since(h.started) - time.Duration(h.looked.Load())
}

// look ends the requests whose callers have left. The caller holds the lock.
func (h *hangups) look() {
	h.looked.Store(int64(time.Since(h.started)))
	h.fds, h.order = h.fds[:0], h.order[:0]
	for w := range h.watched {
		if fd, ok := descriptor(w.conn); ok {
			h.fds, h.order = append(h.fds, unix.PollFd{Fd: fd, Events: leftEvents}), append(h.order, w)
		}
	}
	if len(h.fds) == 0 {
		return
	}
	if n, err := unix.Poll(h.fds, 0); err != nil || n == 0 {
		return // an interrupted look is made again by the next one
	}
	for i, w := range h.order {
		if h.fds[i].Revents&leftEvents != 0 {
			h.forget(w)
			w.end()
		}
	}
}

// descriptor returns the number of a connection in the kernel. Once the daemon has closed
// it, the number may be another connection's; its request has ended by then.
func descriptor(conn net.Conn) (fd int32, ok bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(n uintptr) { fd = int32(n) })
	return fd, err == nil
}
