package route_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/route"
)

func singleService(service ident.Service) []route.WeightedService {
	return []route.WeightedService{{Service: service, Weight: 1}}
}

func mustTable(t *testing.T, d route.Document) *route.Table {
	t.Helper()
	built, err := route.NewTable(d)
	is.New(t).NoErr(err)
	return built
}

func TestFindPrefersLongestPrefix(t *testing.T) {
	tab := mustTable(t, route.Document{Routes: []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Services: singleService("s"), MaxAttempts: 1},
		{Name: "files", Host: "a.example", Prefix: "/files/", Services: singleService("s"), MaxAttempts: 1},
		{Name: "deep", Host: "a.example", Prefix: "/files/deep/", Services: singleService("s"), MaxAttempts: 1},
		{Name: "other", Host: "b.example", Prefix: "/files/", Services: singleService("s"), MaxAttempts: 1},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/files/x", "files"},
		{"a.example", "/files/deep/x", "deep"},
		{"a.example", "/files/deep", "files"},
		{"a.example", "/filesystem", "all"},
		{"A.Example:8080", "/files/x", "files"},
		{"b.example", "/files/x", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/files/x", ""},
		{"a.example", "/files%2Fx", "all"}, // the path is not unescaped
	} {
		got := ""
		if r, ok := tab.Find(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestIdentify(t *testing.T) {
	is := is.New(t)
	tab := mustTable(t, route.Document{RequireKeys: true, Workspaces: []route.Workspace{{Name: "club", Keys: []string{"k1", "k2"}, Priority: 0, HasPriority: true}}})
	keyed, public := &route.Route{Priority: 3}, &route.Route{Public: true}
	ws, failure := tab.Identify(keyed, "k2")
	is.True(failure == nil)
	is.Equal(ws, ident.Workspace("club"))
	is.Equal(tab.Priority(keyed, "k2"), 0) // that of the workspace overrides that of the route
	is.Equal(tab.Priority(keyed, ""), 3)
	for _, key := range []string{"", "k3"} {
		_, failure = tab.Identify(keyed, key)
		is.Equal(failure.Code.HTTPStatus, http.StatusUnauthorized)
		ws, failure = tab.Identify(public, key)
		is.True(failure == nil)
		is.Equal(ws, route.Anonymous)
	}
}

// Guards against requests without a key that count as those of a workspace, if a document has one of the name
// that stands for them.
func TestNewTableRejectsWorkspaceWithoutName(t *testing.T) {
	is := is.New(t)
	_, err := route.NewTable(route.Document{Workspaces: []route.Workspace{{Name: "club"}, {Name: route.Anonymous, Keys: []string{"k"}}}})
	is.True(err != nil)
	is.Equal(err.Error(), "workspace 2 has no name")
}

// An empty key in a document must not admit requests without a key.
func TestEmptyKeyInDocumentAdmitsNobody(t *testing.T) {
	is := is.New(t)
	tab := mustTable(t, route.Document{RequireKeys: true, Workspaces: []route.Workspace{{Name: "club", Keys: []string{""}}}})
	_, failure := tab.Identify(&route.Route{}, "")
	is.Equal(failure.Code.HTTPStatus, http.StatusUnauthorized)
}

func TestChooseByWeightAmongUsableServices(t *testing.T) {
	is := is.New(t)
	r := &route.Route{Services: []route.WeightedService{{"a", 90}, {"b", 10}, {"none", 0}}}
	all := func(ident.Service) bool { return true }
	is.Equal(r.Choose(0, all), ident.Service("a"))
	is.Equal(r.Choose(0.89, all), ident.Service("a"))
	is.Equal(r.Choose(0.91, all), ident.Service("b"))
	is.Equal(r.Choose(0.999999, all), ident.Service("b"))
	onlyB := func(s ident.Service) bool { return s == "b" }
	is.Equal(r.Choose(0, onlyB), ident.Service("b"))
	is.Equal(r.Choose(0.2, func(ident.Service) bool { return false }), ident.Service("a")) // refused in the name of this service
}

func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	for _, r := range []route.Route{
		{Name: "x", Prefix: "files/", Services: singleService("s"), MaxAttempts: 1},
		{Name: "x", Prefix: "/files", Services: singleService("s"), MaxAttempts: 1},
		{Name: "x", Prefix: "/files/", Services: singleService("s")},
		{Name: "x", Prefix: "/files/", MaxAttempts: 1},
		{Name: "x", Prefix: "/files/", Services: []route.WeightedService{{"s", 0}}, MaxAttempts: 1},
		{Name: "x", Prefix: "/files/", Services: []route.WeightedService{{"s", 2}, {"t", -1}}, MaxAttempts: 1},
	} {
		if _, err := route.NewTable(route.Document{Routes: []route.Route{r}}); err == nil {
			t.Errorf("no error for %+v", r)
		}
	}
}

// If a slow reader delivered version 3 while version 5 is active, a key that was removed in
// version 4 would work again. The active version must never decrease, in whatever order
// versions arrive.
func TestHolderVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h route.Holder
		highest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(rt, "versions") {
			tab, err := route.NewTable(route.Document{Version: version})
			if err != nil {
				rt.Fatal(err)
			}
			if updated := h.UpdateIfNewer(tab); updated != (version > highest) {
				rt.Fatalf("version %d after %d: took %v", version, highest, updated)
			}
			highest = max(highest, version)
			if h.Current().Version != highest {
				rt.Fatalf("%d is in force, want %d", h.Current().Version, highest)
			}
		}
	})
}
