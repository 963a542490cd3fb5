package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// countingPlacer refuses every place and counts what is asked of it.
type countingPlacer struct {
	places, finishes int
	// place, where set, takes the refusal's place.
	place  func() control.Placement
	wanted map[ident.Workspace]float64
}

func (p *countingPlacer) Place(context.Context, booking.Request) control.Placement {
	p.places++
	if p.place != nil {
		return p.place()
	}
	return control.Placement{Failure: resultcode.Fail(resultcode.FleetFull, "")}
}
func (p *countingPlacer) First(ident.Request, time.Duration)   {}
func (p *countingPlacer) Finish(ident.Request, booking.Result) { p.finishes++ }
func (p *countingPlacer) Wanted(_ ident.Service, w ident.Workspace, cost float64) {
	p.wanted[w] += cost
}

// plainDialect knows the key and the size of a prompt.
type plainDialect struct{}

func (plainDialect) Call(h http.Header) Call {
	return Call{Key: h.Get("Key"), PromptTokens: 1000, OutputTokens: 50}
}
func (plainDialect) ForTarget(http.Header, Forward) {}
func (plainDialect) Answer(int, http.Header) Answer { return Answer{} }

// All callers of one workspace reach one daemon, which has no processor time for them.
// They are told at once to come back at once, which leads them to another daemon. What
// they ask for counts in their workspace's demand: else it would seem to want nothing,
// and others would get what it lacks.
func TestARefusalForWantOfProcessorTime(t *testing.T) {
	is := is.New(t)
	placer := &countingPlacer{wanted: map[ident.Workspace]float64{}}
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	routes := &route.Holder{}
	table, err := route.NewTable(route.Document{
		Version: 1, Keyed: true,
		Routes:     []route.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Services: []route.Split{{Service: "pool", Weight: 1}}, Attempts: 1}},
		Services:   []route.Service{{Name: "pool", Model: true}},
		Workspaces: []route.Workspace{{Name: "club", Keys: []string{"key"}}},
	})
	is.NoErr(err)
	is.True(routes.Offer(table))
	sheds, left := true, false
	s := New(Deps{
		Routes: routes, Dialect: plainDialect{}, Placer: placer, Metrics: metrics, Log: slog.New(slog.DiscardHandler),
		Sheds: func(context.Context) bool { return sheds }, Left: func() bool { return left },
	})
	send := func(path, key string) http.Header {
		r := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
		r.Header.Set("Key", key)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "0.020")
		return w.Header()
	}
	is.Equal(send("/a/x", "key").Get("Connection"), "")
	is.Equal(placer.places, 0)
	is.Equal(placer.wanted, map[ident.Workspace]float64{"club": 1100})
	// Of what cannot be told whose it is, or what it is for, nothing counts.
	send("/a/x", "other")
	send("/b/x", "key")
	is.Equal(placer.wanted["club"], 1100.0)
	left = true
	is.Equal(send("/a/x", "key").Get("Connection"), "close")
}

// A request is read by a daemon that does not keep up, and gets its place when its answer
// can't be in time any more. Sent on, it would run until after its caller has left. It is
// sent elsewhere, and its place is given back; a daemon that keeps up serves it late.
func TestARequestThatWaitedTooLongIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	tracing, err := telemetry.NewTracing(t.Context(), "d", settings.Trace{})
	is.NoErr(err)
	table, err := route.NewTable(route.Document{
		Version:  1,
		Routes:   []route.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Services: []route.Split{{Service: "app", Weight: 1}}, Attempts: 1, Objective: 10 * time.Millisecond}},
		Services: []route.Service{{Name: "app"}},
	})
	is.NoErr(err)
	routes := &route.Holder{}
	is.True(routes.Offer(table))
	placer := &countingPlacer{place: func() control.Placement {
		time.Sleep(30 * time.Millisecond)
		return control.Placement{Target: "t"}
	}}
	busyNow := true
	s := New(Deps{
		Routes: routes, Dialect: plainDialect{}, Placer: placer, Metrics: metrics, Tracing: tracing, Log: slog.New(slog.DiscardHandler),
		Gone:  func(context.Context) bool { return false },
		Sheds: func(context.Context) bool { return false }, Left: func() bool { return false }, Busy: func() bool { return busyNow },
	})
	send := func() (int, string) {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h.example/a/x", nil))
		return w.Code, w.Body.String()
	}
	code, body := send()
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "daemon_busy"))
	is.Equal(placer.finishes, 1)
	busyNow = false
	_, body = send()
	is.True(strings.Contains(body, "no_target")) // it went on to a target, which is not there
}

// A daemon without processor time answers "no such route" by a table that is old.
func TestADaemonThatMayHaveMissedRoutesDoesNotDenyThem(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	tracing, err := telemetry.NewTracing(t.Context(), "d", settings.Trace{})
	is.NoErr(err)
	table, err := route.NewTable(route.Document{
		Version: 1, Keyed: true,
		Routes:     []route.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Services: []route.Split{{Service: "app", Weight: 1}}, Attempts: 1}},
		Services:   []route.Service{{Name: "app"}},
		Workspaces: []route.Workspace{{Name: "club", Keys: []string{"key"}}},
	})
	is.NoErr(err)
	routes := &route.Holder{}
	is.True(routes.Offer(table))
	stale := false
	s := New(Deps{
		Routes: routes, Dialect: plainDialect{}, Placer: &countingPlacer{}, Metrics: metrics, Tracing: tracing, Log: slog.New(slog.DiscardHandler),
		Sheds: func(context.Context) bool { return false }, Stale: func() bool { return stale },
	})
	send := func(path, key string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
		r.Header.Set("Key", key)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w
	}
	is.Equal(send("/b/x", "key").Code, http.StatusNotFound)
	is.Equal(send("/a/x", "other").Code, http.StatusUnauthorized)
	stale = true
	for _, w := range []*httptest.ResponseRecorder{send("/b/x", "key"), send("/a/x", "other")} {
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "0.020")
	}
}
