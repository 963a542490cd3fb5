package daemon

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests to a VM without processor time must be served by a neighbour that has some, with
// their bodies unchanged.
func TestNeighbourServesForwardedRequest(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, newTestNeighbour(t, echo).address)
	body := strings.Repeat("0123456789", 20000)
	status, answer, err := s.post(body)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(answer, "POST /a%2Fb?c "+body)
	is.Equal(s.servedLocally.Load(), int64(0))
}

// A forwarded connection must end with its first answer; otherwise the daemon that forwards
// it cannot distinguish an idle connection from a request that awaits its answer.
func TestForwardedConnectionEndsWithItsAnswer(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, newTestNeighbour(t, echo).address)
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(response.Close)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

// A request must be served locally if no neighbour accepts its connection.
func TestConnectionThatNoNeighbourAcceptsIsServedLocally(t *testing.T) {
	unresponsive := func(t *testing.T) string { // the kernel accepts the connection, the process does not
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l.Addr().String()
	}
	closed := func(t *testing.T) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		return l.Addr().String()
	}
	busy := func(t *testing.T) string {
		n := newTestNeighbour(t, echo)
		n.busy.Store(true)
		return n.address
	}
	for name, address := range map[string]func(*testing.T) string{"unresponsive": unresponsive, "gone": closed, "busy": busy} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newOverloadedDaemon(t, address(t))
			status, answer, err := s.post("x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(answer, "local")
		})
	}
}

// If a neighbour dies with a request, its caller must get an answer that says that the
// request may have run.
func TestCallerGetsAnswerWhenNeighbourDies(t *testing.T) {
	is := is.New(t)
	var n *testNeighbour
	n = newTestNeighbour(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		go func() { _ = n.server.Close() }()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	s := newOverloadedDaemon(t, n.address)
	status, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(status, 502)
	is.True(strings.Contains(answer, `"run":"may_have_run"`))
}

// An answer that the neighbour truncates must not look complete to the caller.
func TestTruncatedAnswerOfNeighbourDoesNotLookComplete(t *testing.T) {
	for _, length := range []string{"", "Content-Length: 100\r\n"} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(acceptMessage(0))
			_, _ = conn.Read(make([]byte, 1)) // the rest stays unread, so that closing resets the connection
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+length+"\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close()
		}()
		_, _, err = newOverloadedDaemon(t, l.Addr().String()).post(strings.Repeat("x", 1000))
		is.True(err != nil)
		if length == "" {
			is.True(errors.Is(err, syscall.ECONNRESET))
		}
	}
}

// A target must not continue to work for a caller that has disconnected from the daemon
// that forwarded its connection.
func TestCallerDisconnectReachesNeighbour(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		started, disconnected := make(chan struct{}), make(chan struct{})
		s := newOverloadedDaemon(t, newTestNeighbour(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(started)
			<-r.Context().Done()
			close(disconnected)
		}).address)
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		waitFor(t, started)
		if reset {
			is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(conn.Close())
		select {
		case <-disconnected:
		case <-time.After(2 * time.Second):
			t.Fatal("the neighbour was not informed that the caller disconnected")
		}
	}
}

// A graceful shutdown must not cut off callers whose requests a neighbour serves.
func TestShutdownWaitsForForwardedConnections(t *testing.T) {
	is := is.New(t)
	started, resume := make(chan struct{}), make(chan struct{})
	s := newOverloadedDaemon(t, newTestNeighbour(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-resume
		_, _ = io.WriteString(w, "whole")
	}).address)
	answered := make(chan string, 1)
	go func() {
		_, answer, _ := s.post("x")
		answered <- answer
	}()
	waitFor(t, started)
	s.listener.drain()
	waited := make(chan struct{})
	go func() {
		s.forwarder.wait(context.Background())
		close(waited)
	}()
	select {
	case <-waited:
		t.Fatal("wait returned while a connection was being forwarded")
	case <-time.After(100 * time.Millisecond):
	}
	close(resume)
	is.Equal(<-answered, "whole")
	select {
	case <-waited:
	case <-time.After(2 * time.Second):
		t.Fatal("wait did not return after the connection ended")
	}
}

// Connections forwarded by neighbours must not be counted as callers that the balancer
// directed to this daemon.
func TestForwardedConnectionsAreNotCountedAsOpened(t *testing.T) {
	is := is.New(t)
	conns := newConnTracker(0)
	a, b := net.Pipe()
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	for _, forwarded := range []bool{true, false} {
		conns.track(&trackedConn{tcpConn: pipeConn{a}, forwarded: forwarded}, http.StateNew)
	}
	is.Equal(conns.takeOpenedConns(), 1)
}

// pipeConn is a fake TCP connection.
type pipeConn struct{ net.Conn }

func (pipeConn) SetLinger(int) error                   { return nil }
func (pipeConn) CloseWrite() error                     { return nil }
func (pipeConn) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

// Connections that callers open in advance must not look like a flood: all daemons would
// then forward connections and none would accept them.
func TestConnectionsOpenedInAdvanceCountAsUnreadBriefly(t *testing.T) {
	is := is.New(t)
	c := newConnTracker(0)
	now := time.Now()
	conns := make([]net.Conn, 20)
	for i := range conns {
		conns[i] = &pipeConn{}
		c.track(conns[i], http.StateNew)
	}
	is.Equal(c.countUnread(now), 20)
	c.track(conns[3], http.StateActive)
	c.track(conns[4], http.StateClosed)
	is.Equal(c.countUnread(now), 18)
	is.Equal(c.countUnread(now.Add(2*unreadWindow)), 0)
	c.track(conns[5], http.StateActive) // must not be counted twice
	is.Equal(c.countUnread(now.Add(2*unreadWindow)), 0)
	is.Equal(len(c.recentPending), 0)
}

func waitFor(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("timed out after 10 s")
	}
}

// acceptMessage returns the message with which a daemon with this version of the routes
// accepts a forwarded connection.
func acceptMessage(version uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{acceptMarker}, version)
}

// A caller that was answered by new routes must not be answered by older ones at a
// neighbour.
func TestNeighbourWithOlderRoutesIsNotUsed(t *testing.T) {
	is := is.New(t)
	n := newTestNeighbour(t, echo)
	s := newOverloadedDaemon(t, n.address)
	s.routesVersion.Store(7)
	for version, want := range map[uint64]string{6: "local", 7: "POST /a%2Fb?c x", 8: "POST /a%2Fb?c x"} {
		n.routesVersion.Store(version)
		time.Sleep(400 * time.Millisecond) // a neighbour that refused a connection is skipped for a short time
		_, answer, err := s.post("x")
		is.NoErr(err)
		is.Equal(answer, want)
	}
}

// A caller must not wait for a neighbour that is no longer known to be alive.
func TestCallerGetsAnswerWhenNeighbourIsLost(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	s := newOverloadedDaemon(t, newTestNeighbour(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}).address)
	go func() {
		<-started
		s.forwarder.setNeighbours(nil, nil)
	}()
	status, _, err := s.post("x")
	is.NoErr(err)
	is.Equal(status, 502)
}

// A daemon that is stopping must not forward further connections, because nothing would
// wait for them to end.
func TestDrainingListenerForwardsNothing(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, newTestNeighbour(t, echo).address)
	_, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(answer, "POST /a%2Fb?c x")
	time.Sleep(50 * time.Millisecond) // wait until the next Accept blocks
	until := time.Now().Add(10 * time.Second)
	s.listener.drainDeadline.Store(&until)
	s.listener.draining.Store(true)
	_, answer, err = s.post("x")
	is.NoErr(err)
	is.Equal(answer, "local")
}

// Callers whose requests neither this daemon nor a neighbour would read in time must be
// refused at once.
func TestCallerIsRefusedAtOnceWhenAllDaemonsAreSaturated(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t)
	var shed atomic.Bool
	s.handler.Store(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { shed.Store(s.monitor.shouldShed(r.Context())) }))
	for unread, want := range map[int64]bool{0: false, 100: true} {
		s.unreadConns.Store(unread)
		s.monitor.shedPermille.Store(unread / 100) // 1/1000 or zero
		_, _, err := s.post("x")
		is.NoErr(err)
		is.Equal(shed.Load(), want)
	}
}
