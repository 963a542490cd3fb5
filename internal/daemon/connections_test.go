package daemon

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
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

// A flood brings more connections than are to be held, on a daemon whose turns take long.
// The connection that was unused for longest holds a request that nobody has read yet;
// closed, its caller got neither an answer nor a refusal.
func TestAConnectionWithAnUnreadRequestIsNotClosed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	pair := func() (server, caller net.Conn) {
		caller, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		server, err = l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _, _ = server.Close(), caller.Close() })
		return server, caller
	}
	c := newConnections(2)
	asking, asker := pair()
	quiet, waiter := pair()
	for _, conn := range []net.Conn{asking, quiet} {
		c.note(conn, http.StateNew)
		c.note(conn, http.StateIdle)
	}
	_, err = asker.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); !hasUnread(asking) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fresh, _ := pair()
	c.note(fresh, http.StateNew)
	is.NoErr(waiter.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = waiter.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the quiet one is closed
	_, err = asking.Read(make([]byte, 1))
	is.NoErr(err) // the other one is read
	is.True(c.used(time.Now()))
}

// A caller keeps its connection and sends a request on it just when a planned stop closes
// what is unused. The daemon has read the first part of the request, on a busy VM a good
// while before it comes to the rest, and closes the connection as unused; the caller gets
// neither an answer nor a refusal.
func TestAPlannedStopClosesNoConnectionWithARequestUnderWay(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	conns := newConnections(0)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.note}
	go func() { _ = server.Serve(newSheddingListener(l, func() rate.Limit { return 0 }, nil)) }()
	t.Cleanup(func() { _ = server.Close() })
	dial := func() (net.Conn, *bufio.Reader) {
		caller, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = caller.Close() })
		return caller, bufio.NewReader(caller)
	}
	send := func(caller net.Conn, text string) {
		_, err := io.WriteString(caller, text)
		is.NoErr(err)
	}
	answer := func(r *bufio.Reader) (string, error) {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(response.Body)
		return string(text), err
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	sending, fromSending := dial()
	unused, fromUnused := dial()
	for _, c := range []struct {
		caller net.Conn
		from   *bufio.Reader
	}{{sending, fromSending}, {unused, fromUnused}} {
		send(c.caller, request)
		text, err := answer(c.from)
		is.NoErr(err)
		is.Equal(text, "hello")
	}
	send(sending, request[:10])
	time.Sleep(50 * time.Millisecond) // it is read
	conns.closeUnused(time.Now())
	_, err = answer(fromUnused)
	is.True(err != nil) // closed, since nothing was under way
	send(sending, request[10:])
	text, err := answer(fromSending)
	is.NoErr(err)
	is.Equal(text, "hello")
}

// slowTurn is a connection whose reader, where held, goes on only some time after the kernel
// has given it the bytes: other goroutines have their turns first.
type slowTurn struct {
	*net.TCPConn
	held   atomic.Bool
	got    chan struct{}
	resume chan struct{}
}

func (c *slowTurn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.held.Load() {
		c.got <- struct{}{}
		<-c.resume
	}
	return n, err
}

// slowTurns is a listener of such connections.
type slowTurns struct {
	net.Listener
	accepted chan *slowTurn
}

func (l *slowTurns) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	slow := &slowTurn{TCPConn: conn.(*net.TCPConn), got: make(chan struct{}), resume: make(chan struct{})}
	l.accepted <- slow
	return newReadingConn(slow), nil
}

// Guards against a planned stop that closes a kept connection whose request it has taken from
// the kernel, but whose goroutine has not had its turn since: the caller gets no answer.
func TestAPlannedStopClosesNoConnectionWhoseRequestItHasTaken(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &slowTurns{Listener: tcp, accepted: make(chan *slowTurn, 1)}
	conns := newConnections(0)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.note, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	from := bufio.NewReader(caller)
	ask := func() {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
	}
	answer := func() string {
		is.NoErr(caller.SetReadDeadline(time.Now().Add(5 * time.Second)))
		response, err := http.ReadResponse(from, nil)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return string(text)
	}
	ask()
	is.Equal(answer(), "hello")

	conn := <-l.accepted
	for end := time.Now().Add(5 * time.Second); conns.used(time.Now()) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	conn.held.Store(true)
	ask()
	<-conn.got
	conn.held.Store(false)
	conns.closeUnused(time.Now())
	conn.resume <- struct{}{}
	is.Equal(answer(), "hello")
}

// Guards against the end of a kept connection, as unused for too long, whose next request came
// in time but was not read before its VM went on after a standstill.
func TestARequestThatWaitsIsReadPastTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	const idle = 20 * time.Millisecond
	is.NoErr(conn.SetReadDeadline(time.Now().Add(idle)))
	_, err = io.WriteString(caller, "GET /")
	is.NoErr(err)
	time.Sleep(2 * idle) // nobody reads meanwhile
	b := make([]byte, 16)
	n, err := conn.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "GET /")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(idle)))
	_, err = conn.Read(b)
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the rest does not come
}
