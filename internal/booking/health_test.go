package booking

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests for a target that fails all of them: while it is blocked few requests
// end there, so that the sums of its failures fade, and its owner took it for a healthy one.
func TestBlockedTargetStaysBlockedWhileItsFailuresFade(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []Service{{
		Name: "pool", ServesModel: true, Rate: 1000, Workspaces: []Workspace{{Name: "w", Weight: 1}},
		Targets: []Target{{Name: "fails", Zone: "z", Slots: 32, Memory: 400000}, {Name: "works", Zone: "z", Slots: 32, Memory: 400000}},
	}})
	e := c.services["pool"].engines["fails"]
	for range maxConsecutiveFailures {
		e.health.record(now, true)
	}
	now = now.Add(minBackoff / 2)
	is.True(!c.healthy(now, e)) // blocked
	now = now.Add(10 * time.Second)
	is.True(c.healthy(now, e)) // a probe
	is.True(!c.healthy(now, e))
	e.health.record(now, false)
	is.True(c.healthy(now, e))
	is.True(c.healthy(now, e))
}
