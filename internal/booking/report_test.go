package booking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// On call, a workspace had a tenth of what it asked, and no line told what its daemons took
// it to ask for. While some workspace lacks, the shares tell; while there is enough for all
// there is nothing to tell.
func TestSharesAreToldWhileSomeoneLacks(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", Model: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}, {Name: "cool", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000}},
	}})
	c.Peers(now, nil)
	ask := func(id, workspace string, prompt int) {
		c.Submit(now, booking.Request{ID: ident.Request(id), Service: "pool", Workspace: ident.Workspace(workspace), Prompt: prompt, Output: 1, Due: now.Add(time.Second)})
		c.Take()
	}
	ask("1", "cool", 10)
	is.Equal(len(c.Sharing(now)), 0)
	c.Wanted(now, "pool", "hot", 9000)
	now = now.Add(100 * time.Millisecond)
	ask("2", "cool", 10)
	list := c.Sharing(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Stated, 1000.0)
	is.Equal(list[0].Behind, 0.0) // it has nothing
	is.True(list[0].Level > 0)
	hot := list[0].Most[0]
	is.Equal(string(hot.Workspace), "hot")
	is.True(hot.Asked > 4000 && hot.Asked == hot.Shed && hot.Granted == 0)
	is.Equal(len(c.Sharing(now.Add(10*time.Second))), 0) // nobody has asked since: it is over
}
