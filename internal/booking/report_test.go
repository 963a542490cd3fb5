package booking_test

import (
	"math/rand/v2"
	"strconv"
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

// Guards against an incident that no line explains: a VM that owns no target decides by no
// shares, and the one that refused most of what a workspace asked for told nothing of it.
func TestADaemonThatOwnsNoTargetTellsWhomItRefuses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", Model: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}, {Name: "cool", Weight: 1}},
	}})
	c.Wanted(now, "pool", "hot", 9000)
	c.Wanted(now, "pool", "cool", 100)
	c.Wanted(now, "pool", "cool", 100)
	now = now.Add(time.Second)
	list := c.Sharing(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Own, []booking.WorkspaceOwn{{Workspace: "hot", Shed: 9000}, {Workspace: "cool", Shed: 200}})
	is.Equal(list[0].Targets, booking.TargetsUse{})
	c.Wanted(now, "pool", "cool", 50)
	is.Equal(c.Sharing(now)[0].Own, []booking.WorkspaceOwn{{Workspace: "cool", Shed: 50}}) // since the call before
}

// Guards against an incident in which no line tells what owners refused a workspace and by
// which limit, nor whether their targets idled meanwhile.
func TestAnOwnerTellsWhatItGrantedAndRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", Model: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 4, Memory: 100000}},
	}})
	c.Peers(now, nil)
	for i := range 4 {
		// The first two fill half of the slots, beyond which one that is late gets nothing.
		r := booking.Request{ID: ident.Request(rune('a' + i)), Service: "pool", Workspace: "hot", Prompt: 1000, Output: 1, Due: now.Add(time.Second)}
		r.Late = i >= 2
		c.Submit(now, r)
		c.Take()
	}
	c.Wanted(now, "pool", "hot", 90000)
	now = now.Add(time.Second)
	list := c.Sharing(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Own, []booking.WorkspaceOwn{{Workspace: "hot", Shed: 90000, Granted: 2004, Refused: map[string]int{"spare": 2004}}})
	is.Equal(list[0].Targets.Owned, 1)
	is.Equal(list[0].Targets.Taken, 0.5)
}

// Guards against refusals that no line sums up: a VM that hears no owner refuses what it reads.
func TestADaemonThatHearsNoOwnerTellsWhomItRefuses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", Model: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}}}
	var peers []booking.Peer
	for i := range 4 {
		name := strconv.Itoa(i)
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target("t" + name), Zone: ident.Zone("z" + name), Slots: 1, Memory: 100000})
		peers = append(peers, booking.Peer{ID: ident.Daemon("d" + name), Incarnation: 1, Zone: ident.Zone("z" + name)})
	}
	c.Peers(now, peers) // each target has its owner in its own zone
	c.Configure(now, []booking.Service{service})
	const requests = 50
	placed := 0
	for i := range requests {
		c.Submit(now, booking.Request{ID: ident.Request(strconv.Itoa(i)), Service: "pool", Workspace: "hot", Prompt: 998, Output: 1, Due: now.Add(5 * time.Second)})
	}
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		c.Tick(now)
		for _, e := range c.Take() {
			if _, ok := e.(booking.Dispatch); ok {
				placed++
			}
		}
	}
	c.Wanted(now, "pool", "hot", 9000)
	list := c.Sharing(now)
	is.Equal(len(list), 1)
	is.True(placed < requests)
	is.Equal(list[0].Own, []booking.WorkspaceOwn{{Workspace: "hot", Shed: 9000, Unheard: 1000 * (requests - placed)}})
}

// Guards against a line that grows with the number of workspaces.
func TestTheReportIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", Model: true, Rate: 1000}
	for i := range 300 {
		service.Workspaces = append(service.Workspaces, booking.Workspace{Name: ident.Workspace(strconv.Itoa(i)), Weight: 1})
	}
	c.Configure(now, []booking.Service{service})
	for _, w := range service.Workspaces {
		c.Wanted(now, "pool", w.Name, 9000)
	}
	list := c.Sharing(now)
	is.Equal(len(list), 1)
	is.Equal(len(list[0].Own), 8)
	is.Equal(len(list[0].Most), 4)
}
