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
	// looked is when the last look began, in nanoseconds since started, and count how many
	// requests are watched.
	looked, count atomic.Int64
	// spare is the memory of a look that has ended.
	spare atomic.Pointer[look]

	// mu is held for no longer than a few steps: who has it may lose its turn at any system
	// call.
	mu      sync.Mutex
	watched map[*watchedRequest]bool
	// timers are the running ones.
	timers [hangupTimers]*time.Timer
}

// watchedRequest is a request and what ends it.
type watchedRequest struct {
	conn net.Conn
	end  func()
	// over is set by whoever ends the watch first.
	over atomic.Bool
}

// look is the memory of one look at all watched requests.
type look struct {
	requests []*watchedRequest
	fds      []unix.PollFd
}

func newHangups(load *loadWatch) *hangups {
	return &hangups{slow: load.slow, started: time.Now(), watched: map[*watchedRequest]bool{}}
}

// watch watches the connection of a request, given by its context.
func (h *hangups) watch(ctx context.Context, end func()) (stop func() bool) {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return func() bool { return true }
	}
	return h.watchConn(conn.Conn, end)
}

// watchConn calls end once when the caller has closed the connection, unless stop was called
// before. Stop tells whether it was; else end is called or was. End must not block.
func (h *hangups) watchConn(conn net.Conn, end func()) (stop func() bool) {
	w := &watchedRequest{conn: conn, end: end}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watched[w] = true
	h.count.Store(int64(len(h.watched)))
	if h.timers[0] == nil {
		h.arm(0, calmEvery)
	}
	return func() bool { return h.forget(w) }
}

// arm starts a timer. The caller holds the lock.
func (h *hangups) arm(i int, wait time.Duration) {
	h.timers[i] = time.AfterFunc(wait, func() { h.tick(i) })
}

// forget ends the watch over a request, and tells whether it was not over.
func (h *hangups) forget(w *watchedRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watched, w)
	h.count.Store(int64(len(h.watched)))
	return w.over.CompareAndSwap(false, true)
}

// tick is the end of a timer.
func (h *hangups) tick(i int) {
	slow := h.slow()
	h.rearm(i, slow)
	if slow && h.sinceLook() >= hangupEvery/2 {
		h.look()
	}
}

// rearm starts the timers that are needed once one has ended.
func (h *hangups) rearm(i int, slow bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timers[i] = nil
	switch {
	case len(h.watched) == 0:
	case !slow && h.timers[0] == nil:
		h.arm(0, calmEvery)
	case slow:
		for after := 1; after <= hangupTimers; after++ { // the others in between, and this one again
			if k := (i + after) % hangupTimers; h.timers[k] == nil {
				h.arm(k, hangupEvery*time.Duration(after)/hangupTimers)
			}
		}
	}
}

// note is a ConnState hook of the server that looks where a look is due.
func (h *hangups) note(net.Conn, http.ConnState) {
	if h.count.Load() > 0 && h.sinceLook() >= hangupEvery && h.slow() {
		h.look()
	}
}

func (h *hangups) sinceLook() time.Duration {
	return time.Since(h.started) - time.Duration(h.looked.Load())
}

// look ends the requests whose callers have left. One that loses its turn on the way is
// overtaken by the next one.
func (h *hangups) look() {
	h.looked.Store(int64(time.Since(h.started)))
	l := h.spare.Swap(nil)
	if l == nil {
		l = &look{}
	}
	h.collect(l)
	l.fds = l.fds[:0]
	for _, w := range l.requests {
		l.fds = append(l.fds, unix.PollFd{Fd: descriptor(w.conn), Events: leftEvents})
	}
	if n, err := unix.Poll(l.fds, 0); err == nil && n > 0 { // else the next look finds them
		for i, w := range l.requests {
			if l.fds[i].Revents&leftEvents != 0 && h.forget(w) {
				w.end()
			}
		}
	}
	clear(l.requests)
	h.spare.Store(l)
}

// collect lists the watched requests.
func (h *hangups) collect(l *look) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.requests = l.requests[:0]
	for w := range h.watched {
		l.requests = append(l.requests, w)
	}
}

// descriptor returns the number of a connection in the kernel; negative, which the kernel
// passes over, where it has none any more. Once the daemon has closed the connection, the
// number may be another one's; its request has ended by then.
func descriptor(conn net.Conn) (fd int32) {
	fd = -1
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return fd
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fd
	}
	_ = raw.Control(func(n uintptr) { fd = int32(n) }) // fails where it is closed
	return fd
}
