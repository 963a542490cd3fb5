package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/test/faultlink"
)

// A middlebox loses track of the connection between two healthy daemons: it
// stays open but carries no data, while new connections work. Requests at one
// daemon then get no grants from the other. Heartbeats must detect this, and
// the link must be established over a new connection with a request for the
// full state.
func TestSilentLinkIsReplacedByANewConnection(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, rb := startNode(t, fleet.Config{Self: "b"})
	toA, toB := faultlink.New(t, a.Address()), faultlink.New(t, b.Address())
	b.SetVMs([]platform.VM{vm("a", toA.Address)}) // either end may dial the new link
	a.SetVMs([]platform.VM{vm("b", toB.Address)})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))

	for range 2 { // repeated, to start from a replaced link as well
		before := ra.linkUpCount("b")
		beforeAtA := rb.linkUpCount("a")
		toA.StallOpenConnections()
		toB.StallOpenConnections()
		ra.eventually(t, "new link at a", func(r *recorder) bool { return r.linkUps["b"] > before && linked("b")(r) })
		rb.eventually(t, "new link at b", func(r *recorder) bool { return r.linkUps["a"] > beforeAtA && linked("a")(r) })
		ra.withLock(func() { ra.messages = nil })
		// b may not have replaced its end yet and then drops the grant, so it
		// is sent until one arrives.
		ra.eventually(t, "grant over the new link", func(r *recorder) bool {
			b.Send("a", scheduler.Message{Grants: []scheduler.Grant{{ID: 1, Service: "s", Workspace: "w", Target: "t"}}})
			return len(r.messages) > 0
		})
	}
	ra.withLock(func() { is.True(ra.linkLosses["b"] >= 2) })
}

func (r *recorder) linkUpCount(id ident.Daemon) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.linkUps[id]
}
