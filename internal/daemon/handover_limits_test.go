package daemon

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/settings"
)

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

// Guards against a flooded daemon whose log does not state why its neighbours got no more connections.
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

// Guards against a daemon that forwards nothing before it refuses requests although its settings require
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
