package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/slowreader"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// maxWrite is the size of the largest single write to a caller.
const maxWrite = 16 << 10

// errReadTooSlowly is the error of a write to a caller that is disconnected because it reads too slowly.
var errReadTooSlowly = errors.New("the caller reads its response too slowly")

// callerUse is what a caller's connection occupies for its current request. It is safe for concurrent use.
type callerUse struct {
	// bodyMu is held while the receipt of a body is ended, by its completion or because it is slow: a read
	// deadline that is set after the body is complete would end the request.
	bodyMu sync.Mutex
	// writeBegun is when the current write to the caller began, and bodyBegun when the receipt of the request
	// body began, in nanoseconds since processStart; zero if there is none.
	writeBegun, bodyBegun atomic.Int64
	bodyBytes             atomic.Int64
	workspace             atomic.Pointer[ident.Workspace]
}

// processStart is the reference point of callerUse's times.
var processStart = time.Now()

// writeEnded is the value of callerUse.writeBegun of a connection that is disconnected.
const writeEnded = -1

func (u *callerUse) beginWrite() int64 {
	begun := int64(time.Since(processStart))
	if !u.writeBegun.CompareAndSwap(0, begun) {
		return writeEnded
	}
	return begun
}

// endWrite reports whether the connection may still be used.
func (u *callerUse) endWrite(begun int64) bool {
	return begun != writeEnded && u.writeBegun.CompareAndSwap(begun, 0)
}

// reset prepares for the next request.
func (u *callerUse) reset() {
	u.bodyBegun.Store(0)
	u.bodyBytes.Store(0)
}

// recordBody records the size of a request's body in its connection (gateway.Deps.OnBody).
func recordBody(ctx context.Context, workspace ident.Workspace, bytes int, receiving bool) {
	conn := trackedConnOf(ctx)
	if conn == nil {
		return
	}
	conn.use.workspace.Store(&workspace)
	conn.use.bodyBytes.Store(int64(bytes))
	if !receiving {
		conn.use.bodyMu.Lock()
		conn.use.bodyBegun.Store(0)
		conn.use.bodyMu.Unlock()
		return
	}
	conn.use.bodyBegun.CompareAndSwap(0, int64(time.Since(processStart)))
}

// reader returns the state of the connection; false if neither a write nor the receipt of a body is in progress.
// Begun identifies the write.
func (u *callerUse) reader(now int64) (r slowreader.Reader, begun int64, waiting bool) {
	if workspace := u.workspace.Load(); workspace != nil {
		r.Workspace = *workspace
	}
	r.Bytes = u.bodyBytes.Load()
	if begun = u.writeBegun.Load(); begun > 0 {
		r.Bytes += slowreader.ReaderBytes
		r.Waiting = time.Duration(now - begun)
		return r, begun, true
	}
	if begun = u.bodyBegun.Load(); begun > 0 {
		r.Bytes += slowreader.ReceivingBytes
		r.Waiting, r.Receiving = time.Duration(now-begun), true
		return r, begun, true
	}
	return r, 0, false
}

// endSlow disconnects a caller whose write that began at this time is still in progress, or refuses the request
// whose body is being received. It reports whether it did.
func (c *trackedConn) endSlow(r slowreader.Reader, begun int64) bool {
	past := time.Unix(1, 0)
	if r.Receiving {
		c.use.bodyMu.Lock()
		defer c.use.bodyMu.Unlock()
		return c.use.bodyBegun.CompareAndSwap(begun, 0) && c.SetReadDeadline(past) == nil
	}
	if !c.use.writeBegun.CompareAndSwap(begun, writeEnded) {
		return false
	}
	_ = c.SetLinger(0) // otherwise the kernel keeps the unread data for minutes
	_ = c.SetWriteDeadline(past)
	return true
}

// slowCallerInterval is how often slow callers are looked for. A caller fills its buffers within that time at any
// speed, so that what is occupied is known to be above a limit soon after.
const slowCallerInterval = 100 * time.Millisecond

// slowCallerLogRate is the maximum number of lines per second about slow callers; there is one per workspace.
const slowCallerLogRate = 5

// slowCallers disconnects callers that read or send too slowly (package slowreader).
type slowCallers struct {
	limits      slowreader.Limits
	connections *connTracker
	metrics     *telemetry.Metrics
	log         *slog.Logger
	logLimit    *logging.RateLimiter
	// lastCheck is when the last check was, and lateAt when the last one that was late; in nanoseconds since
	// processStart.
	lastCheck, lateAt int64
}

func newSlowCallers(p routedDependencies) *slowCallers {
	m := p.Settings.Memory
	return &slowCallers{
		limits:      slowreader.NewLimits(int64(m.Limit)<<20, m.SlowCallers, p.Settings.Callers.StallTimeout),
		connections: p.Servers.connections, metrics: p.Metrics, log: p.Log, logLimit: logging.NewRateLimiter(slowCallerLogRate),
	}
}

func (s *slowCallers) run(ctx context.Context) {
	ticker := time.NewTicker(slowCallerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.check(int64(time.Since(processStart)))
		}
	}
}

// maxCheckDelay is by how much a check may be late. On a VM that was paused or is short of processor time, a write
// appears to be blocked because its goroutine has not run.
const maxCheckDelay = 300 * time.Millisecond

// check disconnects the callers that are too slow now.
func (s *slowCallers) check(now int64) {
	if now-s.lastCheck > int64(slowCallerInterval+maxCheckDelay) {
		s.lateAt = now
	}
	s.lastCheck = now
	var readers []slowreader.Reader
	var conns []*trackedConn
	var begun []int64
	s.connections.eachActive(func(conn *trackedConn) {
		if r, since, waiting := conn.use.reader(now); waiting {
			r.Waiting = min(r.Waiting, time.Duration(now-s.lateAt))
			readers, conns, begun = append(readers, r), append(conns, conn), append(begun, since)
		}
	})
	result := s.limits.Decide(readers)
	s.metrics.SlowCallerBytes(result.Bytes)
	type group struct {
		workspace ident.Workspace
		reason    slowreader.Reason
	}
	ended := map[group]int{}
	for _, e := range result.Endings {
		if conns[e.Index].endSlow(readers[e.Index], begun[e.Index]) {
			s.metrics.SlowCallerEnded(string(e.Reason))
			ended[group{readers[e.Index].Workspace, e.Reason}]++
		}
	}
	for g, n := range ended {
		if s.logLimit.Allow() {
			event.SlowCallersEnded.Log(s.log, "workspace", g.workspace, "reason", g.reason, "callers", n, "held_kb", result.Bytes>>10, "limit_kb", s.limits.VM>>10)
		}
	}
}

// eachActive calls f for each connection with a request in progress.
func (c *connTracker) eachActive(f func(*trackedConn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.active {
		if tracked, ok := conn.(*trackedConn); ok {
			f(tracked)
		}
	}
}

// boundBuffers sets the sizes of the socket buffers of the connections that a listener accepts, which inherit
// them from it.
func boundBuffers(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, slowreader.CallerSendBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowreader.CallerReceiveBuffer))
	})
	return errors.Join(err, sockErr)
}
