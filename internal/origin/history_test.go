package origin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
)

var start = time.Unix(1000, 0)

const lifetime = 20 * time.Second

// view returns the view of a fleet whose route leads to one service with these versions.
func view(versions ...ident.Version) origin.View {
	return origin.View{
		Routes:   map[string][]ident.Service{"r": {"pool"}},
		Versions: map[ident.Service][]ident.Version{"pool": versions}, Lifetime: lifetime,
	}
}

// Guards against a stream without a record that is taken to have begun at the only version that
// serves now, although another one served when it began.
func TestHistoryRemembersVersionsThatStreamsMayHaveBegunAt(t *testing.T) {
	is := is.New(t)
	h := origin.NewHistory(start, true)
	h.Observe(start, view("v1"))
	status, o := h.Of(start, "r")
	is.Equal(status, origin.Sole)
	is.Equal(o, origin.Origin{Service: "pool", Version: "v1"})

	h.Observe(start.Add(time.Minute), view("v1", "v2"))
	h.Observe(start.Add(2*time.Minute), view("v2"))
	status, _ = h.Of(start.Add(2*time.Minute+lifetime), "r")
	is.Equal(status, origin.Several) // a stream of v1 may still be taken up
	status, o = h.Of(start.Add(2*time.Minute+lifetime+time.Second), "r")
	is.Equal(status, origin.Sole)
	is.Equal(o.Version, ident.Version("v2"))
}

// Guards against the same for a route that was moved to another service.
func TestHistoryRemembersServicesOfRoute(t *testing.T) {
	is := is.New(t)
	h := origin.NewHistory(start, true)
	both := map[ident.Service][]ident.Version{"old": {"v1"}, "new": {"v1"}}
	h.Observe(start, origin.View{Routes: map[string][]ident.Service{"r": {"old"}}, Versions: both, Lifetime: lifetime})
	h.Observe(start.Add(time.Minute), origin.View{Routes: map[string][]ident.Service{"r": {"new"}}, Versions: both, Lifetime: lifetime})
	status, _ := h.Of(start.Add(time.Minute+lifetime), "r")
	is.Equal(status, origin.Several)
	_, o := h.Of(start.Add(time.Minute+lifetime+time.Second), "r")
	is.Equal(o.Service, ident.Service("new"))
}

// Guards against a guess by a daemon that has just started, that has lost sight of the store for a
// while, or whose targets state no version.
func TestHistoryIsUnsureOfWhatItDidNotSee(t *testing.T) {
	is := is.New(t)
	h := origin.NewHistory(start, false)
	h.Observe(start, view("v2"))
	status, _ := h.Of(start.Add(lifetime-time.Second), "r")
	is.Equal(status, origin.Unsure)
	status, _ = h.Of(start.Add(lifetime), "r")
	is.Equal(status, origin.Sole)

	h.Recall(start, nil) // a row that was not written yet tells nothing
	h.Interrupt(start.Add(time.Minute))
	status, _ = h.Of(start.Add(time.Minute), "r")
	is.Equal(status, origin.Unsure)
	h.Recall(start.Add(time.Minute), map[ident.Service][]ident.Version{"pool": {"v1"}})
	status, _ = h.Of(start.Add(time.Minute), "r")
	is.Equal(status, origin.Several)                  // the fleet had v1 in use meanwhile
	h.Interrupt(start.Add(time.Minute + time.Second)) // the same interruption
	status, _ = h.Of(start.Add(time.Minute+lifetime+time.Second), "r")
	is.Equal(status, origin.Sole)

	h.Observe(start.Add(2*time.Minute), view(""))
	status, _ = h.Of(start.Add(3*time.Minute), "r")
	is.Equal(status, origin.Unsure)
	status, _ = h.Of(start.Add(3*time.Minute), "unknown route")
	is.Equal(status, origin.Unsure)
}

// Guards against streams that are forgotten because the operator shortened a time limit after they
// had begun.
func TestLifetimeNeverDecreases(t *testing.T) {
	is := is.New(t)
	h := origin.NewHistory(start, true)
	h.Observe(start, view("v1"))
	shorter := view("v2")
	shorter.Lifetime = time.Second
	h.Observe(start.Add(time.Minute), shorter)
	status, _ := h.Of(start.Add(time.Minute+lifetime), "r")
	is.Equal(status, origin.Several)
}

// Guards against a caller that takes up the stream of another workspace by its attempt ID.
func TestKeyDependsOnWorkspace(t *testing.T) {
	is := is.New(t)
	is.Equal(origin.NewKey("w1", "a"), origin.NewKey("w1", "a"))
	is.True(origin.NewKey("w1", "a") != origin.NewKey("w2", "a"))
	is.True(origin.NewKey("w", "1a") != origin.NewKey("w1", "a"))
	is.Equal(origin.NewKey("w1", ""), origin.Key(0))
}
