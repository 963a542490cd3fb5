package route_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/route"
)

func one(service ident.Service) []route.Split { return []route.Split{{Service: service, Weight: 1}} }

func table(t *testing.T, d route.Document) *route.Table {
	t.Helper()
	built, err := route.NewTable(d)
	is.New(t).NoErr(err)
	return built
}

func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	tab := table(t, route.Document{Routes: []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Services: one("s"), Attempts: 1},
		{Name: "files", Host: "a.example", Prefix: "/files/", Services: one("s"), Attempts: 1},
		{Name: "deep", Host: "a.example", Prefix: "/files/deep/", Services: one("s"), Attempts: 1},
		{Name: "other", Host: "b.example", Prefix: "/files/", Services: one("s"), Attempts: 1},
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
		{"a.example", "/files%2Fx", "all"}, // the path is judged as it was sent
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
	tab := table(t, route.Document{Keyed: true, Workspaces: []route.Workspace{{Name: "club", Keys: []string{"k1", "k2"}, Rank: 0, Ranked: true}}})
	keyed, public := &route.Route{Rank: 3}, &route.Route{Public: true}
	ws, failure := tab.Identify(keyed, "k2")
	is.True(failure == nil)
	is.Equal(ws, ident.Workspace("club"))
	is.Equal(tab.Rank(keyed, "k2"), 0) // the workspace's goes first
	is.Equal(tab.Rank(keyed, ""), 3)
	for _, key := range []string{"", "k3"} {
		_, failure = tab.Identify(keyed, key)
		is.Equal(failure.Code.HTTP, http.StatusUnauthorized)
		ws, failure = tab.Identify(public, key)
		is.True(failure == nil)
		is.Equal(ws, route.Anonymous)
	}
}

// An empty key in a document must not let in everybody who sends none.
func TestAnEmptyKeyIsNobodys(t *testing.T) {
	is := is.New(t)
	tab := table(t, route.Document{Keyed: true, Workspaces: []route.Workspace{{Name: "club", Keys: []string{""}}}})
	_, failure := tab.Identify(&route.Route{}, "")
	is.Equal(failure.Code.HTTP, http.StatusUnauthorized)
}

func TestChooseByWeightAmongUsableServices(t *testing.T) {
	is := is.New(t)
	r := &route.Route{Services: []route.Split{{"a", 90}, {"b", 10}, {"none", 0}}}
	all := func(ident.Service) bool { return true }
	is.Equal(r.Choose(0, all), ident.Service("a"))
	is.Equal(r.Choose(0.89, all), ident.Service("a"))
	is.Equal(r.Choose(0.91, all), ident.Service("b"))
	is.Equal(r.Choose(0.999999, all), ident.Service("b"))
	onlyB := func(s ident.Service) bool { return s == "b" }
	is.Equal(r.Choose(0, onlyB), ident.Service("b"))
	is.Equal(r.Choose(0.2, func(ident.Service) bool { return false }), ident.Service("a")) // to be refused under its name
}

func TestNewTableNamesWhatIsWrong(t *testing.T) {
	for _, r := range []route.Route{
		{Name: "x", Prefix: "files/", Services: one("s"), Attempts: 1},
		{Name: "x", Prefix: "/files", Services: one("s"), Attempts: 1},
		{Name: "x", Prefix: "/files/", Services: one("s")},
		{Name: "x", Prefix: "/files/", Attempts: 1},
		{Name: "x", Prefix: "/files/", Services: []route.Split{{"s", 0}}, Attempts: 1},
		{Name: "x", Prefix: "/files/", Services: []route.Split{{"s", 2}, {"t", -1}}, Attempts: 1},
	} {
		if _, err := route.NewTable(route.Document{Routes: []route.Route{r}}); err == nil {
			t.Errorf("no error for %+v", r)
		}
	}
}

// A slow reader brings version 3 after version 5 is in force: a key that was taken
// away in 4 would work again. Whatever the order, the version in force only grows.
func TestHolderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h route.Holder
		highest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(rt, "versions") {
			tab, err := route.NewTable(route.Document{Version: version})
			if err != nil {
				rt.Fatal(err)
			}
			if took := h.Offer(tab); took != (version > highest) {
				rt.Fatalf("version %d after %d: took %v", version, highest, took)
			}
			highest = max(highest, version)
			if h.Current().Version != highest {
				rt.Fatalf("%d is in force, want %d", h.Current().Version, highest)
			}
		}
	})
}
