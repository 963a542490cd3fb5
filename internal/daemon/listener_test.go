package daemon

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A daemon that is short of processor time is replaced. Callers have connected
// and sent their requests, but it has not come to accept their connections when
// the balancer has noticed the stop: closing the listener would reset them.
func TestDrainedListenerAcceptsWhoHasConnected(t *testing.T) {
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

// The stop comes while the server waits for a connection and none comes. The
// wait must end, or the daemon never stops.
func TestDrainEndsAWaitingAccept(t *testing.T) {
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
