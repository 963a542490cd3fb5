package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// fakePlacer refuses to place requests and counts the calls.
type fakePlacer struct {
	placeCalls, finishCalls int
	// placeFunc, if set, provides the placement instead.
	placeFunc func() control.Placement
	shedCost  map[ident.Workspace]float64
	// lastResult is the result that was reported last.
	lastResult booking.Result
}

func (p *fakePlacer) Place(context.Context, booking.Request) control.Placement {
	p.placeCalls++
	if p.placeFunc != nil {
		return p.placeFunc()
	}
	return control.Placement{Failure: resultcode.Fail(resultcode.FleetFull, "")}
}
func (p *fakePlacer) FirstByte(ident.Request, time.Duration) {}
func (p *fakePlacer) Finish(_ ident.Request, result booking.Result) {
	p.finishCalls++
	p.lastResult = result
}
func (p *fakePlacer) RecordShed(_ ident.Service, w ident.Workspace, cost float64) {
	p.shedCost[w] += cost
}

// fakeDialect reads only the key from the headers; the token counts are fixed.
type fakeDialect struct{}

func (fakeDialect) ParseRequest(h http.Header) RequestInfo {
	return RequestInfo{Key: h.Get("Key"), PromptTokens: 1000, OutputTokens: 50}
}
func (fakeDialect) SetTargetHeaders(http.Header, ForwardInfo) {}
func (fakeDialect) RemoveTargetNotices(http.Header)           {}

func (fakeDialect) IsEventField(_, _ []byte) bool               { return false }
func (fakeDialect) SignsSuccesses() bool                        { return false }
func (fakeDialect) ParseResponse(int, http.Header) ResponseInfo { return ResponseInfo{} }

// newTestServer returns a server with one route, h.example/a/, to the given service. It serves
// whatever the processor time, and for the workspace "club" only if requireKeys is set.
func newTestServer(t *testing.T, service route.Service, requireKeys bool, placer Placer) *Server {
	t.Helper()
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	tracing, err := telemetry.NewTracing(t.Context(), "d", settings.Trace{})
	is.NoErr(err)
	table, err := route.NewTable(route.Document{
		Version: 1, RequireKeys: requireKeys,
		Routes:     []route.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Services: []route.WeightedService{{Service: service.Name, Weight: 1}}, MaxAttempts: 1, Objective: 10 * time.Millisecond}},
		Services:   []route.Service{service},
		Workspaces: []route.Workspace{{Name: "club", Keys: []string{"key"}}},
	})
	is.NoErr(err)
	routes := &route.Holder{}
	is.True(routes.UpdateIfNewer(table))
	return New(Deps{
		Routes: routes, Dialect: fakeDialect{}, Placer: placer, Metrics: metrics, Tracing: tracing, Log: slog.New(slog.DiscardHandler),
		CallerGone: func(context.Context) bool { return false },
		ShouldShed: func(context.Context) bool { return false }, OutOfRotation: func() bool { return false }, Shedding: func() bool { return false },
	})
}

// post sends a request with a key to a server.
func post(s *Server, path, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
	r.Header.Set("Key", key)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// All callers of a workspace reach one daemon that has no processor time for them. They are
// told to retry at once, which leads them to another daemon. The shed requests count as
// demand of their workspace: otherwise it would appear to have no demand and its share would
// go to other workspaces.
func TestShedRequestsCountAsDemand(t *testing.T) {
	is := is.New(t)
	placer := &fakePlacer{shedCost: map[ident.Workspace]float64{}}
	s := newTestServer(t, route.Service{Name: "pool", ServesModel: true}, true, placer)
	outOfRotation := false
	s.ShouldShed = func(context.Context) bool { return true }
	s.OutOfRotation = func() bool { return outOfRotation }
	send := func(path, key string) http.Header {
		w := post(s, path, key)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "0.020")
		return w.Header()
	}
	is.Equal(send("/a/x", "key").Get("Connection"), "")
	is.Equal(placer.placeCalls, 0)
	is.Equal(placer.shedCost, map[ident.Workspace]float64{"club": 1100})
	// Requests with an unknown key or route are not counted.
	send("/a/x", "other")
	send("/b/x", "key")
	is.Equal(placer.shedCost["club"], 1100.0)
	outOfRotation = true
	is.Equal(send("/a/x", "key").Get("Connection"), "close")
}

// A daemon that cannot keep up places a request only when its response would already be
// late. If sent, it would keep running after its caller has disconnected. The daemon must
// refuse it and release the slot; a daemon that keeps up serves it late.
func TestOverdueRequestIsRefusedWhileShedding(t *testing.T) {
	is := is.New(t)
	placer := &fakePlacer{placeFunc: func() control.Placement {
		time.Sleep(30 * time.Millisecond)
		return control.Placement{Target: "t"}
	}}
	shedding := true
	s := newTestServer(t, route.Service{Name: "app"}, false, placer)
	s.Shedding = func() bool { return shedding }
	send := func() (int, string) {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h.example/a/x", nil))
		return w.Code, w.Body.String()
	}
	code, body := send()
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "daemon_busy"))
	is.Equal(placer.finishCalls, 1)
	shedding = false
	_, body = send()
	is.True(strings.Contains(body, "no_target")) // the attempt was made, but the target is not registered
}

// A daemon short of processor time may have an outdated table. It must not reject a route or
// key as unknown because it has not read the update yet.
func TestUnknownRouteOrKeyIsBusyWhileRoutesMayBeStale(t *testing.T) {
	is := is.New(t)
	stale := false
	s := newTestServer(t, route.Service{Name: "app"}, true, &fakePlacer{})
	s.RoutesMayBeStale = func() bool { return stale }
	is.Equal(post(s, "/b/x", "key").Code, http.StatusNotFound)
	is.Equal(post(s, "/a/x", "other").Code, http.StatusUnauthorized)
	stale = true
	for _, w := range []*httptest.ResponseRecorder{post(s, "/b/x", "key"), post(s, "/a/x", "other")} {
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "0.020")
	}
}

// Guards against a daemon that cannot know the routes in force and runs or rejects requests by old ones.
func TestNoRequestIsHandledByRoutesThatAreBehind(t *testing.T) {
	is := is.New(t)
	placer := &fakePlacer{}
	s := newTestServer(t, route.Service{Name: "app"}, true, placer)
	s.RoutesBehind = func() bool { return true }
	for _, w := range []*httptest.ResponseRecorder{post(s, "/a/x", "key"), post(s, "/b/x", "key"), post(s, "/a/x", "other")} {
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Connection"), "close")
		is.True(strings.Contains(w.Body.String(), `"run":"not_run"`))
	}
	is.Equal(placer.placeCalls, 0)
}

// Guards against requests that a full link refuses, but whose bodies it brings in all the same, and
// which come back at once.
func TestRequestRefusedForAFullLinkIsNotRead(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, route.Service{Name: "app"}, true, &fakePlacer{})
	s.ShouldShed = func(context.Context) bool { return true }
	s.LinkFull = func() bool { return true }
	body := strings.NewReader("a body")
	r := httptest.NewRequest(http.MethodPost, "/a/x", body)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Connection"), "close")
	is.Equal(body.Len(), len("a body"))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds >= linkRetryDelay.Seconds())
}

// Guards against a daemon with a full link that reports targets as failing that it cannot reach itself, so
// that their owner keeps all other daemons away from them.
func TestOwnTroubleIsNotReportedAsFailureOfTargets(t *testing.T) {
	is := is.New(t)
	placer := &fakePlacer{}
	s := newTestServer(t, route.Service{Name: "app"}, true, placer)
	outOfTouch := false
	s.OutOfTouch = func() bool { return outOfTouch }
	lost := attemptResult{sent: true, targetFailed: true, failure: resultcode.Fail(resultcode.ConnectionLost, "")}
	answered := attemptResult{sent: true, targetFailed: true, status: http.StatusInternalServerError, failure: resultcode.Fail(resultcode.TargetError, "")}
	for _, c := range []struct {
		outOfTouch, failed bool
		result             attemptResult
	}{{false, true, lost}, {true, false, lost}, {true, true, answered}} {
		outOfTouch = c.outOfTouch
		s.reportAttempt(&proxyRequest{route: &route.Route{}}, registry.Entry{}, c.result, time.Second)
		is.Equal(placer.lastResult.Failed, c.failed)
	}
}

// All callers of a workspace reach one daemon, which already reads and places as many requests as
// its memory allows. What it refuses counts as demand of the workspace: otherwise its share would go
// to other workspaces, as with requests that are shed.
func TestRequestsBeyondThePendingOnesCountAsDemand(t *testing.T) {
	is := is.New(t)
	placer := &fakePlacer{shedCost: map[ident.Workspace]float64{}}
	s := newTestServer(t, route.Service{Name: "pool", ServesModel: true}, true, placer)
	s.pending.Store(maxPending)
	w := post(s, "/a/x", "key")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(placer.placeCalls, 0)
	is.Equal(placer.shedCost, map[ident.Workspace]float64{"club": 1100})
	is.Equal(s.pending.Load(), int64(maxPending))
}
