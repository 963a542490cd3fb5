package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// Guards against an answer for another route, workspace or region than a request would get, and against one
// that repeats the key.
func TestOperatorsAskWhereARequestWouldGo(t *testing.T) {
	is := is.New(t)
	table, err := route.NewTable(route.Document{
		RequireKeys: true,
		Routes: []route.Route{{
			Name: "chat", Host: "h.example", Prefix: "/chat/", MaxAttempts: 1, Objective: time.Second,
			Services: []route.WeightedService{{Service: "pool", Weight: 1}},
		}},
		Services:   []route.Service{{Name: "pool", ServesModel: true}},
		Workspaces: []route.Workspace{{Name: "club", Keys: []string{"key-club"}}, {Name: "far", Keys: []string{"key-far"}, Regions: region.NewSet([]ident.Region{"south"})}},
	})
	is.NoErr(err)
	routes := &route.Holder{}
	core := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	core.Configure(time.Now(), []booking.Service{{
		Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "club", Weight: 1}, {Name: "far", Weight: 1}},
		Targets: []booking.Target{{Name: "t-1", Zone: "z", Region: "north", Slots: 4, Memory: 1000}},
	}})
	loop := control.NewBookingLoop(control.Config{}, core, origin.New(origin.Config{Self: "a", Zone: "z"}, time.Now()), "a", noActions{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx)
	handler := (&routedOperators{loop: loop, metrics: telemetry.NewMetrics(), routes: routes}).handler()
	ask := func(q string) (int, admin.Where, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, admin.WherePath, strings.NewReader(q)))
		var where admin.Where
		text := w.Body.String()
		_ = json.Unmarshal([]byte(text), &where)
		return w.Code, where, text
	}
	status, _, _ := ask(`{"host":"h.example","path":"/chat/x","workspace":"club"}`)
	is.Equal(status, http.StatusServiceUnavailable) // no routes yet
	is.True(routes.UpdateIfNewer(table))

	status, where, text := ask(`{"host":"h.example:80","path":"/chat/x","key":"key-club","prompt_tokens":50,"output_tokens":9,"prefix":[{"id":"a1","tokens":20}]}`)
	is.Equal(status, http.StatusOK)
	is.True(!strings.Contains(text, "key-club"))
	is.Equal(where.Route, "chat")
	is.Equal(where.Workspace, ident.Workspace("club"))
	is.Equal(len(where.Services), 1)
	is.Equal(len(where.Services[0].Targets), 1)
	target := where.Services[0].Targets[0]
	is.Equal([]string{string(target.Target), string(target.Owner), target.SelectedBy, target.Decision}, []string{"t-1", "a", "home 1", "admits"})

	_, where, _ = ask(`{"host":"h.example","path":"/chat/x","workspace":"club","prompt_tokens":5000}`)
	is.Equal(where.Services[0].Targets[0].Decision, "memory")
	_, where, _ = ask(`{"host":"h.example","path":"/chat/x","workspace":"far"}`)
	is.Equal(where.Services[0].Refusal, "region_not_allowed")
	for q, want := range map[string]int{
		`{"host":"h.example","path":"/other","workspace":"club"}`:                                   http.StatusNotFound,
		`{"host":"h.example","path":"/chat/x","key":"wrong"}`:                                       http.StatusForbidden,
		`{"host":"h.example","path":"/chat/x","workspace":"nobody"}`:                                http.StatusForbidden,
		`{"host":"h.example","path":"/chat/x","workspace":"club","prefix":[{"id":"z","tokens":1}]}`: http.StatusBadRequest,
		`not a query`: http.StatusBadRequest,
	} {
		status, _, _ := ask(q)
		is.Equal(status, want)
	}
}
