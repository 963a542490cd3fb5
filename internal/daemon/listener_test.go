package daemon

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against resetting the connections of callers that have connected and sent their
// requests when a daemon short of processor time is stopped before it could accept them.
func TestDrainingListenerAcceptsPendingConnections(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	const callers = 20
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
	}
	l.drain()
	for range callers {
		c, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
	}
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	is.NoErr(l.Close())
}

// Guards against a daemon that never stops because its server is blocked in Accept and no
// further connection arrives.
func TestDrainEndsBlockedAccept(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.drain()
	is.True(errors.Is(<-ended, net.ErrClosed))
	is.NoErr(l.Close())
}
