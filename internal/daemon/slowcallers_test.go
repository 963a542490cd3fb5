package daemon

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/slowreader"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// newSlowCallerTest returns the two ends of a caller's connection with a request in progress.
func newSlowCallerTest(t *testing.T, limits slowreader.Limits) (*slowCallers, *trackedConn, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	is.NoErr(boundBuffers(l.TCPListener))
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	s := &slowCallers{limits: limits, connections: newConnTracker(0), metrics: metrics, log: slog.New(slog.DiscardHandler), logLimit: logging.NewRateLimiter(1)}
	s.connections.track(conn, http.StateActive)
	return s, conn, caller
}

// checkFor runs the checks of the given time from now on.
func (s *slowCallers) checkFor(d time.Duration) {
	start := int64(time.Since(processStart))
	s.lastCheck = start
	for passed := time.Duration(0); passed <= d; passed += slowCallerInterval {
		s.check(start + int64(passed))
	}
}

// Guards against a stalled caller whose response ends as if it were complete, and against one that is ended
// because the VM was paused.
func TestStalledCallerIsDisconnected(t *testing.T) {
	is := is.New(t)
	s, conn, caller := newSlowCallerTest(t, slowreader.Limits{Stall: 2 * time.Second})
	result := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 16<<20)) // more than both sockets hold
		result <- err
	}()
	for blocked := false; !blocked; time.Sleep(time.Millisecond) {
		begun := conn.use.writeBegun.Load()
		time.Sleep(300 * time.Millisecond)
		blocked = begun != 0 && conn.use.writeBegun.Load() == begun
	}
	now := int64(time.Since(processStart))
	s.lastCheck = now
	s.check(now + int64(10*time.Second)) // after a pause
	s.check(now + int64(10*time.Second+slowCallerInterval))
	is.Equal(len(result), 0)
	s.lateAt = 0
	s.checkFor(3 * time.Second)
	is.Equal(<-result, errReadTooSlowly)
	_, err := conn.Write([]byte("the end"))
	is.Equal(err, errReadTooSlowly)
	is.NoErr(conn.Close())
	_, err = caller.Read(make([]byte, 1))
	for err == nil {
		_, err = caller.Read(make([]byte, 1<<20))
	}
	is.True(err.Error() != "EOF") // reset
}

// Guards against bodies that arrive slowly and occupy the memory of a VM for as long as their time limit allows.
func TestSlowBodyBeyondTheMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	s, conn, _ := newSlowCallerTest(t, slowreader.NewLimits(1<<20, 0.1, 0))
	workspace := ident.Workspace("club")
	conn.use.workspace.Store(&workspace)
	conn.use.bodyBytes.Store(100 << 10)
	conn.use.bodyBegun.Store(int64(time.Since(processStart)))
	conn.requestStarted = true
	s.checkFor(time.Second)
	_, err := conn.Read(make([]byte, 10))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
