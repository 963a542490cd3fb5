package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller has connected, and its request is still on its way when the planned
// stop has closed the listener. It must be answered: the request was in flight.
func TestSettleWaitsForTheFirstRequestOfAConnection(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	conns := newConnections(0)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.note}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })

	l.drain()
	<-served
	is.True(conns.used(time.Now()))
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		conns.settle(t.Context())
		_ = server.Shutdown(t.Context())
	}()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "hello")
	<-settled
}

// A balancer keeps connections open on which it has sent nothing. They must not
// hold up the stop for longer than a first request takes.
func TestConnectionWithoutARequestIsNotWaitedForLong(t *testing.T) {
	is := is.New(t)
	conns := newConnections(0)
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	conns.note(conn, http.StateNew)
	is.True(conns.used(time.Now()))
	is.True(!conns.used(time.Now().Add(firstRequest + time.Second)))
	conns.note(conn, http.StateActive)
	is.True(conns.used(time.Now().Add(time.Hour)))
	conns.note(conn, http.StateIdle)
	is.True(!conns.used(time.Now()))
}
