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

func vmList(ids ...ident.Daemon) []membership.ListedVM {
	var list []membership.ListedVM
	for _, id := range ids {
		list = append(list, membership.ListedVM{ID: id, Zone: "hall-a", Address: string(id) + ":1"})
	}
	return list
}

func peerInfo(id ident.Daemon, incarnation uint64) membership.PeerInfo {
	return membership.PeerInfo{ID: id, Incarnation: incarnation, Zone: "hall-a", Address: string(id) + ":1"}
}

// tickRange ticks five times per second between two offsets from start.
func tickRange(table *membership.Table, from, to time.Duration) {
	for d := from; d <= to; d += 200 * time.Millisecond {
		table.Tick(start.Add(d))
	}
}

func TestSilenceMakesSuspectThenDead(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.SetVMList(start, vmList("a", "b"))
	is.Equal(table.State("b"), membership.Listed)
	is.Equal(len(table.Members()), 0) // no frame has been received yet
	is.True(table.LinkUp(start, peerInfo("b", 1)))
	is.Equal(table.State("b"), membership.Live)
	tickRange(table, 0, 2800*time.Millisecond)
	is.Equal(table.State("b"), membership.Live)
	tickRange(table, 3*time.Second, 5800*time.Millisecond)
	is.Equal(table.State("b"), membership.Suspect)
	is.Equal(len(table.Members()), 1) // it keeps its targets
	is.Equal(table.SilentLinks(start.Add(3*time.Second)), []ident.Daemon{"b"})
	tickRange(table, 6*time.Second, 6*time.Second)
	is.Equal(table.State("b"), membership.Dead)
	is.Equal(len(table.Members()), 0)
}

// The platform's VM list drops a healthy daemon, because it was replaced under the
// same name or the list is wrong. Its callers would lose their grants if the list
// took precedence over heartbeats.
func TestHeartbeatingDaemonOutlivesVMList(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.SetVMList(start, vmList("b"))
	table.LinkUp(start, peerInfo("b", 1))
	table.SetVMList(start.Add(time.Second), nil)
	is.Equal(table.State("b"), membership.Live)
	tickRange(table, 0, 7*time.Second)
	is.Equal(table.State("b"), membership.Dead) // the missing heartbeats make it dead
}

func TestLeavingCombinesVMListAndAnnouncement(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	leaving := vmList("b")
	leaving[0].Leaving = true
	table.LinkUp(start, peerInfo("b", 1))
	table.SetVMList(start, leaving)
	is.Equal(table.State("b"), membership.Leaving)
	table.SetVMList(start, vmList("b"))
	is.Equal(table.State("b"), membership.Live) // the list no longer marks it as leaving
	table.LeaveAnnounced("b", 1)
	table.SetVMList(start, vmList("b"))
	is.Equal(table.State("b"), membership.Leaving) // the daemon's own announcement still applies
	is.True(table.Members()[0].Leaving)
	is.True(table.LinkUp(start, peerInfo("b", 2)))
	is.Equal(table.State("b"), membership.Live) // the announcement does not apply to a new incarnation
	table.LeaveAnnounced("b", 1)
	is.Equal(table.State("b"), membership.Live)
}

// A daemon is partitioned, and its VM is replaced under the same name. After the
// partition the old process is still running and dials. If it were accepted, the
// grants of its successor would be considered stale.
func TestOldIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	is.True(table.LinkUp(start, peerInfo("b", 5)))
	is.True(!table.LinkUp(start, peerInfo("b", 4)))
	is.True(!table.FrameReceived(start, "b", 4))
	table.LinkLost(start, "b")
	tickRange(table, 0, 10*time.Second)
	is.Equal(table.State("b"), membership.Dead)
	is.True(!table.LinkUp(start.Add(time.Hour), peerInfo("b", 4))) // even much later
	is.True(table.LinkUp(start.Add(time.Hour), peerInfo("b", 5)))
}

// A daemon's process is paused for a minute. When it resumes, every peer seems to
// have been silent for a minute although their frames wait in its receive buffers.
// Without compensation it would take over the targets of the whole zone.
func TestLocalPauseDoesNotFailPeers(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.LinkUp(start, peerInfo("b", 1))
	tickRange(table, 0, time.Second)
	table.Tick(start.Add(time.Minute))
	is.Equal(table.State("b"), membership.Live)
	tickRange(table, time.Minute, time.Minute+7*time.Second)
	is.Equal(table.State("b"), membership.Dead) // silence while running counts
}

// A zone with half of 360 daemons is partitioned for an hour and reconnects. Each
// daemon then tries to reach 180 others. A daemon must make only a few dials in any
// second and must not omit any peer.
func TestRejoinAfterPartitionIsSpread(t *testing.T) {
	is := is.New(t)
	const peers = 180
	table := newTable("a")
	var ids []ident.Daemon
	for i := range peers {
		ids = append(ids, ident.Daemon(fmt.Sprintf("b%03d", i)))
	}
	table.SetVMList(start, vmList(ids...))
	step := 100 * time.Millisecond
	maxDials, window := 0, []int{}
	for d := time.Duration(0); d < time.Hour; d += step {
		dials := table.StartDials(start.Add(d), 1000)
		for _, dial := range dials {
			table.DialFailed(start.Add(d), dial.ID)
		}
		if d < time.Minute {
			continue // the backoff has not reached its cap
		}
		window = append(window, len(dials))
		if len(window) >= 10 {
			sum := 0
			for _, n := range window[len(window)-10:] {
				sum += n
			}
			maxDials = max(maxDials, sum)
		}
	}
	t.Logf("most dials of one daemon in a second: %d of %d peers", maxDials, peers)
	is.True(maxDials < peers/3)
	found := 0
	for d := time.Hour; d < time.Hour+16*time.Second; d += step {
		for _, dial := range table.StartDials(start.Add(d), 1000) {
			is.True(table.LinkUp(start.Add(d), peerInfo(dial.ID, 1)))
			found++
		}
	}
	is.Equal(found, peers) // all reconnect within one and a half times the cap
}

func TestOwnershipMovesMinimallyAndStaysInZone(t *testing.T) {
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
			all[name] = membership.NewOwners(members).Lookup("lm-pool", name, "hall-a")
		}
		return all
	}
	before := owners(members)
	count := map[ident.Daemon]int{}
	for _, d := range before {
		count[d]++
	}
	is.Equal(len(count), 6) // only daemons of the zone
	for _, n := range count {
		is.True(n > 60 && n < 150) // about 100 each
	}
	members[0].Leaving = true
	for name, d := range owners(members) {
		is.True(d != "d0")
		is.True(before[name] == "d0" || before[name] == d) // only the targets of d0 moved
	}
	for i := range members {
		members[i].Leaving = members[i].Zone == "hall-a"
	}
	is.Equal(membership.NewOwners(members).Lookup("lm-pool", "e1", "hall-a")[0], byte('d'))
	for _, d := range owners(members) {
		n := 0
		_, err := fmt.Sscanf(string(d), "d%d", &n)
		is.NoErr(err)
		is.Equal(n%2, 1) // the other zone takes over
	}
	is.Equal(membership.NewOwners(nil).Lookup("lm-pool", "e1", "hall-a"), ident.Daemon(""))
}
