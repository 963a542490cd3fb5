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
	"github.com/savorystall/savorystall/internal/telemetry"
)

// countingPlacer refuses every place and counts what is asked of it.
type countingPlacer struct {
	places int
	wanted map[ident.Workspace]float64
}

func (p *countingPlacer) Place(context.Context, booking.Request) control.Placement {
	p.places++
	return control.Placement{Failure: resultcode.Fail(resultcode.FleetFull, "")}
}
func (p *countingPlacer) First(ident.Request, time.Duration)   {}
func (p *countingPlacer) Finish(ident.Request, booking.Result) {}
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
