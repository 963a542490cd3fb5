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
	// disconnectPollInterval is how often connections with a request at a target are polled
	// while the scheduling latency is high. It is far below the half second within which a
	// target is to stop working for a caller that has disconnected.
	disconnectPollInterval = 50 * time.Millisecond
	// latencyCheckInterval is how often the scheduling latency is checked, and connections
	// that are always polled are polled, while it is low.
	latencyCheckInterval = 100 * time.Millisecond
	// disconnectTimers is the number of timers that trigger polls. The runtime schedules
	// the goroutine of a timer next, but only that of the last of those that have expired
	// together; the others wait in the run queue.
	disconnectTimers = 3
)

// disconnectWatcher ends requests whose callers have closed their connections. It is safe
// for concurrent use.
//
// The server detects a closed connection in a goroutine of that connection, which waits to
// be scheduled like all others: on a VM short of processor time, for longer than targets
// may continue to work. While the scheduling latency is high, this type polls all
// connections with one system call instead. The call is made by whichever goroutine runs
// when a poll is due: that of a timer, or of a connection that begins or ends a request.
//
// The server's goroutine also stops reading at the first byte of a further request.
// Connections whose callers send one before the response to the previous one are always
// polled.
type disconnectWatcher struct {
	// slow reports whether the scheduling latency is high.
	slow    func() bool
	started time.Time
	// lastPoll is when the last poll began, in nanoseconds since started, and watchedCount
	// is the number of watched requests.
	lastPoll, watchedCount atomic.Int64
	// spareBuffers are the buffers of a completed poll, for reuse.
	spareBuffers atomic.Pointer[pollBuffers]

	// mu must only be held for a few steps without system calls: a goroutine that holds it
	// may be descheduled at any system call.
	mu      sync.Mutex
	watched map[*watchedRequest]bool
	// timers are the running timers.
	timers [disconnectTimers]*time.Timer
}

// watchedRequest is a request and the callback that ends it.
type watchedRequest struct {
	conn         net.Conn
	onDisconnect func()
	// done is set by whichever party ends the watch first.
	done atomic.Bool
}

// pollBuffers are the buffers for one poll of all watched requests.
type pollBuffers struct {
	requests []*watchedRequest
	fds      []unix.PollFd
}

func newDisconnectWatcher(monitor *loadMonitor) *disconnectWatcher {
	return &disconnectWatcher{slow: monitor.slow, started: time.Now(), watched: map[*watchedRequest]bool{}}
}

// watch watches the connection of the request with the given context.
func (h *disconnectWatcher) watch(ctx context.Context, onDisconnect func()) (stop func() bool) {
	conn, ok := ctx.Value(connContextKey{}).(*callerConn)
	if !ok {
		return func() bool { return true }
	}
	return h.watchConn(conn.Conn, onDisconnect)
}

// watchConn calls onDisconnect once when the caller has closed the connection, unless stop
// was called before. stop reports whether it was in time; if not, onDisconnect has been or
// will be called. onDisconnect must not block.
func (h *disconnectWatcher) watchConn(conn net.Conn, onDisconnect func()) (stop func() bool) {
	w := &watchedRequest{conn: conn, onDisconnect: onDisconnect}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watched[w] = true
	h.watchedCount.Store(int64(len(h.watched)))
	if h.timers[0] == nil {
		h.startTimer(0, latencyCheckInterval)
	}
	return func() bool { return h.unwatch(w) }
}

// startTimer starts a timer. The caller holds the lock.
func (h *disconnectWatcher) startTimer(i int, delay time.Duration) {
	h.timers[i] = time.AfterFunc(delay, func() { h.onTimer(i) })
}

// unwatch ends the watch on a request, and reports whether it was still active.
func (h *disconnectWatcher) unwatch(w *watchedRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watched, w)
	h.watchedCount.Store(int64(len(h.watched)))
	return w.done.CompareAndSwap(false, true)
}

// onTimer runs when a timer expires.
func (h *disconnectWatcher) onTimer(i int) {
	slow := h.slow()
	h.restartTimers(i, slow)
	if h.sincePoll() >= disconnectPollInterval/2 {
		h.poll(!slow)
	}
}

// restartTimers starts the timers that are needed after one has expired.
func (h *disconnectWatcher) restartTimers(i int, slow bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timers[i] = nil
	switch {
	case len(h.watched) == 0:
	case !slow && h.timers[0] == nil:
		h.startTimer(0, latencyCheckInterval)
	case slow:
		for offset := 1; offset <= disconnectTimers; offset++ { // the other timers at staggered times, then this one again
			if k := (i + offset) % disconnectTimers; h.timers[k] == nil {
				h.startTimer(k, disconnectPollInterval*time.Duration(offset)/disconnectTimers)
			}
		}
	}
}

// pollIfDue is a ConnState hook of the server that polls if a poll is due.
func (h *disconnectWatcher) pollIfDue(net.Conn, http.ConnState) {
	if h.watchedCount.Load() > 0 && h.sincePoll() >= disconnectPollInterval && h.slow() {
		h.poll(false)
	}
}

func (h *disconnectWatcher) sincePoll() time.Duration {
	return time.Since(h.started) - time.Duration(h.lastPoll.Load())
}

// poll ends the requests whose callers have disconnected, or only those of them that the
// server does not detect on its own. If its goroutine is descheduled meanwhile, the next poll
// runs concurrently.
func (h *disconnectWatcher) poll(undetectedOnly bool) {
	h.lastPoll.Store(int64(time.Since(h.started)))
	buffers := h.spareBuffers.Swap(nil)
	if buffers == nil {
		buffers = &pollBuffers{}
	}
	h.collectRequests(buffers, undetectedOnly)
	buffers.fds = buffers.fds[:0]
	for _, w := range buffers.requests {
		buffers.fds = append(buffers.fds, unix.PollFd{Fd: fileDescriptor(w.conn), Events: disconnectEvents})
	}
	h.endDisconnected(buffers)
	clear(buffers.requests)
	h.spareBuffers.Store(buffers)
}

// endDisconnected polls the listed requests and ends those whose callers have disconnected.
func (h *disconnectWatcher) endDisconnected(l *pollBuffers) {
	if len(l.fds) == 0 {
		return
	}
	if n, err := unix.Poll(l.fds, 0); err != nil || n == 0 {
		return // after an error the next poll finds them
	}
	for i, w := range l.requests {
		if l.fds[i].Revents&disconnectEvents != 0 && h.unwatch(w) {
			w.onDisconnect()
		}
	}
}

// collectRequests lists the watched requests, or only those whose callers' disconnects the
// server does not detect.
func (h *disconnectWatcher) collectRequests(l *pollBuffers, undetectedOnly bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.requests = l.requests[:0]
	for w := range h.watched {
		if !undetectedOnly || hasReadAhead(w.conn) {
			l.requests = append(l.requests, w)
		}
	}
}

// fileDescriptor returns the file descriptor of a connection, or a negative value, which
// the kernel ignores in a poll, if it has none any more. Once the daemon has closed the
// connection, the descriptor may belong to another one; its request has ended by then.
func fileDescriptor(conn net.Conn) (fd int32) {
	fd = -1
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return fd
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fd
	}
	_ = raw.Control(func(n uintptr) { fd = int32(n) }) // fails if the connection is closed
	return fd
}
