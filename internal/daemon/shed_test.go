package daemon

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// The callers of a workspace that requests ten times its share retry on a new connection
// each time. Guards against an overloaded daemon that reads all of them in order, so that
// every request is read seconds late. It must accept a few connections per second, none of
// those whose callers have disconnected meanwhile, and all of them once it is no longer
// overloaded.
func TestOverloadedDaemonLimitsNewConnections(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	const limit = 150
	var overloaded atomic.Bool
	l := newRateLimitedListener(inner, func() rate.Limit {
		if overloaded.Load() {
			return limit
		}
		return 0
	}, nil)
	t.Cleanup(func() { _ = l.Close() })
	var accepted, abandoned atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if peerClosed(conn) {
				abandoned.Add(1)
			}
			accepted.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	dial := func(n int) (conns []net.Conn) {
		for range n {
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = conn.Close() })
			conns = append(conns, conn)
		}
		return conns
	}
	waitAccepted := func(n int64) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); accepted.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections accepted, want %d", accepted.Load(), n)
			}
		}
	}
	dial(10)
	waitAccepted(10)
	overloaded.Store(true)
	began := time.Now()
	flood := dial(acceptBurst + 60)
	time.Sleep(100 * time.Millisecond)
	maxAccepted := 1 + acceptBurst + int64(time.Since(began).Seconds()*limit)
	is.True(accepted.Load()-10 <= maxAccepted+1) // one Accept was in progress
	for _, conn := range flood[len(flood)-20:] {
		is.NoErr(conn.Close())
	}
	time.Sleep(500 * time.Millisecond)
	is.Equal(abandoned.Load(), int64(0))
	is.True(accepted.Load()-10 <= int64(len(flood)))
	overloaded.Store(false)
	before := accepted.Load()
	dial(10)
	waitAccepted(before + 10)
}
