package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

const (
	simTick = 200 * time.Millisecond
	// detectionLimit is the time within which all others must detect a silent
	// failure.
	detectionLimit = 11 * time.Second
)

// simulatedFleet is a whole fleet with partial watching. Frames arrive within a
// tick.
type simulatedFleet struct {
	now   time.Time
	ids   []ident.Daemon
	index map[ident.Daemon]int
	zone  map[ident.Daemon]ident.Zone
	table map[ident.Daemon]*membership.Table
	// Stopped daemons neither send nor receive. Daemons of a partitioned zone
	// reach only each other.
	stopped     map[ident.Daemon]bool
	partitioned map[ident.Zone]bool
	// linkEnds holds both ends of all links, indexed by the positions in ids of
	// the daemon and its peer.
	linkEnds [][]linkEnd
	// framesSent counts the frames sent, including the replies to probes.
	framesSent int
}

// linkEnd is one daemon's end of a link to another one.
type linkEnd struct {
	up bool
	// lastHeartbeat is when the last heartbeat was sent; watchedByPeer reports
	// whether the peer was watching when that was last checked.
	lastHeartbeat time.Time
	watchedByPeer bool
}

func newSimulatedFleet(size, zones int) *simulatedFleet {
	s := &simulatedFleet{
		now: start, zone: map[ident.Daemon]ident.Zone{}, table: map[ident.Daemon]*membership.Table{},
		stopped: map[ident.Daemon]bool{}, partitioned: map[ident.Zone]bool{},
		index: map[ident.Daemon]int{},
	}
	var list []membership.ListedVM
	for i := range size {
		id := ident.Daemon(fmt.Sprintf("d%03d", i))
		s.ids, s.index[id] = append(s.ids, id), i
		s.linkEnds = append(s.linkEnds, make([]linkEnd, size))
		s.zone[id] = ident.Zone(fmt.Sprint("z", i%zones))
		list = append(list, membership.ListedVM{ID: id, Zone: s.zone[id], Address: string(id) + ":1"})
	}
	for i, id := range s.ids {
		s.table[id] = membership.New(membership.Config{Self: id, Zone: s.zone[id]}, rand.New(rand.NewPCG(1, uint64(i))))
		s.table[id].SetVMList(s.now, list)
	}
	s.run(30 * time.Second)
	return s
}

func (s *simulatedFleet) canReach(a, b ident.Daemon) bool {
	if s.stopped[a] || s.stopped[b] {
		return false
	}
	return s.zone[a] == s.zone[b] || !s.partitioned[s.zone[a]] && !s.partitioned[s.zone[b]]
}

func (s *simulatedFleet) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		for _, id := range s.ids {
			if !s.stopped[id] {
				s.step(id)
			}
		}
	}
}

func (s *simulatedFleet) step(id ident.Daemon) {
	t := s.table[id]
	t.Tick(s.now)
	for _, silent := range t.SilentLinks(s.now) {
		s.dropLink(id, silent)
	}
	for _, d := range t.StartDials(s.now, 16) {
		if !s.canReach(id, d.ID) {
			t.DialFailed(s.now, d.ID)
			continue
		}
		for _, pair := range [][2]ident.Daemon{{id, d.ID}, {d.ID, id}} {
			s.table[pair[0]].LinkUp(s.now, membership.PeerInfo{ID: pair[1], Incarnation: 1, Zone: s.zone[pair[1]]})
			s.linkEnd(pair[0], pair[1]).up = true
		}
	}
	reports := t.TakeReports()
	for _, other := range s.ids {
		if !s.linkEnd(id, other).up || !s.canReach(id, other) {
			continue
		}
		for _, r := range reports {
			s.table[other].ReportReceived(s.now, r)
		}
		if len(reports) > 0 {
			s.framesSent++
		}
		s.sendHeartbeat(id, other)
	}
}

func (s *simulatedFleet) linkEnd(from, to ident.Daemon) *linkEnd {
	return &s.linkEnds[s.index[from]][s.index[to]]
}

// dropLink ends a link. The other end notices it if it is reachable.
func (s *simulatedFleet) dropLink(id, other ident.Daemon) {
	s.table[id].LinkLost(s.now, other)
	s.linkEnd(id, other).up = false
	if remote := s.linkEnd(other, id); remote.up && s.canReach(id, other) {
		s.table[other].LinkLost(s.now, id)
		remote.up = false
	}
}

// sendHeartbeat sends a heartbeat if one is due: once a second to daemons that
// watch the sender, and at once to those that start to watch it.
func (s *simulatedFleet) sendHeartbeat(from, to ident.Daemon) {
	end, watched := s.linkEnd(from, to), s.table[to].Watched(from)
	newlyWatched := watched && !end.watchedByPeer
	end.watchedByPeer = watched
	if !s.linkEnd(to, from).up || !watched || !newlyWatched && s.now.Sub(end.lastHeartbeat) < time.Second {
		return
	}
	end.lastHeartbeat = s.now
	s.framesSent++
	s.table[to].FrameReceived(s.now, from, 1)
}

// countWrongViews counts the pairs in which a running daemon considers another
// one live although it cannot reach it, or not live although it can.
func (s *simulatedFleet) countWrongViews() int {
	n := 0
	for _, id := range s.ids {
		if s.stopped[id] {
			continue
		}
		live := map[ident.Daemon]bool{}
		for _, m := range s.table[id].Members() {
			live[m.ID] = true
		}
		for _, other := range s.ids {
			if other != id && live[other] != s.canReach(id, other) {
				n++
			}
		}
	}
	return n
}

// unwatchedPeer returns a table and a daemon that it does not watch.
func (s *simulatedFleet) unwatchedPeer() (table *membership.Table, id ident.Daemon) {
	table = s.table["d000"]
	for _, other := range s.ids[1:] {
		if !table.Watched(other) {
			id = other
		}
	}
	return table, id
}

// awaitCorrectViews runs the fleet until the views of all daemons are correct and
// returns how long that took.
func (s *simulatedFleet) awaitCorrectViews(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	for d := time.Duration(0); d <= limit; d += simTick {
		if s.countWrongViews() == 0 {
			return d
		}
		s.run(simTick)
	}
	t.Fatalf("after %s still %d wrong views", limit, s.countWrongViews())
	return 0
}

// Daemons of a large fleet fail silently one after the other, such as VMs that
// lose power. Requests to the targets of the failed daemon wait until all daemons
// have detected the failure, including those that do not watch it. No other daemon
// must be considered dead.
func TestSilentFailureIsDetectedByAll(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(70, 7)
	is.Equal(s.countWrongViews(), 0)
	for _, victim := range []ident.Daemon{"d000", "d017", "d040", "d060"} {
		s.stopped[victim] = true
		t.Logf("all daemons detected the failure of %s after %s", victim, s.awaitCorrectViews(t, detectionLimit))
	}
	s.run(20 * time.Second)
	is.Equal(s.countWrongViews(), 0)
	s.framesSent = 0
	s.run(20 * time.Second)
	perSecond := float64(s.framesSent) / 20 / 66
	t.Logf("frames sent by an idle daemon: %.1f/s", perSecond)
	is.True(perSecond < 6)
}

// A zone is partitioned. Its daemons must detect the loss of all others although
// they watch only a few of them; otherwise their callers wait for grants of
// unreachable owners. After the partition all daemons must find each other again.
func TestZonePartitionIsDetectedFromBothSides(t *testing.T) {
	s := newSimulatedFleet(70, 7)
	s.partitioned["z3"] = true
	t.Logf("detected on both sides after %s", s.awaitCorrectViews(t, detectionLimit))
	s.run(time.Minute)
	s.partitioned["z3"] = false
	t.Logf("recovered after %s", s.awaitCorrectViews(t, 17*time.Second))
}

// A third of the fleet fails at once, including most watchers of some daemons. The
// failure of those daemons must be detected as well.
func TestFailureOfAThirdOfTheFleetIsDetected(t *testing.T) {
	s := newSimulatedFleet(70, 7)
	for i, id := range s.ids {
		if i%3 == 0 {
			s.stopped[id] = true
		}
	}
	t.Logf("detected by all after %s", s.awaitCorrectViews(t, detectionLimit))
}

// Guards against a failed daemon that stays live everywhere because all daemons
// that watch it have failed with it, so that nobody reports it.
func TestFailureOfADaemonWithAllItsWatchersIsDetected(t *testing.T) {
	for _, failed := range []ident.Daemon{"d000", "d033", "d069"} {
		t.Run(string(failed), func(t *testing.T) {
			s := newSimulatedFleet(70, 7)
			s.stopped[failed] = true
			for _, id := range s.ids {
				if id != failed && s.table[id].Watched(failed) {
					s.stopped[id] = true
				}
			}
			is.New(t).True(len(s.stopped) > 4) // the daemon and four or more watchers
			t.Logf("%d failures detected by all after %s", len(s.stopped), s.awaitCorrectViews(t, detectionLimit))
		})
	}
}

// A daemon is paused for a minute and resumes. The others must not consider it
// live during the pause, and it must not consider the others dead afterwards.
func TestPausedDaemonRejoins(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	s.stopped["d010"] = true
	s.awaitCorrectViews(t, detectionLimit)
	s.run(time.Minute)
	s.stopped["d010"] = false
	s.table["d010"].Tick(s.now)
	is.Equal(len(s.table["d010"].Members()), 41)
	s.awaitCorrectViews(t, 17*time.Second)
}

// A report arrives late, after the daemon it names has restarted or recovered. If
// reports were trusted, a healthy daemon would lose its targets.
func TestReportOnlyTriggersAProbe(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	table, peer := s.unwatchedPeer()
	table.LinkUp(s.now, membership.PeerInfo{ID: peer, Incarnation: 2, Zone: s.zone[peer]})
	s.now = s.now.Add(simTick)
	table.FrameReceived(s.now, peer, 2)
	table.Tick(s.now)
	is.True(!table.Watched(peer))
	s.now = s.now.Add(time.Second)
	table.ReportReceived(s.now, membership.Report{ID: peer, Incarnation: 1})
	is.True(!table.Watched(peer)) // a report about an old incarnation is ignored
	s.now = s.now.Add(time.Minute)
	table.Tick(s.now)
	table.ReportReceived(s.now, membership.Report{ID: peer, Incarnation: 2})
	is.True(table.Watched(peer)) // the report triggers a probe
	for range 5 {
		s.now = s.now.Add(simTick)
		table.Tick(s.now)
		is.Equal(table.State(peer), membership.Live)
	}
	table.FrameReceived(s.now, peer, 2)
	table.Tick(s.now)
	is.True(!table.Watched(peer))
}

// A daemon is paused for 10 s just after it started to probe another one, whose
// reply waits in its receive buffer. Its own pause is no evidence that the other
// one has failed.
func TestLocalPauseDoesNotFailAProbe(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	s.run(time.Minute)
	table, peer := s.unwatchedPeer()
	table.ReportReceived(s.now, membership.Report{ID: peer, Incarnation: 1})
	table.Tick(s.now.Add(10 * time.Second))
	is.Equal(table.State(peer), membership.Live)
}

// A process crashes and its links to all others end. Daemons that do not watch it
// must detect the failure without a report, as in a small fleet.
func TestLostLinkOfUnwatchedDaemonIsDetected(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	table, peer := s.unwatchedPeer()
	table.LinkLost(s.now, peer)
	for range 31 {
		s.now = s.now.Add(simTick)
		table.Tick(s.now)
	}
	is.Equal(table.State(peer), membership.Dead)
}

// A middlebox has lost the state of an idle connection to an unwatched daemon. The
// loss must be detected eventually although the link is not used.
func TestUnwatchedDaemonIsProbedEventually(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	table, peer := s.unwatchedPeer()
	for started := s.now; s.now.Sub(started) < membership.DefaultProbeAfter; s.now = s.now.Add(simTick) {
		is.True(!table.Watched(peer) || s.now.Sub(started) > membership.DefaultProbeAfter/2)
		for _, id := range s.ids {
			if id != peer {
				table.FrameReceived(s.now, id, 1)
			}
		}
		table.Tick(s.now)
	}
	table.Tick(s.now)
	is.True(table.Watched(peer))
}

// The link to an unwatched daemon goes silent permanently. A daemon that sends
// demand or a grant over it must detect that as soon as in a small fleet.
func TestSilentLinkIsDetectedAfterUse(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(42, 7)
	table, peer := s.unwatchedPeer()
	s.stopped[peer] = true // the test advances only its own table
	table.MessageSent(s.now, peer)
	table.Tick(s.now)
	is.True(table.Watched(peer))
	sentAt := s.now
	for ; s.now.Sub(sentAt) < membership.DefaultSuspectAfter; s.now = s.now.Add(simTick) {
		table.Tick(s.now)
		is.Equal(table.State(peer), membership.Live)
	}
	table.Tick(s.now)
	is.True(slices.Contains(table.SilentLinks(s.now), peer))
}

// In a fleet of up to 18 daemons each watches all others, whether or not it sends
// them messages.
func TestSmallFleetWatchesAll(t *testing.T) {
	is := is.New(t)
	s := newSimulatedFleet(18, 3)
	s.run(time.Minute)
	for _, id := range s.ids[1:] {
		is.True(s.table["d000"].Watched(id))
	}
}
