package daemon

import (
	"net"
	"sync"
)

// returnedListener brings connections back to the server that no neighbour took.
type returnedListener struct {
	conns chan net.Conn
	done  chan struct{}
	close func()
}

var _ net.Listener = (*returnedListener)(nil)

func newReturnedListener() *returnedListener {
	l := &returnedListener{conns: make(chan net.Conn), done: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.done) })
	return l
}

// give hands a connection to the server; a server that has stopped leaves its caller to
// another daemon.
func (l *returnedListener) give(conn net.Conn) {
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
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *returnedListener) Addr() net.Addr { return &net.TCPAddr{} }
