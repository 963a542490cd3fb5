package daemon

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// newLimitedTestListener returns a listener that serves 20 connections a second beyond a burst,
// and a channel of the connections that it serves.
func newLimitedTestListener(t *testing.T, mayTurnAway bool) (l *rateLimitedListener, served <-chan net.Conn) {
	t.Helper()
	inner, err := listenDrainable("127.0.0.1:0")
	is.New(t).NoErr(err)
	l = newRateLimitedListener(inner, func() rate.Limit { return 20 }, nil)
	l.mayTurnAway = func() bool { return mayTurnAway }
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 1000)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(conns)
				return
			}
			conns <- conn
		}
	}()
	return l, conns
}

// Guards against callers that wait in the kernel's queue of a flooded daemon until they give up:
// those that it cannot serve must be told by a closed connection at once, and none of their
// requests may have been read.
func TestFloodedDaemonTurnsConnectionsAway(t *testing.T) {
	is := is.New(t)
	l, served := newLimitedTestListener(t, true)
	var callers []net.Conn
	for range 200 {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		callers = append(callers, conn)
	}
	time.Sleep(300 * time.Millisecond)
	turnedAway := 0
	for _, conn := range callers {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			turnedAway++
		}
	}
	is.Equal(int64(turnedAway), l.turnedAway.Load())
	is.Equal(turnedAway+len(served), len(callers))
	is.True(len(served) >= acceptBurst && len(served) < acceptBurst+20)
}

// Guards against a daemon that is alone in its zone and closes the connections of callers that
// no other daemon would serve.
func TestDaemonWithoutZonePeersTurnsNobodyAway(t *testing.T) {
	is := is.New(t)
	l, served := newLimitedTestListener(t, false)
	const callers = acceptBurst + 10
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	for range callers {
		select {
		case <-served:
		case <-time.After(5 * time.Second):
			t.Fatal("a connection was not served")
		}
	}
	is.Equal(l.turnedAway.Load(), int64(0))
}

// Guards against a graceful shutdown that loses connections which were accepted and wait to be
// served.
func TestDrainServesWaitingConnections(t *testing.T) {
	is := is.New(t)
	l, served := newLimitedTestListener(t, false)
	const callers = acceptBurst + 30
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	l.drain()
	total := 0
	for range served {
		total++
	}
	is.Equal(total, callers)
}
