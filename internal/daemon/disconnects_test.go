package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/targetconn"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// singleTargetPlacer places every request at one target and records the results.
type singleTargetPlacer struct{ results chan booking.Result }

func (p singleTargetPlacer) Place(context.Context, booking.Request) control.Placement {
	return control.Placement{Target: "t"}
}
func (p singleTargetPlacer) FirstByte(ident.Request, time.Duration)             {}
func (p singleTargetPlacer) Finish(_ ident.Request, r booking.Result)           { p.results <- r }
func (p singleTargetPlacer) RecordShed(ident.Service, ident.Workspace, float64) {}

// noopDialect translates nothing.
type noopDialect struct{}

func (noopDialect) ParseRequest(http.Header) gateway.RequestInfo      { return gateway.RequestInfo{} }
func (noopDialect) SetTargetHeaders(http.Header, gateway.ForwardInfo) {}
func (noopDialect) RemoveTargetNotices(http.Header)                   {}

func (noopDialect) IsEventField(_, _ []byte) bool { return false }
func (noopDialect) SignsSuccesses() bool          { return false }

func (noopDialect) ParseResponse(int, http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{}
}

// startCallerServer serves callers as a daemon does, with all requests sent to one target.
func startCallerServer(t *testing.T, target string) (address string, ended chan booking.Result) {
	is := is.New(t)
	table, err := route.NewTable(route.Document{
		Version:  1,
		Routes:   []route.Route{{Name: "r", Host: "h.example", Prefix: "/", Services: []route.WeightedService{{Service: "app", Weight: 1}}, MaxAttempts: 2, Retry: route.Repeatable}},
		Services: []route.Service{{Name: "app"}},
	})
	is.NoErr(err)
	routes := &route.Holder{}
	is.True(routes.UpdateIfNewer(table))
	metrics := telemetry.NewMetrics()
	tracing, err := telemetry.NewTracing(t.Context(), "d", settings.Trace{})
	is.NoErr(err)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	ended = make(chan booking.Result, 1000)
	conns, monitor := newConnTracker(0), newLoadMonitor(settings.Settings{})
	disconnects := newDisconnectWatcher(monitor)
	ctx, cancel := context.WithCancel(context.Background())
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		monitor.run(ctx, slog.New(slog.DiscardHandler), conns)
	}()
	g := gateway.New(gateway.Deps{
		Routes: routes, Dialect: noopDialect{}, Placer: singleTargetPlacer{ended}, Pool: targetconn.New(targetconn.Config{}),
		CallerGone: callerDisconnected, OnCallerGone: disconnects.watch, ShouldShed: func(context.Context) bool { return false },
		Shedding: func() bool { return false }, OutOfRotation: func() bool { return false },
		Metrics: metrics, Tracing: tracing, Log: slog.New(slog.DiscardHandler),
	})
	g.SetTargets(&gateway.Targets{
		ByIdentity: map[ident.Target]registry.Entry{"t": {Identity: "t", Service: "app", Address: target}},
		Usable:     map[ident.Service]bool{"app": true},
	})
	server := &http.Server{Handler: countRequests(g), ConnState: func(c net.Conn, state http.ConnState) { conns.track(c, state); disconnects.pollIfDue(c, state) }, ConnContext: withConn, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(newRateLimitedListener(l, func() rate.Limit { return 0 }, nil)) }()
	t.Cleanup(func() {
		cancel()
		<-monitorDone
		_ = server.Close()
		_ = metrics.Close()
	})
	return l.Addr().String(), ended
}

// startRequests sends n requests and returns the connections of their callers and those of
// the target, which has begun to answer half of them and has ended none.
func startRequests(t *testing.T, n int) (callers, targets []net.Conn, ended chan booking.Result) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	address, ended := startCallerServer(t, l.Addr().String())
	for i := range n {
		caller, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = caller.Close() })
		_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		target, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = target.Close() })
		_, err = target.Read(make([]byte, readSize))
		is.NoErr(err)
		if i%2 == 0 { // the target begins to answer every other request
			_, err = io.WriteString(target, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			is.NoErr(err)
		}
		callers, targets = append(callers, caller), append(targets, target)
	}
	return callers, targets, ended
}

const readSize = 4 << 10

// Guards against counting a caller that disconnects in the middle of an answer as a failure
// of the target.
func TestCallerDisconnectIsNotATargetFailure(t *testing.T) {
	const requests = 10
	is := is.New(t)
	callers, _, ended := startRequests(t, requests)
	for _, c := range callers {
		is.NoErr(c.Close())
	}
	for range requests {
		is.True(!(<-ended).Failed)
	}
}

// Guards against a target that works on after its caller has left, if the caller had sent part of
// its next request before: the server reads one byte ahead and then does not read again until
// the response is complete, so that it does not notice the close.
func TestDisconnectAfterPipelinedRequestCancelsTarget(t *testing.T) {
	const maxDelay = 500 * time.Millisecond
	is := is.New(t)
	callers, targets, _ := startRequests(t, 2) // the second one without a response so far
	for i, c := range callers {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\n")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // until the server has read ahead
		is.NoErr(c.Close())
		closedAt := time.Now()
		is.NoErr(targets[i].SetReadDeadline(closedAt.Add(4 * maxDelay)))
		_, err = targets[i].Read(make([]byte, 1))
		is.True(err != nil)
		t.Logf("the target notices after %v: %v", time.Since(closedAt), err)
		is.True(time.Since(closedAt) < maxDelay)
	}
}
