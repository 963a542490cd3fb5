package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// overloadedDaemon is the listener of a daemon that refuses nearly all requests for lack of
// processor time and forwards connections to neighbours.
type overloadedDaemon struct {
	t         *testing.T
	address   string
	listener  *drainableListener
	monitor   *loadMonitor
	forwarder *connForwarder
	server    *http.Server
	// routesVersion is the version of its routes, and unreadConns the number of its
	// connections from which nothing was read.
	routesVersion atomic.Uint64
	unreadConns   atomic.Int64
	// servedLocally counts the requests that the daemon served itself with handler.
	servedLocally atomic.Int64
	handler       atomic.Value
}

func newOverloadedDaemon(t *testing.T, neighbours ...string) *overloadedDaemon {
	t.Helper()
	return newOverloadedVM(t, settings.Defaults(), neighbours...)
}

func newOverloadedVM(t *testing.T, vm settings.Settings, neighbours ...string) *overloadedDaemon {
	t.Helper()
	inner, err := listenDrainable("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &overloadedDaemon{t: t, address: inner.Addr().String(), listener: inner, monitor: newLoadMonitor(vm)}
	s.monitor.shedPermille.Store(shedScale)
	s.forwarder = newTestForwarder(t, vm, s.monitor, neighbours...)
	s.forwarder.routesVersion = s.routesVersion.Load
	s.forwarder.unreadConns = func(time.Time) int { return int(s.unreadConns.Load()) }
	s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "local") }))
	s.server = &http.Server{ConnContext: withConn, Handler: countRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.servedLocally.Add(1)
		s.handler.Load().(http.HandlerFunc)(w, r)
	}))}
	l := newRateLimitedListener(inner, func() rate.Limit { return 0 }, s.forwarder.tryForward)
	go func() { _ = s.server.Serve(l) }()
	go func() { _ = s.server.Serve(s.forwarder.returned) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// newTestForwarder returns a forwarder to the neighbours at these addresses.
func newTestForwarder(t *testing.T, vm settings.Settings, monitor *loadMonitor, neighbours ...string) *connForwarder {
	t.Helper()
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	h := newConnForwarder(vm, monitor, newDisconnectWatcher(monitor), metrics, slog.New(slog.DiscardHandler))
	var ids []ident.Daemon
	addresses := map[ident.Daemon]string{}
	for i, address := range neighbours {
		id := ident.Daemon(fmt.Sprintf("n%d", i))
		ids, addresses[id] = append(ids, id), address
	}
	h.setNeighbours(ids, map[ident.Daemon]bool{"n0": true, "n1": true, "n2": true})
	h.setAddresses(addresses)
	return h
}

// testNeighbour accepts forwarded connections and serves them as a daemon does.
type testNeighbour struct {
	address       string
	busy          atomic.Bool
	routesVersion atomic.Uint64
	server        *http.Server
}

func newTestNeighbour(t *testing.T, handler http.HandlerFunc) *testNeighbour {
	t.Helper()
	n := &testNeighbour{}
	l, err := listenForwarded(settings.Fleet{Handover: "127.0.0.1:0"}, func() bool { return !n.busy.Load() }, n.routesVersion.Load)
	if err != nil {
		t.Fatal(err)
	}
	n.address = l.Addr().String()
	n.server = &http.Server{
		Handler:     withConnectionHeaders(time.Minute, func() bool { return false }, handler),
		ConnContext: withConn,
	}
	go func() { _ = n.server.Serve(l) }()
	t.Cleanup(func() { _ = n.server.Close() })
	return n
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// post sends a request on a new connection.
func (s *overloadedDaemon) post(body string) (status int, answer string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+s.address+"/a%2Fb?c", "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

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

// Guards against a small VM that proxies so many streams to neighbours that it has no
// processor time left for them or for the requests that it serves itself, which are all
// delayed.
func TestSmallVMForwardsFewConnectionsAtATime(t *testing.T) {
	is := is.New(t)
	s, forward := newSmallVM(t)
	s.monitor.meanLatency.Store(int64(10 * time.Millisecond)) // it hardly keeps up with what it forwards
	for range smallVMForwards {
		is.True(forward())
	}
	_, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(answer, "local")
}

// Guards against a small VM that refuses callers, since it proxies a fixed number of streams to neighbours,
// although it has processor time for more.
func TestSmallVMForwardsMoreWhileItKeepsUp(t *testing.T) {
	is := is.New(t)
	_, forward := newSmallVM(t)
	for range 2 * smallVMForwards {
		is.True(forward())
		time.Sleep(2 * time.Millisecond) // the limit grows with time
	}
}

// smallVMForwards is how many connections a VM of 184 MB forwards at a time whatever its latency.
const smallVMForwards = 46

// newSmallVM returns an overloaded daemon on a small VM. forward opens a connection to it that stays open, and
// reports whether its neighbour serves it.
func newSmallVM(t *testing.T) (s *overloadedDaemon, forward func() bool) {
	t.Helper()
	is := is.New(t)
	held := make(chan struct{})
	var forwarded atomic.Int64
	n := newTestNeighbour(t, func(http.ResponseWriter, *http.Request) {
		forwarded.Add(1)
		<-held
	})
	t.Cleanup(func() { close(held) })
	small := settings.Defaults()
	small.Memory = settings.Memory{Limit: 184, Descriptors: 4100}
	s = newOverloadedVM(t, small, n.address)
	return s, func() bool {
		before := forwarded.Load()
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, plainRequest)
		is.NoErr(err)
		for end := time.Now().Add(5 * time.Second); forwarded.Load() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return forwarded.Load() == before+1
	}
}

// Guards against a flooded daemon whose log does not tell why its neighbours got no more connections.
func TestHandoverLineTellsWhyConnectionsWereNotOffered(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t) // without neighbours
	var log bytes.Buffer
	s.forwarder.log = slog.New(slog.NewJSONHandler(&log, nil))
	_, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(answer, "local")
	s.forwarder.notOffered.count(handover.LimitReached)
	s.forwarder.notOffered.count(handover.LimitReached)
	s.forwarder.logReport()
	is.True(strings.Contains(log.String(), `"passed_on":0`))
	is.True(strings.Contains(log.String(), `"at_limit":2,"pending":0,"nobody":1`))
	log.Reset()
	s.forwarder.logReport() // nothing since
	is.Equal(log.Len(), 0)
}

// Guards against a daemon that forwards nothing before it refuses requests although its settings ask for
// it, against one that does so although they do not, and against one that does in a zone whose daemons
// are all short of processor time.
func TestConnectionsAreForwardedEarlyWhereTheyAreSpread(t *testing.T) {
	for _, c := range []struct {
		name                  string
		spread, early, unread bool
		refusals              int
		answer                string
	}{
		{name: "not spread", early: true, unread: true, answer: "local"},
		{name: "latency", spread: true, early: true, answer: "POST /a%2Fb?c x"},
		{name: "unread connections", spread: true, unread: true, answer: "POST /a%2Fb?c x"},
		{name: "idle", spread: true, answer: "local"},
		{name: "crowded", spread: true, early: true, unread: true, refusals: 1, answer: "local"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vm := settings.Defaults()
			vm.Fleet.Spread = c.spread
			s := newOverloadedVM(t, vm, newTestNeighbour(t, echo).address, newTestNeighbour(t, echo).address)
			s.monitor.shedPermille.Store(0)
			if c.early && c.spread {
				s.monitor.earlyPermille.Store(shedScale)
			}
			if c.unread {
				s.unreadConns.Store(5)
			}
			for range c.refusals {
				_, choice := s.forwarder.route(1)
				is.Equal(choice, handover.Forward)
				_, _ = s.forwarder.nextNeighbour("n0", maxForwardAttempts)
			}
			status, answer, err := s.post("x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(answer, c.answer)
			is.Equal(s.forwarder.neighboursAccept(), c.answer != "local")
		})
	}
}

// Guards against a neighbour that dies after it has accepted a connection that was forwarded early, and
// whose caller gets no answer, or whose connection counts for good.
func TestCallerGetsAnswerWhenNeighbourDiesAfterEarlyForwarding(t *testing.T) {
	is := is.New(t)
	var n *testNeighbour
	n = newTestNeighbour(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		go func() { _ = n.server.Close() }()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	vm := settings.Defaults()
	vm.Fleet.Spread = true
	s := newOverloadedVM(t, vm, n.address)
	s.monitor.shedPermille.Store(0)
	s.monitor.earlyPermille.Store(shedScale)
	status, _, err := s.post("x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	s.forwarder.wait(t.Context())
	is.Equal(s.forwarder.picker.Open(), 0)
}
