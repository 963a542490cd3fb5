package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

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
