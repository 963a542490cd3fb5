package daemon

import (
	"net"
	"sync"
)

// returnedListener hands connections that no neighbour accepted back to the server.
type returnedListener struct {
	conns     chan net.Conn
	done      chan struct{}
	closeOnce func()
}

var _ net.Listener = (*returnedListener)(nil)

func newReturnedListener() *returnedListener {
	l := &returnedListener{conns: make(chan net.Conn), done: make(chan struct{})}
	l.closeOnce = sync.OnceFunc(func() { close(l.done) })
	return l
}

// handBack hands a connection to the server. If the server has stopped, it closes the
// connection, so that its caller can reach another daemon.
func (l *returnedListener) handBack(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *returnedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *returnedListener) Close() error {
	l.closeOnce()
	return nil
}

// Addr implements net.Listener.
func (l *returnedListener) Addr() net.Addr { return &net.TCPAddr{} }
