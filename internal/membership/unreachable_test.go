package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// Guards against a daemon that is cut off and counts as gone while it may act on its own, and against one
// that has ended and counts as alive.
func TestUnreachableDaemonsAreThoseThatMayBeAlive(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table := membership.New(membership.Config{Self: "self", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	listed := []membership.ListedVM{{ID: "cut", Zone: "a", Address: "x"}, {ID: "left", Zone: "a", Address: "x"}, {ID: "struck", Zone: "b", Address: "x"}, {ID: "unheard", Zone: "b", Address: "x"}}
	unreachable := func(now time.Time) (ids []ident.Daemon) {
		for _, u := range table.Unreachable(now) {
			ids = append(ids, u.ID)
		}
		return ids
	}
	table.SetVMList(start, listed)
	is.Equal(unreachable(start), []ident.Daemon{"cut", "left", "struck", "unheard"}) // none was reached yet
	for _, id := range []ident.Daemon{"cut", "left", "struck"} {
		is.True(table.LinkUp(start, membership.PeerInfo{ID: id, Incarnation: 1, Zone: "a"}))
	}
	is.Equal(unreachable(start), []ident.Daemon{"unheard"})
	table.LeaveAnnounced("left", 1)
	version := table.Version()
	tickUntil := func(end time.Duration) time.Time {
		now := start
		for at := time.Duration(0); at <= end; at += 200 * time.Millisecond {
			now = start.Add(at)
			table.Tick(now)
		}
		return now
	}
	is.Equal(unreachable(tickUntil(4800*time.Millisecond)), []ident.Daemon{"unheard"})
	is.Equal(unreachable(tickUntil(5200*time.Millisecond)), []ident.Daemon{"cut", "struck", "unheard"}) // before they count as dead
	is.True(table.Version() != version)
	now := tickUntil(7 * time.Second)
	is.Equal(table.State("cut"), membership.Dead)
	table.SetVMList(now, []membership.ListedVM{listed[0], listed[1], listed[3]})
	is.Equal(unreachable(now), []ident.Daemon{"cut", "unheard"})
	is.Equal(unreachable(now.Add(2*time.Minute)), []ident.Daemon{"cut"})
	is.Equal(len(unreachable(now.Add(11*time.Minute))), 0)
	is.True(table.LinkUp(now, membership.PeerInfo{ID: "cut", Incarnation: 2, Zone: "a"}))
	is.Equal(unreachable(now), []ident.Daemon{"unheard"})
}
