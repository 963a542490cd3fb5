// Package rawserver provides servers that a test writes byte by byte.
package rawserver

import (
	"net"
	"testing"
)

// Serve starts a server on the loopback device that calls handle for each connection and closes the
// connection after it. The server ends with the test.
func Serve(t *testing.T, handle func(conn *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServeListener(t, l, handle)
}

// ServeListener is like Serve for a TCP listener, which it closes at the end of the test.
func ServeListener(t *testing.T, l net.Listener, handle func(conn *net.TCPConn)) (address string) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
