package daemon

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/overload"
)

// Guards against a flooded daemon whose connections wait in the kernel by the thousand: beyond the
// backlog a connection attempt must not be answered.
func TestBacklogOfNewConnectionsIsBounded(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	connected := 0
	for range 2 * overload.AcceptBacklog {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
		connected++
	}
	is.True(connected >= overload.AcceptBacklog && connected <= overload.AcceptBacklog+1) // the kernel has room for one more
}

// Guards against a flooded daemon that spends the connections it may accept on callers that have
// left.
func TestAbandonedConnectionsTakeNoTokens(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	l := newRateLimitedListener(inner, func() rate.Limit { return 1 }, nil)
	t.Cleanup(func() { _ = l.Close() })
	waiting, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = waiting.Close() })
	for range 5 * acceptBurst { // the newest come first
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	select {
	case conn := <-accepted:
		is.Equal(conn.RemoteAddr().String(), waiting.LocalAddr().String())
	case <-time.After(3 * time.Second):
		t.Fatal("the connection of the waiting caller was not accepted")
	}
	is.Equal(l.abandoned.Load(), int64(5*acceptBurst))
}

// Guards against a flooded daemon that serves connections in the order of their arrival, so that their callers
// leave before their requests are placed.
func TestNewestConnectionIsServedFirstWhileTheRateIsLimited(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	l := newRateLimitedListener(inner, func() rate.Limit { return 20 }, nil)
	l.othersServe = func() bool { return true }
	t.Cleanup(func() { _ = l.Close() })
	var callers []net.Conn
	for range 2 * acceptBurst {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		callers = append(callers, conn)
	}
	for i := range acceptBurst {
		conn, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.Equal(conn.RemoteAddr().String(), callers[2*acceptBurst-1-i].LocalAddr().String())
	}
	time.Sleep(overload.StaleAfter + 50*time.Millisecond)
	late, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = late.Close() })
	conn, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.Equal(conn.RemoteAddr().String(), late.LocalAddr().String())
	is.Equal(l.stale.Load(), int64(acceptBurst))
	for _, caller := range callers[:acceptBurst] {
		is.NoErr(caller.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := caller.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) // it may try another daemon
	}
}

// Guards against a flooded daemon that closes connections which wait when it stops or is no longer flooded, and
// against a daemon without neighbours that does so at all.
func TestWaitingConnectionsAreServedOnceTheRateIsNotLimited(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	l := newRateLimitedListener(inner, func() rate.Limit { return 1 }, nil)
	t.Cleanup(func() { _ = l.Close() })
	const callers = 2 * acceptBurst
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	accept := func() {
		conn, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	for range acceptBurst {
		accept()
	}
	time.Sleep(overload.StaleAfter + 50*time.Millisecond)
	l.drain()
	for range callers - acceptBurst {
		accept()
	}
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	is.Equal(l.stale.Load(), int64(0))
}
