package daemon

import (
	"bufio"
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

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// starved is a daemon's listener that refuses nearly all for want of processor time, and its
// neighbours.
type starved struct {
	t         *testing.T
	address   string
	listener  *drainableListener
	load      *loadWatch
	handovers *handovers
	server    *http.Server
	// version is that of its routes, unread how many connections it has of which nothing was read.
	version atomic.Uint64
	unread  atomic.Int64
	// local counts the requests that it served itself, handler is what serves them.
	local   atomic.Int64
	handler atomic.Value
}

func newStarved(t *testing.T, neighbours ...string) *starved {
	t.Helper()
	return newStarvedVM(t, settings.Defaults(), neighbours...)
}

func newStarvedVM(t *testing.T, vm settings.Settings, neighbours ...string) *starved {
	t.Helper()
	inner, err := listenDrainable("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &starved{t: t, address: inner.Addr().String(), listener: inner, load: newLoadWatch(vm)}
	s.load.shed.Store(shedUnit)
	s.handovers = newTestHandovers(t, vm, s.load, neighbours...)
	s.handovers.version = s.version.Load
	s.handovers.unread = func(time.Time) int { return int(s.unread.Load()) }
	s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "local") }))
	s.server = &http.Server{ConnContext: withConn, Handler: counting(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.local.Add(1)
		s.handler.Load().(http.HandlerFunc)(w, r)
	}))}
	l := newSheddingListener(inner, func() rate.Limit { return 0 }, s.handovers.passOn)
	go func() { _ = s.server.Serve(l) }()
	go func() { _ = s.server.Serve(s.handovers.returned) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// newTestHandovers passes connections on to these neighbours.
func newTestHandovers(t *testing.T, vm settings.Settings, load *loadWatch, neighbours ...string) *handovers {
	t.Helper()
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	h := newHandovers(vm, load, newHangups(load), metrics, slog.New(slog.DiscardHandler))
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

// neighbour takes connections over and serves them as a daemon does.
type neighbour struct {
	address string
	busy    atomic.Bool
	version atomic.Uint64
	server  *http.Server
}

func newNeighbour(t *testing.T, handler http.HandlerFunc) *neighbour {
	t.Helper()
	n := &neighbour{}
	l, err := listenTakeover(settings.Fleet{Handover: "127.0.0.1:0"}, func() bool { return !n.busy.Load() }, n.version.Load)
	if err != nil {
		t.Fatal(err)
	}
	n.address = l.Addr().String()
	n.server = &http.Server{
		Handler:     keeping(time.Minute, func() bool { return false }, handler),
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

// post sends a request on a connection of its own.
func (s *starved) post(body string) (status int, answer string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	w, err := client.Post("http://"+s.address+"/a%2Fb?c", "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(w.Body)
	return w.StatusCode, string(text), err
}

// A caller at a VM without processor time is served by a neighbour that has some, byte by byte.
func TestANeighbourServesWhatADaemonHasNoTimeFor(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, newNeighbour(t, echo).address)
	body := strings.Repeat("0123456789", 20000)
	status, answer, err := s.post(body)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(answer, "POST /a%2Fb?c "+body)
	is.Equal(s.local.Load(), int64(0))
}

// A connection that is passed on must end with its first answer, or the daemon that passes
// it on cannot tell an unused connection from a request that is owed an answer.
func TestAConnectionThatIsPassedOnEndsWithItsAnswer(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, newNeighbour(t, echo).address)
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	in := bufio.NewReader(conn)
	w, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, err = io.ReadAll(w.Body)
	is.NoErr(err)
	is.True(w.Close)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

// Where no neighbour takes a connection, its request must not be lost: the daemon serves it.
func TestAConnectionThatNobodyTakesIsServedHere(t *testing.T) {
	stands := func(t *testing.T) string { // the kernel accepts, the process does not
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l.Addr().String()
	}
	gone := func(t *testing.T) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		return l.Addr().String()
	}
	busy := func(t *testing.T) string {
		n := newNeighbour(t, echo)
		n.busy.Store(true)
		return n.address
	}
	for name, address := range map[string]func(*testing.T) string{"stands still": stands, "gone": gone, "busy": busy} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStarved(t, address(t))
			status, answer, err := s.post("x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(answer, "local")
		})
	}
}

// A neighbour that dies with a request leaves its caller an answer that says it may have run.
func TestACallerWhoseNeighbourDiesGetsAnAnswer(t *testing.T) {
	is := is.New(t)
	var n *neighbour
	n = newNeighbour(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		go func() { _ = n.server.Close() }()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	s := newStarved(t, n.address)
	status, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(status, 502)
	is.True(strings.Contains(answer, `"run":"may_have_run"`))
}

// An answer that breaks off at the neighbour must not look complete to the caller.
func TestAnAnswerThatBreaksOffAtTheNeighbourIsNotComplete(t *testing.T) {
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
			_, _ = conn.Write(markOf(0))
			_, _ = conn.Read(make([]byte, 1)) // the rest stays unread: the close is a reset
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+length+"\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close()
		}()
		_, _, err = newStarved(t, l.Addr().String()).post(strings.Repeat("x", 1000))
		is.True(err != nil)
		if length == "" {
			is.True(errors.Is(err, syscall.ECONNRESET))
		}
	}
}

// A target must not work on for a caller that has left a daemon which passed it on.
func TestACallersCloseReachesTheNeighbour(t *testing.T) {
	for _, rude := range []bool{false, true} {
		is := is.New(t)
		began, left := make(chan struct{}), make(chan struct{})
		s := newStarved(t, newNeighbour(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(began)
			<-r.Context().Done()
			close(left)
		}).address)
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		waitFor(t, began)
		if rude {
			is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(conn.Close())
		select {
		case <-left:
		case <-time.After(2 * time.Second):
			t.Fatal("the neighbour does not hear of the close")
		}
	}
}

// A planned stop must not cut off callers whose requests a neighbour serves.
func TestAPlannedStopWaitsForWhatIsPassedOn(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}), make(chan struct{})
	s := newStarved(t, newNeighbour(t, func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-goOn
		_, _ = io.WriteString(w, "whole")
	}).address)
	answered := make(chan string, 1)
	go func() {
		_, answer, _ := s.post("x")
		answered <- answer
	}()
	waitFor(t, began)
	s.listener.drain()
	settled := make(chan struct{})
	go func() {
		s.handovers.settle(context.Background())
		close(settled)
	}()
	select {
	case <-settled:
		t.Fatal("the stop does not wait")
	case <-time.After(100 * time.Millisecond):
	}
	close(goOn)
	is.Equal(<-answered, "whole")
	select {
	case <-settled:
	case <-time.After(2 * time.Second):
		t.Fatal("the stop waits on")
	}
}

// Connections from neighbours must not be taken for callers that the balancer leads here.
func TestConnectionsOfNeighboursAreNoArrivals(t *testing.T) {
	is := is.New(t)
	conns := newConnections(0)
	a, b := net.Pipe()
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	for _, passedOn := range []bool{true, false} {
		conns.note(&readingConn{tcpConn: pipeConn{a}, passedOn: passedOn}, http.StateNew)
	}
	is.Equal(conns.arrived(), 1)
}

// pipeConn stands in for a TCP connection.
type pipeConn struct{ net.Conn }

func (pipeConn) SetLinger(int) error                   { return nil }
func (pipeConn) CloseWrite() error                     { return nil }
func (pipeConn) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

// Connections that callers open in advance must not look like a flood, or all daemons would
// pass on and none would take.
func TestConnectionsOpenedInAdvanceAreNotUnreadForLong(t *testing.T) {
	is := is.New(t)
	c := newConnections(0)
	now := time.Now()
	conns := make([]net.Conn, 20)
	for i := range conns {
		conns[i] = &pipeConn{}
		c.note(conns[i], http.StateNew)
	}
	is.Equal(c.unread(now), 20)
	c.note(conns[3], http.StateActive)
	c.note(conns[4], http.StateClosed)
	is.Equal(c.unread(now), 18)
	is.Equal(c.unread(now.Add(2*unreadFor)), 0)
	c.note(conns[5], http.StateActive) // does not count twice
	is.Equal(c.unread(now.Add(2*unreadFor)), 0)
	is.Equal(len(c.recent), 0)
}

func waitFor(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("waited for 10 s")
	}
}

// markOf is the mark of a daemon with routes of a version.
func markOf(version uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{takeoverMark}, version)
}

// A caller that was answered by new routes must not be answered by older ones at a neighbour.
func TestANeighbourWithOlderRoutesServesNothing(t *testing.T) {
	is := is.New(t)
	n := newNeighbour(t, echo)
	s := newStarved(t, n.address)
	s.version.Store(7)
	for version, want := range map[uint64]string{6: "local", 7: "POST /a%2Fb?c x", 8: "POST /a%2Fb?c x"} {
		n.version.Store(version)
		time.Sleep(400 * time.Millisecond) // one that took nothing is passed over for a moment
		_, answer, err := s.post("x")
		is.NoErr(err)
		is.Equal(answer, want)
	}
}

// A caller must not wait for a neighbour that nobody hears of any more.
func TestACallerOfANeighbourThatIsLostGetsAnAnswer(t *testing.T) {
	is := is.New(t)
	began, held := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(held) })
	s := newStarved(t, newNeighbour(t, func(http.ResponseWriter, *http.Request) {
		close(began)
		<-held
	}).address)
	go func() {
		<-began
		s.handovers.setNeighbours(nil, nil)
	}()
	status, _, err := s.post("x")
	is.NoErr(err)
	is.Equal(status, 502)
}

// A daemon that stops must pass nothing on any more: nobody would wait for its end.
func TestADrainingListenerPassesNothingOn(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, newNeighbour(t, echo).address)
	_, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(answer, "POST /a%2Fb?c x")
	time.Sleep(50 * time.Millisecond) // the next Accept waits
	until := time.Now().Add(10 * time.Second)
	s.listener.until.Store(&until)
	s.listener.draining.Store(true)
	_, answer, err = s.post("x")
	is.NoErr(err)
	is.Equal(answer, "local")
}

// Callers whose requests neither this daemon nor a neighbour reads in time must be told at once,
// not wait for it.
func TestACallerThatNobodyHasTimeForIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newStarved(t)
	var sheds atomic.Bool
	s.handler.Store(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { sheds.Store(s.load.sheds(r.Context())) }))
	for unread, want := range map[int64]bool{0: false, 100: true} {
		s.unread.Store(unread)
		s.load.shed.Store(unread / 100) // a thousandth, or none
		_, _, err := s.post("x")
		is.NoErr(err)
		is.Equal(sheds.Load(), want)
	}
}

// Guards against a small VM that carries so many streams of callers to neighbours that it has no
// turns left for them, nor for what it serves itself: all of them come late.
func TestASmallVMCarriesFewConnectionsAtATime(t *testing.T) {
	is := is.New(t)
	const most = 46 // of a VM of 184 MB
	held := make(chan struct{})
	var carried atomic.Int64
	n := newNeighbour(t, func(http.ResponseWriter, *http.Request) {
		carried.Add(1)
		<-held
	})
	t.Cleanup(func() { close(held) })
	small := settings.Defaults()
	small.Memory = settings.Memory{Limit: 184, Descriptors: 4100}
	s := newStarvedVM(t, small, n.address)
	for i := range int64(most) {
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, hopRequest)
		is.NoErr(err)
		for end := time.Now().Add(5 * time.Second); carried.Load() <= i && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(carried.Load(), i+1)
	}
	_, answer, err := s.post("x")
	is.NoErr(err)
	is.Equal(answer, "local")
}
