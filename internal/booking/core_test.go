package booking_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// two returns two Cores that know each other and one target, the ingress and the owner
// of the target.
func two(now time.Time) (ingress, owner *booking.Core, owned ident.Daemon) {
	cores := map[ident.Daemon]*booking.Core{}
	service := booking.Service{
		Name: "pool", Model: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000}},
	}
	for _, id := range []ident.Daemon{"a", "b"} {
		other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[id]
		c := booking.New(booking.Config{Self: id, Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
		c.Peers(now, []booking.Peer{{ID: other, Incarnation: 1, Zone: "z"}})
		c.Configure(now, []booking.Service{service})
		cores[id] = c
	}
	cores["a"].Submit(now, booking.Request{ID: "probe", Service: "pool", Workspace: "w", Due: now.Add(time.Second)})
	owned = "a"
	for _, e := range cores["a"].Take() {
		if s, ok := e.(booking.Send); ok && len(s.Message.Asks) > 0 {
			owned = "b"
		}
	}
	cores["a"].Finish(now, "probe", booking.Result{})
	cores["a"].Take()
	if owned == "a" {
		return cores["b"], cores["a"], "a"
	}
	return cores["a"], cores["b"], "b"
}

// pass hands what one Core sends to the other, and returns the targets of the requests
// that were placed.
func pass(now time.Time, from, to *booking.Core, name ident.Daemon) (placed []ident.Target) {
	for _, e := range from.Take() {
		switch e := e.(type) {
		case booking.Send:
			to.Receive(now, name, e.Message)
		case booking.Dispatch:
			placed = append(placed, e.Target)
		}
	}
	return placed
}

// taken is the part of the target's slots that its owner takes to be in use.
func taken(t *testing.T, now time.Time, owner *booking.Core) float64 {
	t.Helper()
	owner.Tick(now)
	for _, e := range owner.Take() {
		if s, ok := e.(booking.Send); ok && len(s.Message.Loads) > 0 {
			return s.Message.Loads[0].Taken
		}
	}
	t.Fatal("the owner told no load")
	return 0
}

// A link comes up and makes the other end the owner of a target at the same moment, so
// that it is told twice of what runs there. The second word stood for a second request,
// which nobody ever ended: for 12 s after all daemons had started anew, each engine
// seemed to have ten prompts more to read, and a third less was in aim.
func TestAnOwnerThatIsToldTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := two(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 5000, Output: 10, Due: now.Add(time.Second)})
	pass(now, ingress, owner, other)
	pass(now, owner, ingress, name)
	is.Equal(pass(now, ingress, owner, other), []ident.Target{"t"})
	is.Equal(taken(t, now, owner), 1.0/8)

	ingress.LinkUp(now, name)
	ingress.LinkUp(now, name)
	pass(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(taken(t, now, owner), 1.0/8)
	ingress.Finish(now, "r", booking.Result{Elapsed: time.Second})
	pass(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(taken(t, now, owner), 0.0)
}

// The owner's answer does not come: the ingress goes on without it, and the place that
// the owner may have kept is given back when its word does come.
func TestALateAnswerGivesThePlaceBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := two(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 5000, Output: 10, Due: now.Add(time.Second)})
	pass(now, ingress, owner, other)
	now = now.Add(50 * time.Millisecond)
	ingress.Tick(now)
	is.Equal(pass(now, ingress, owner, other), []ident.Target{"t"}) // placed by what it knows itself
	pass(now, owner, ingress, name)
	pass(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(taken(t, now, owner), 0.0)
}

// A message of a former incarnation of a peer must not change anything.
func TestAFormerIncarnationIsNotHeard(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, owner, name := two(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	owner.Receive(now, other, booking.Message{Incarnation: 7, Asks: []booking.Ask{{ID: 1, Service: "pool", Target: "t", Workspace: "w", Prompt: 100, Taken: true}}})
	is.Equal(taken(t, now, owner), 0.0)
}

// A daemon has just started: its routes are in force, and a request comes a moment before
// the Core hears of their services. Told 404, the caller would never come back.
func TestAServiceThatIsNotKnownYetIsNoNotFound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Due: now.Add(time.Second)})
	refused, ok := c.Take()[0].(booking.Refuse)
	is.True(ok)
	is.Equal(refused.Failure.Code.HTTP, http.StatusServiceUnavailable)
	is.True(refused.Failure.Wait() > 0) // with a time to come back
}
