package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable(self ident.Daemon) *membership.Table {
	return membership.New(membership.Config{Self: self}, rand.New(rand.NewPCG(1, 2)))
}

func listed(ids ...ident.Daemon) []membership.ListedVM {
	var list []membership.ListedVM
	for _, id := range ids {
		list = append(list, membership.ListedVM{ID: id, Zone: "hall-a", Address: string(id) + ":1"})
	}
	return list
}

func sighting(id ident.Daemon, incarnation uint64) membership.Sighting {
	return membership.Sighting{ID: id, Incarnation: incarnation, Zone: "hall-a", Address: string(id) + ":1"}
}

// tickTo ticks several times a second up to d after start.
func tickTo(table *membership.Table, from, to time.Duration) {
	for d := from; d <= to; d += 200 * time.Millisecond {
		table.Tick(start.Add(d))
	}
}

func TestSilenceMakesSuspectThenDead(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.SetList(start, listed("a", "b"))
	is.Equal(table.State("b"), membership.Listed)
	is.Equal(len(table.Members()), 0) // nothing was heard yet
	is.True(table.LinkUp(start, sighting("b", 1)))
	is.Equal(table.State("b"), membership.Live)
	tickTo(table, 0, 2800*time.Millisecond)
	is.Equal(table.State("b"), membership.Live)
	tickTo(table, 3*time.Second, 5800*time.Millisecond)
	is.Equal(table.State("b"), membership.Suspect)
	is.Equal(len(table.Members()), 1) // it keeps its targets
	is.Equal(table.Silent(start.Add(3*time.Second)), []ident.Daemon{"b"})
	tickTo(table, 6*time.Second, 6*time.Second)
	is.Equal(table.State("b"), membership.Dead)
	is.Equal(len(table.Members()), 0)
}

// The platform's list drops a daemon that is well: it was replaced under the
// same name, or the list is wrong. Its callers would lose their grants if the
// list were believed more than the heartbeats.
func TestDaemonThatIsHeardOutlivesTheList(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.SetList(start, listed("b"))
	table.LinkUp(start, sighting("b", 1))
	table.SetList(start.Add(time.Second), nil)
	is.Equal(table.State("b"), membership.Live)
	tickTo(table, 0, 7*time.Second)
	is.Equal(table.State("b"), membership.Dead) // silence ends it
}

func TestLeavingIsJoinedFromListAndDaemon(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	leaving := listed("b")
	leaving[0].Leaving = true
	table.LinkUp(start, sighting("b", 1))
	table.SetList(start, leaving)
	is.Equal(table.State("b"), membership.Leaving)
	table.SetList(start, listed("b"))
	is.Equal(table.State("b"), membership.Live) // the list took its word back
	table.Announced("b", 1)
	table.SetList(start, listed("b"))
	is.Equal(table.State("b"), membership.Leaving) // the daemon's own word stands
	is.True(table.Members()[0].Leaving)
	is.True(table.LinkUp(start, sighting("b", 2)))
	is.Equal(table.State("b"), membership.Live) // a new incarnation is not bound by it
	table.Announced("b", 1)
	is.Equal(table.State("b"), membership.Live)
}

// A daemon is cut off, and its VM is replaced under the same name. After the
// cut heals, the old process is still there and dials. If it were believed, the
// grants of its successor would be taken for stale ones.
func TestOldIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	is.True(table.LinkUp(start, sighting("b", 5)))
	is.True(!table.LinkUp(start, sighting("b", 4)))
	is.True(!table.Heard(start, "b", 4))
	table.LinkLost(start, "b")
	tickTo(table, 0, 10*time.Second)
	is.Equal(table.State("b"), membership.Dead)
	is.True(!table.LinkUp(start.Add(time.Hour), sighting("b", 4))) // also long after
	is.True(table.LinkUp(start.Add(time.Hour), sighting("b", 5)))
}

// A daemon's process is stopped for a minute. When it goes on, every peer seems
// to have been silent for a minute, though their frames wait in its buffers.
// Without a guard it would take over the targets of the whole zone.
func TestOwnPauseIsNoEvidence(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.LinkUp(start, sighting("b", 1))
	tickTo(table, 0, time.Second)
	table.Tick(start.Add(time.Minute))
	is.Equal(table.State("b"), membership.Live)
	tickTo(table, time.Minute, time.Minute+7*time.Second)
	is.Equal(table.State("b"), membership.Dead) // silence while awake counts
}

// A zone with half of 360 daemons is cut off for an hour and comes back. Each
// daemon then looks for 180 others. The dials of one daemon in any second must
// stay few, and none may be forgotten.
func TestRejoinAfterPartitionIsSpread(t *testing.T) {
	is := is.New(t)
	const peers = 180
	table := newTable("a")
	var ids []ident.Daemon
	for i := range peers {
		ids = append(ids, ident.Daemon(fmt.Sprintf("b%03d", i)))
	}
	table.SetList(start, listed(ids...))
	step := 100 * time.Millisecond
	worst, window := 0, []int{}
	for d := time.Duration(0); d < time.Hour; d += step {
		dials := table.Dials(start.Add(d), 1000)
		for _, dial := range dials {
			table.DialFailed(start.Add(d), dial.ID)
		}
		if d < time.Minute {
			continue // the backoff grows to its cap
		}
		window = append(window, len(dials))
		if len(window) >= 10 {
			sum := 0
			for _, n := range window[len(window)-10:] {
				sum += n
			}
			worst = max(worst, sum)
		}
	}
	t.Logf("dials of one daemon in its worst second: %d of %d peers", worst, peers)
	is.True(worst < peers/3)
	found := 0
	for d := time.Hour; d < time.Hour+16*time.Second; d += step {
		for _, dial := range table.Dials(start.Add(d), 1000) {
			is.True(table.LinkUp(start.Add(d), sighting(dial.ID, 1)))
			found++
		}
	}
	is.Equal(found, peers) // all are back within one and a half times the cap
}

func TestOwnerMovesLittleAndStaysInTheZone(t *testing.T) {
	is := is.New(t)
	var members []membership.Member
	for i := range 12 {
		zone := ident.Zone([]string{"hall-a", "hall-b"}[i%2])
		members = append(members, membership.Member{ID: ident.Daemon(fmt.Sprint("d", i)), Zone: zone})
	}
	owners := func(members []membership.Member) map[ident.Target]ident.Daemon {
		all := map[ident.Target]ident.Daemon{}
		for i := range 600 {
			name := ident.Target(fmt.Sprint("e", i))
			all[name] = membership.NewOwners(members).Of("lm-pool", name, "hall-a")
		}
		return all
	}
	before := owners(members)
	count := map[ident.Daemon]int{}
	for _, d := range before {
		count[d]++
	}
	is.Equal(len(count), 6) // just the daemons of the zone
	for _, n := range count {
		is.True(n > 60 && n < 150) // about 100 each
	}
	members[0].Leaving = true
	for name, d := range owners(members) {
		is.True(d != "d0")
		is.True(before[name] == "d0" || before[name] == d) // nobody else's moved
	}
	for i := range members {
		members[i].Leaving = members[i].Zone == "hall-a"
	}
	is.Equal(membership.NewOwners(members).Of("lm-pool", "e1", "hall-a")[0], byte('d'))
	for _, d := range owners(members) {
		n := 0
		_, err := fmt.Sscanf(string(d), "d%d", &n)
		is.NoErr(err)
		is.Equal(n%2, 1) // the other zone stands in
	}
	is.Equal(membership.NewOwners(nil).Of("lm-pool", "e1", "hall-a"), ident.Daemon(""))
}
