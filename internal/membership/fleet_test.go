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
	// knownWithin is the time in which all others know of a silent death.
	knownWithin = 11 * time.Second
)

// simulated is a whole fleet whose daemons watch few. Frames arrive within a tick.
type simulated struct {
	now   time.Time
	ids   []ident.Daemon
	at    map[ident.Daemon]int
	zone  map[ident.Daemon]ident.Zone
	table map[ident.Daemon]*membership.Table
	// down daemons neither send nor receive; cut zones reach only themselves.
	down map[ident.Daemon]bool
	cut  map[ident.Zone]bool
	// ends are all ends of links, by the place of their daemon in ids.
	ends [][]simEnd
	// frames counts what was sent, with the answers to looks.
	frames int
}

// simEnd is one daemon's end of a link to another one.
type simEnd struct {
	up bool
	// sent is when the last heartbeat went out; asked tells whether the other
	// one watched then.
	sent  time.Time
	asked bool
}

func newSimulated(size, zones int) *simulated {
	s := &simulated{
		now: start, zone: map[ident.Daemon]ident.Zone{}, table: map[ident.Daemon]*membership.Table{},
		down: map[ident.Daemon]bool{}, cut: map[ident.Zone]bool{},
		at: map[ident.Daemon]int{},
	}
	var list []membership.ListedVM
	for i := range size {
		id := ident.Daemon(fmt.Sprintf("d%03d", i))
		s.ids, s.at[id] = append(s.ids, id), i
		s.ends = append(s.ends, make([]simEnd, size))
		s.zone[id] = ident.Zone(fmt.Sprint("z", i%zones))
		list = append(list, membership.ListedVM{ID: id, Zone: s.zone[id], Address: string(id) + ":1"})
	}
	for i, id := range s.ids {
		s.table[id] = membership.New(membership.Config{Self: id, Zone: s.zone[id]}, rand.New(rand.NewPCG(1, uint64(i))))
		s.table[id].SetList(s.now, list)
	}
	s.run(30 * time.Second)
	return s
}

func (s *simulated) reaches(a, b ident.Daemon) bool {
	if s.down[a] || s.down[b] {
		return false
	}
	return s.zone[a] == s.zone[b] || !s.cut[s.zone[a]] && !s.cut[s.zone[b]]
}

func (s *simulated) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		for _, id := range s.ids {
			if !s.down[id] {
				s.step(id)
			}
		}
	}
}

func (s *simulated) step(id ident.Daemon) {
	t := s.table[id]
	t.Tick(s.now)
	for _, silent := range t.Silent(s.now) {
		s.drop(id, silent)
	}
	for _, d := range t.Dials(s.now, 16) {
		if !s.reaches(id, d.ID) {
			t.DialFailed(s.now, d.ID)
			continue
		}
		for _, pair := range [][2]ident.Daemon{{id, d.ID}, {d.ID, id}} {
			s.table[pair[0]].LinkUp(s.now, membership.Sighting{ID: pair[1], Incarnation: 1, Zone: s.zone[pair[1]]})
			s.end(pair[0], pair[1]).up = true
		}
	}
	reports := t.Reports()
	for _, other := range s.ids {
		if !s.end(id, other).up || !s.reaches(id, other) {
			continue
		}
		for _, r := range reports {
			s.table[other].Reported(s.now, r)
		}
		if len(reports) > 0 {
			s.frames++
		}
		s.beat(id, other)
	}
}

func (s *simulated) end(of, to ident.Daemon) *simEnd { return &s.ends[s.at[of]][s.at[to]] }

// drop ends a link; the other end sees it where it can be reached.
func (s *simulated) drop(id, other ident.Daemon) {
	s.table[id].LinkLost(s.now, other)
	s.end(id, other).up = false
	if far := s.end(other, id); far.up && s.reaches(id, other) {
		s.table[other].LinkLost(s.now, id)
		far.up = false
	}
}

// beat sends a heartbeat where one is due: once a second to those who watch the
// sender, and at once to those who begin to.
func (s *simulated) beat(from, to ident.Daemon) {
	end, asked := s.end(from, to), s.table[to].Watched(from)
	begun := asked && !end.asked
	end.asked = asked
	if !s.end(to, from).up || !asked || !begun && s.now.Sub(end.sent) < time.Second {
		return
	}
	end.sent = s.now
	s.frames++
	s.table[to].Heard(s.now, from, 1)
}

// wrong counts the pairs in which a daemon that runs holds another one for live
// though it can't reach it, or not for live though it can.
func (s *simulated) wrong() int {
	n := 0
	for _, id := range s.ids {
		if s.down[id] {
			continue
		}
		live := map[ident.Daemon]bool{}
		for _, m := range s.table[id].Members() {
			live[m.ID] = true
		}
		for _, other := range s.ids {
			if other != id && live[other] != s.reaches(id, other) {
				n++
			}
		}
	}
	return n
}

// resting returns a table and a daemon that rests for it.
func (s *simulated) resting() (table *membership.Table, id ident.Daemon) {
	table = s.table["d000"]
	for _, other := range s.ids[1:] {
		if !table.Watched(other) {
			id = other
		}
	}
	return table, id
}

// until runs on until all daemons are right, and returns how long that took.
func (s *simulated) until(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	for d := time.Duration(0); d <= limit; d += simTick {
		if s.wrong() == 0 {
			return d
		}
		s.run(simTick)
	}
	t.Fatalf("after %s still %d wrong beliefs", limit, s.wrong())
	return 0
}

// Daemons of a large fleet stop without a word, one after the other: VMs that
// lost their power. Users of the dead one's targets wait until every daemon has
// noticed, also those that don't watch it; and nobody else may be taken for dead.
func TestSilentDeathReachesAll(t *testing.T) {
	is := is.New(t)
	s := newSimulated(70, 7)
	is.Equal(s.wrong(), 0)
	for _, victim := range []ident.Daemon{"d000", "d017", "d040", "d060"} {
		s.down[victim] = true
		t.Logf("%s is dead for all after %s", victim, s.until(t, knownWithin))
	}
	s.run(20 * time.Second)
	is.Equal(s.wrong(), 0)
	s.frames = 0
	s.run(20 * time.Second)
	perSecond := float64(s.frames) / 20 / 66
	t.Logf("heartbeats of an idle daemon: %.1f/s", perSecond)
	is.True(perSecond < 6)
}

// A zone is cut off: it must see that all others are gone though it watches but
// a few of them, or its callers wait for grants of owners that it cannot reach.
// After the cut everybody is found again.
func TestCutZoneIsSeenFromBothSides(t *testing.T) {
	s := newSimulated(70, 7)
	s.cut["z3"] = true
	t.Logf("seen from both sides after %s", s.until(t, knownWithin))
	s.run(time.Minute)
	s.cut["z3"] = false
	t.Logf("healed after %s", s.until(t, 17*time.Second))
}

// A third of the fleet dies at once, and with it all five watchers of some. These
// must be found all the same.
func TestThirdOfTheFleetDies(t *testing.T) {
	s := newSimulated(70, 7)
	for i, id := range s.ids {
		if i%3 == 0 {
			s.down[id] = true
		}
	}
	t.Logf("known to all after %s", s.until(t, knownWithin))
}

// A daemon is stopped for a minute and goes on. Nobody may count on it while it
// is stopped, nor may it take the others for dead when it wakes.
func TestPausedDaemonComesBack(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	s.down["d010"] = true
	s.until(t, knownWithin)
	s.run(time.Minute)
	s.down["d010"] = false
	s.table["d010"].Tick(s.now)
	is.Equal(len(s.table["d010"].Members()), 41)
	s.until(t, 17*time.Second)
}

// A report is on its way for long, and the daemon that it names has restarted or
// is well. Were reports believed, a healthy daemon would lose its targets.
func TestReportIsNotBelieved(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	table, resting := s.resting()
	table.LinkUp(s.now, membership.Sighting{ID: resting, Incarnation: 2, Zone: s.zone[resting]})
	s.now = s.now.Add(simTick)
	table.Heard(s.now, resting, 2)
	table.Tick(s.now)
	is.True(!table.Watched(resting))
	s.now = s.now.Add(time.Second)
	table.Reported(s.now, membership.Report{ID: resting, Incarnation: 1})
	is.True(!table.Watched(resting)) // the old incarnation is of no interest
	s.now = s.now.Add(time.Minute)
	table.Tick(s.now)
	table.Reported(s.now, membership.Report{ID: resting, Incarnation: 2})
	is.True(table.Watched(resting)) // it looks for itself
	for range 5 {
		s.now = s.now.Add(simTick)
		table.Tick(s.now)
		is.Equal(table.State(resting), membership.Live)
	}
	table.Heard(s.now, resting, 2)
	table.Tick(s.now)
	is.True(!table.Watched(resting))
}

// A daemon is stopped for 10 s just after it began to look at another one, whose
// answer waits in its buffers. Its own pause says nothing about the other one.
func TestOwnPauseIsNoEvidenceAgainstOneLookedAt(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	s.run(time.Minute)
	table, resting := s.resting()
	table.Reported(s.now, membership.Report{ID: resting, Incarnation: 1})
	table.Tick(s.now.Add(10 * time.Second))
	is.Equal(table.State(resting), membership.Live)
}

// A process crashes, and its links end at all others. Those that let it rest must
// take it for gone without anybody's report, as in a small fleet.
func TestLostLinkOfOneThatRests(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	table, resting := s.resting()
	table.LinkLost(s.now, resting)
	for range 31 {
		s.now = s.now.Add(simTick)
		table.Tick(s.now)
	}
	is.Equal(table.State(resting), membership.Dead)
}

// Something on the path lost track of a link that rests, and nobody uses it. It
// has to be found in the end.
func TestRestHasAnEnd(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	table, resting := s.resting()
	for begun := s.now; s.now.Sub(begun) < membership.DefaultRestAfter; s.now = s.now.Add(simTick) {
		is.True(!table.Watched(resting) || s.now.Sub(begun) > membership.DefaultRestAfter/2)
		for _, id := range s.ids {
			if id != resting {
				table.Heard(s.now, id, 1)
			}
		}
		table.Tick(s.now)
	}
	table.Tick(s.now)
	is.True(table.Watched(resting))
}

// A link that rests goes silent for good. Whoever sends demand or a grant over it
// has to notice as soon as in a small fleet.
func TestSilentLinkIsFoundWhenUsed(t *testing.T) {
	is := is.New(t)
	s := newSimulated(42, 7)
	table, resting := s.resting()
	s.down[resting] = true // only this test's table is looked at
	table.Used(s.now, resting)
	table.Tick(s.now)
	is.True(table.Watched(resting))
	used := s.now
	for ; s.now.Sub(used) < membership.DefaultSuspectAfter; s.now = s.now.Add(simTick) {
		table.Tick(s.now)
		is.Equal(table.State(resting), membership.Live)
	}
	table.Tick(s.now)
	is.True(slices.Contains(table.Silent(s.now), resting))
}

// Up to 18 daemons each watches all others, whatever it uses.
func TestSmallFleetWatchesEverybody(t *testing.T) {
	is := is.New(t)
	s := newSimulated(18, 3)
	s.run(time.Minute)
	for _, id := range s.ids[1:] {
		is.True(s.table["d000"].Watched(id))
	}
}
