package daemon

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A workspace that asks for ten times its share brings its callers back on a new
// connection each time. An overloaded daemon reads them all in turn, and every request
// is read seconds late. It has to take a few and close the rest unread, and to take all
// of them again when it is not overloaded any more.
func TestAnOverloadedDaemonTakesFewNewConnections(t *testing.T) {
	is := is.New(t)
	inner, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	var over atomic.Bool
	l := newSheddingListener(inner, over.Load)
	t.Cleanup(func() { _ = l.Close() })
	var taken atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			taken.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	knock := func(n int) (closed int) {
		var conns []net.Conn
		for range n {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				closed++ // reset before the dial had returned
				continue
			}
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); err != nil && !err.(net.Error).Timeout() {
				closed++
			}
			_ = conn.Close()
		}
		return closed
	}
	is.Equal(knock(10), 0)
	over.Store(true)
	closed := knock(60)
	is.True(closed > 30 && closed < 60)
	over.Store(false)
	before := taken.Load()
	is.Equal(knock(10), 0)
	is.Equal(taken.Load()-before, int64(10))
}
