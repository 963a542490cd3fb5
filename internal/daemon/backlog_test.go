package daemon

import (
	"net"
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
	for range 5 * acceptBurst {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	waiting, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = waiting.Close() })
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
