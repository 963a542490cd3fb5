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

// Requests at one daemon stop getting grants of another, though both are well:
// something between them has lost track of their connection, which stays open
// and silent. New connections work. Heartbeats must find it, and the link must
// come up on a new connection with a request for the full state.
func TestSilentLinkIsReplacedByANewConnection(t *testing.T) {
	is := is.New(t)
	a, ra := start(t, fleet.Config{Self: "a"})
	b, rb := start(t, fleet.Config{Self: "b"})
	toA, toB := faultlink.New(t, a.Address()), faultlink.New(t, b.Address())
	b.SetVMs([]platform.VM{vm("a", toA.Address)}) // either end may dial the new link
	a.SetVMs([]platform.VM{vm("b", toB.Address)})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))

	for range 2 { // twice in a row
		before := ra.count("b")
		other := rb.count("a")
		toA.SilenceOpen()
		toB.SilenceOpen()
		ra.eventually(t, "new link at a", func(r *recorder) bool { return r.ups["b"] > before && linked("b")(r) })
		rb.eventually(t, "new link at b", func(r *recorder) bool { return r.ups["a"] > other && linked("a")(r) })
		ra.locked(func() { ra.messages = nil })
		// b may still be about to replace its end: a grant counts once it arrives.
		ra.eventually(t, "grant over the new link", func(r *recorder) bool {
			b.Send("a", scheduler.Message{Grants: []scheduler.Grant{{ID: 1, Service: "s", Workspace: "w", Target: "t"}}})
			return len(r.messages) > 0
		})
	}
	ra.locked(func() { is.True(ra.losts["b"] >= 2) })
}

func (r *recorder) count(id ident.Daemon) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups[id]
}
