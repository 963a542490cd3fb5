package daemon

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// A workspace that asks for ten times its share brings its callers back on a new
// connection each time. An overloaded daemon reads them all in turn, and every request
// is read seconds late. It has to take a few a second, and none of those whose callers
// have given up meanwhile; and all of them when it is not overloaded any more.
func TestAnOverloadedDaemonTakesFewNewConnections(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	const shedRate = 150
	var over atomic.Bool
	l := newSheddingListener(inner, func() rate.Limit {
		if over.Load() {
			return shedRate
		}
		return 0
	}, nil)
	t.Cleanup(func() { _ = l.Close() })
	var taken, stale atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if hungUp(conn) {
				stale.Add(1)
			}
			taken.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	knock := func(n int) (conns []net.Conn) {
		for range n {
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = conn.Close() })
			conns = append(conns, conn)
		}
		return conns
	}
	eventually := func(n int64) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); taken.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d taken, want %d", taken.Load(), n)
			}
		}
	}
	knock(10)
	eventually(10)
	over.Store(true)
	began := time.Now()
	waiting := knock(shedBurst + 60)
	time.Sleep(100 * time.Millisecond)
	most := 1 + shedBurst + int64(time.Since(began).Seconds()*shedRate)
	is.True(taken.Load()-10 <= most+1) // one Accept was under way
	for _, conn := range waiting[len(waiting)-20:] {
		is.NoErr(conn.Close())
	}
	time.Sleep(500 * time.Millisecond)
	is.Equal(stale.Load(), int64(0))
	is.True(taken.Load()-10 <= int64(len(waiting)))
	over.Store(false)
	before := taken.Load()
	knock(10)
	eventually(before + 10)
}
