package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// endCause is why a connection was closed without a complete response to its request.
type endCause string

const (
	// endCallerGone: the caller closed the connection.
	endCallerGone endCause = "caller_gone"
	// endShutdown: a graceful shutdown closed it.
	endShutdown endCause = "shutdown"
	// endConnectionLimit: it was closed to make room for new connections.
	endConnectionLimit endCause = "connection_limit"
	// endIdleTimeout: it was closed at its idle timeout.
	endIdleTimeout endCause = "idle_timeout"
	// endTimeLimit: its request did not arrive completely within the time limit.
	endTimeLimit endCause = "time_limit"
	// endResponseAborted: it was aborted after part of the response was sent.
	endResponseAborted endCause = "response_aborted"
	// endCanceled: the request was canceled before its response began.
	endCanceled endCause = "canceled"
	// endPanic: the handler panicked.
	endPanic endCause = "panic"
)

// requestProgress is how far the daemon got with a request without a complete response.
type requestProgress string

const (
	// progressUnread: the request is unread in the kernel's buffer.
	progressUnread requestProgress = "unread"
	// progressBegun: part of the request was read.
	progressBegun requestProgress = "begun"
	// progressRead: the request was read.
	progressRead requestProgress = "read"
	// progressSent: the request was sent to a target.
	progressSent requestProgress = "sent"
)

// requestState is the state of the current request of a connection. The zero value means
// that no handler has been called for one.
type requestState struct {
	// serving reports that the handler runs or has panicked, done that it has returned.
	serving, done bool
	// aborted is what the gateway reported before it aborted the connection; nil if it has
	// not.
	aborted *gateway.AbortedRequest
}

// unansweredEnd describes a connection that was closed without a complete response to its
// request.
type unansweredEnd struct {
	cause    endCause
	progress requestProgress
	// answered is the number of requests that were answered on the connection before.
	answered int
	aborted  *gateway.AbortedRequest
	caller   net.Addr
}

// unansweredLogRate is the maximum number of log lines per second about connections that
// were closed without a complete response.
const unansweredLogRate = 20

// endRecorder counts the connections that were closed without a complete response to their
// request, and logs those whose callers had not disconnected. It is safe for concurrent use.
type endRecorder struct {
	metrics *telemetry.Metrics
	log     *slog.Logger
	limiter *logging.RateLimiter

	mu sync.Mutex
	// counts holds the number of connections since the last report, by cause and progress.
	counts map[string]int
}

func newEndRecorder(metrics *telemetry.Metrics, log *slog.Logger) *endRecorder {
	return &endRecorder{metrics: metrics, log: log, limiter: logging.NewRateLimiter(unansweredLogRate), counts: map[string]int{}}
}

func (r *endRecorder) record(e unansweredEnd) {
	r.metrics.ConnectionUnanswered(string(e.cause), string(e.progress), e.answered > 0)
	r.count(e)
	if e.cause == endCallerGone || !r.limiter.Allow() {
		return
	}
	args := []any{"cause", string(e.cause)}
	if a := e.aborted; a != nil {
		args = append(args, "code", a.Failure.Code.Number, "response_end", a.ResponseEnd)
	}
	args = append(args, "progress", string(e.progress), "answered", e.answered, "caller", e.caller.String())
	if a := e.aborted; a != nil {
		args = append(args, "request", a.AttemptID, "route", a.Route, "target", a.Target, "elapsed_ms", a.Elapsed.Milliseconds(), "left_ms", a.Remaining.Milliseconds(), "reason", a.Failure.Error())
	}
	event.ConnectionUnanswered.Log(r.log, append(args, "suppressed", r.limiter.TakeSuppressed())...)
}

func (r *endRecorder) count(e unansweredEnd) {
	key := string(e.cause) + "/" + string(e.progress)
	if e.answered > 0 {
		key += "/kept"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
}

// logReport logs the number of connections since the last report, if there were any. The
// lines about single connections may be suppressed.
func (r *endRecorder) logReport() {
	r.mu.Lock()
	counts := r.counts
	r.counts = map[string]int{}
	r.mu.Unlock()
	if len(counts) > 0 {
		event.ConnectionsUnanswered.Log(r.log, "connections", counts)
	}
}

// trackRequests is middleware that records on the connection which request is served and
// whether it was answered.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := trackedConnOf(r.Context())
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		conn.onHandlerStarted()
		next.ServeHTTP(w, r) // an aborted request panics
		conn.onHandlerReturned()
	})
}

// noteAborted records on the connection of a request why the gateway aborts it.
func noteAborted(ctx context.Context, a gateway.AbortedRequest) {
	if conn := trackedConnOf(ctx); conn != nil {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.request.aborted = &a
	}
}

func (c *trackedConn) onHandlerStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.serving = true
}

func (c *trackedConn) onHandlerReturned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.serving, c.request.done = false, true
	c.answered++
}

// onReadError records why a read failed.
func (c *trackedConn) onReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.timedOut = true
	case !errors.Is(err, net.ErrClosed): // otherwise this daemon has closed the connection
		c.callerClosed = true
	}
}

// Write implements net.Conn.
//
// Large writes are divided, so that a caller that reads steadily at 8 kB/s is not taken for one that has stopped.
func (c *trackedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		begun := c.use.beginWrite()
		n, err := c.tcpConn.Write(part)
		if !c.use.endWrite(begun) {
			err = errReadTooSlowly // also if the write completed meanwhile: the next one would fail
		}
		written += n
		if n > 0 {
			c.responseStarted.Store(true)
		}
		if err != nil || written >= len(b) {
			return written, err
		}
	}
}

// recordEndTo sets the recorder of the connection's end.
func (c *trackedConn) recordEndTo(ends *endRecorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = ends
}

// recordEnd reports the connection, which is about to be closed, to the recorder if its
// request has no complete response.
func (c *trackedConn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends == nil {
		return
	}
	ends := c.ends
	c.ends = nil // the server may close a connection twice
	progress, unanswered := c.unansweredRequest()
	if !unanswered {
		return
	}
	ends.record(unansweredEnd{cause: c.endCause(), progress: progress, answered: c.answered, aborted: c.request.aborted, caller: c.RemoteAddr()})
}

// unansweredRequest reports whether the connection has a request without a complete
// response, and how far the daemon got with it. The caller holds the lock.
func (c *trackedConn) unansweredRequest() (progress requestProgress, unanswered bool) {
	switch {
	case c.request.serving && c.request.aborted != nil && c.request.aborted.Sent:
		return progressSent, true
	case c.request.serving:
		return progressRead, true
	case c.request.done:
		return "", false
	case c.requestStarted:
		return progressBegun, !c.responseStarted.Load() // the server itself responds to a malformed request
	}
	return progressUnread, !c.callerClosed && hasUnreadData(c.tcpConn) && !peerClosed(c.tcpConn) // a close counts as unread data
}

// endCause returns why the connection is closed before its request has a complete response.
// The caller holds the lock.
func (c *trackedConn) endCause() endCause {
	switch {
	case c.callerClosed || peerClosed(c.tcpConn):
		return endCallerGone
	case c.request.serving && c.request.aborted == nil:
		return endPanic
	case c.request.serving && c.responseStarted.Load():
		return endResponseAborted
	case c.request.serving:
		return endCanceled
	case c.closeReason != "":
		return c.closeReason
	case !c.timedOut:
		return endShutdown // only the server's shutdown closes a connection before a read of it fails
	case c.requestStarted:
		return endTimeLimit
	}
	return endIdleTimeout
}
