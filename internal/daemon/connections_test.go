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

// Guards against a graceful shutdown that drops a caller that connected before the
// listener was closed and whose request is still in transit.
func TestDrainWaitsForFirstRequestOfConnection(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	conns := newConnTracker(0)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.track}
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
	is.True(conns.inUse(time.Now()))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		conns.drain(t.Context())
		_ = server.Shutdown(t.Context())
	}()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "hello")
	<-drained
}

// Guards against a graceful shutdown that waits longer than the timeout for a first
// request because a balancer keeps connections open without sending anything on them.
func TestDrainWaitsBrieflyForConnectionWithoutRequest(t *testing.T) {
	is := is.New(t)
	conns := newConnTracker(0)
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	conns.track(conn, http.StateNew)
	is.True(conns.inUse(time.Now()))
	is.True(!conns.inUse(time.Now().Add(firstRequestTimeout + time.Second)))
	conns.track(conn, http.StateActive)
	is.True(conns.inUse(time.Now().Add(time.Hour)))
	conns.track(conn, http.StateIdle)
	is.True(!conns.inUse(time.Now()))
}

// Guards against closing the connection that has been idle for longest although it holds an
// unread request, when a flood exceeds the connection limit of a daemon with a high
// scheduling latency. Its caller got neither an answer nor a refusal.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
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
	c := newConnTracker(2)
	requesting, requester := pair()
	idle, idleCaller := pair()
	for _, conn := range []net.Conn{requesting, idle} {
		c.track(conn, http.StateNew)
		c.track(conn, http.StateIdle)
	}
	_, err = requester.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); !hasUnreadData(requesting) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fresh, _ := pair()
	c.track(fresh, http.StateNew)
	is.NoErr(idleCaller.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = idleCaller.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the idle connection is closed
	_, err = requesting.Read(make([]byte, 1))
	is.NoErr(err) // the other connection is still readable
	is.True(c.inUse(time.Now()))
}

// Guards against a graceful shutdown that closes a kept-alive connection as idle after
// the first part of a request has been read; on a busy VM the rest may be read much
// later. The caller got neither an answer nor a refusal.
func TestShutdownKeepsConnectionWithPartialRequest(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	conns := newConnTracker(0)
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.track}
	go func() { _ = server.Serve(newRateLimitedListener(l, func() rate.Limit { return 0 }, nil)) }()
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
	readAnswer := func(r *bufio.Reader) (string, error) {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(response.Body)
		return string(text), err
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	partial, partialReader := dial()
	idle, idleReader := dial()
	for _, c := range []struct {
		caller net.Conn
		from   *bufio.Reader
	}{{partial, partialReader}, {idle, idleReader}} {
		send(c.caller, request)
		text, err := readAnswer(c.from)
		is.NoErr(err)
		is.Equal(text, "hello")
	}
	send(partial, request[:10])
	time.Sleep(50 * time.Millisecond) // wait until the first part has been read
	conns.closeInactive(time.Now())
	_, err = readAnswer(idleReader)
	is.True(err != nil) // closed because no request was in progress
	send(partial, request[10:])
	text, err := readAnswer(partialReader)
	is.NoErr(err)
	is.Equal(text, "hello")
}

// pausableConn is a connection whose Read, while paused, does not return immediately after
// the kernel has delivered data, like a goroutine that has to wait to be scheduled.
type pausableConn struct {
	*net.TCPConn
	paused   atomic.Bool
	received chan struct{}
	resume   chan struct{}
}

func (c *pausableConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.paused.Load() {
		c.received <- struct{}{}
		<-c.resume
	}
	return n, err
}

// pausableListener is a listener that returns a pausableConn for each connection.
type pausableListener struct {
	net.Listener
	accepted chan *pausableConn
}

func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	slow := &pausableConn{TCPConn: conn.(*net.TCPConn), received: make(chan struct{}), resume: make(chan struct{})}
	l.accepted <- slow
	return newTrackedConn(slow), nil
}

// pausableServer is a server with one kept-alive connection of a caller, whose reads can be
// paused.
type pausableServer struct {
	t      *testing.T
	conns  *connTracker
	addr   string
	conn   *pausableConn
	caller net.Conn
	reader *bufio.Reader
}

// startPausableServer starts a server with one connection on which a request was answered and
// which is idle.
func startPausableServer(t *testing.T, conns *connTracker) *pausableServer {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &pausableListener{Listener: tcp, accepted: make(chan *pausableConn, 4)}
	hello := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	server := &http.Server{Handler: http.HandlerFunc(hello), ConnState: conns.track, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	s := &pausableServer{t: t, conns: conns, addr: tcp.Addr().String()}
	s.caller = s.dial()
	s.reader = bufio.NewReader(s.caller)
	s.sendRequest()
	is.Equal(s.readAnswer(), "hello")
	s.conn = <-l.accepted
	s.waitFor(func() bool { return conns.countIdle() == 1 })
	return s
}

func (s *pausableServer) dial() net.Conn {
	is := is.New(s.t)
	caller, err := net.Dial("tcp", s.addr)
	is.NoErr(err)
	s.t.Cleanup(func() { _ = caller.Close() })
	return caller
}

func (s *pausableServer) sendRequest() {
	is := is.New(s.t)
	_, err := io.WriteString(s.caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
}

func (s *pausableServer) readAnswer() string {
	is := is.New(s.t)
	is.NoErr(s.caller.SetReadDeadline(time.Now().Add(5 * time.Second)))
	response, err := http.ReadResponse(s.reader, nil)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(text)
}

// sendRequestAndPause sends a request and returns when it has been read from the kernel by a
// goroutine that does not run on until resume is called.
func (s *pausableServer) sendRequestAndPause() (resume func()) {
	s.conn.paused.Store(true)
	s.sendRequest()
	<-s.conn.received
	s.conn.paused.Store(false)
	return func() { s.conn.resume <- struct{}{} }
}

func (s *pausableServer) waitFor(holds func() bool) {
	is := is.New(s.t)
	for end := time.Now().Add(5 * time.Second); !holds() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(holds())
}

// Guards against a graceful shutdown that closes a kept-alive connection after its
// request was read from the kernel but before its goroutine was scheduled again. The
// caller got no answer.
func TestShutdownKeepsConnectionWhoseRequestWasRead(t *testing.T) {
	is := is.New(t)
	s := startPausableServer(t, newConnTracker(0))
	resume := s.sendRequestAndPause()
	s.conns.closeInactive(time.Now())
	resume()
	is.Equal(s.readAnswer(), "hello")
}

// Guards against a flooded daemon that closes, to make room for a new connection, a kept-alive
// one whose request was read from the kernel before its goroutine was scheduled again. The
// caller got neither an answer nor a refusal.
func TestConnectionLimitKeepsConnectionWhoseRequestWasRead(t *testing.T) {
	is := is.New(t)
	s := startPausableServer(t, newConnTracker(1))
	resume := s.sendRequestAndPause()
	s.dial()
	s.waitFor(func() bool { return s.conns.countIdle() == 0 }) // the limit was enforced
	resume()
	is.Equal(s.readAnswer(), "hello")
}

// acceptCaller returns both ends of a connection that a daemon has accepted.
func acceptCaller(t *testing.T) (caller net.Conn, conn *trackedConn) {
	t.Helper()
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err = l.accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return caller, conn
}

// Guards against closing a kept-alive connection at its idle timeout although its next
// request arrived in time, because the VM was paused and could not read it.
func TestWaitingRequestIsReadAfterIdleTimeout(t *testing.T) {
	is := is.New(t)
	caller, conn := acceptCaller(t)
	const idle = 20 * time.Millisecond
	is.NoErr(conn.SetReadDeadline(time.Now().Add(idle)))
	_, err := io.WriteString(caller, "GET /")
	is.NoErr(err)
	time.Sleep(2 * idle) // nothing is read in the meantime
	b := make([]byte, 16)
	n, err := conn.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "GET /")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(idle)))
	_, err = conn.Read(b)
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the rest never arrives
}

// Guards against a graceful shutdown that cancels a request which its caller sent before the
// previous one was answered. Such a request may be read together with the previous one, so that
// neither the kernel nor the reads of the connection show it, and the deadline that closes an
// idle connection is set while the request begins.
func TestShutdownKeepsConnectionWithPipelinedRequest(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	conns := newConnTracker(0)
	canceled := make(chan bool, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				canceled <- true
			case <-time.After(100 * time.Millisecond):
				canceled <- false
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive && conns.countIdle() > 0 {
				conns.closeInactive(time.Now()) // the second request was read and is not served yet
			}
			conns.track(c, state)
		},
		IdleTimeout: time.Minute,
	}
	go func() { _ = server.Serve(newRateLimitedListener(l, func() rate.Limit { return 0 }, nil)) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(caller)
	for _, path := range []string{"/1", "/2"} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(text), path)
		is.True(!<-canceled)
	}
}

// countIdle returns the number of connections that wait for a further request.
func (c *connTracker) countIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}
