package booking_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Parameters of a fleet that is cut into groups. Heartbeats come each second: daemons that are cut off
// count one another as unreachable and as gone at different times.
const (
	cutLimit  = 26
	cutAt     = 2 * time.Second
	cutHealed = 12 * time.Second
	cutEnd    = 15 * time.Second
	cutCold   = 3 * time.Second
	// cutOutside is the number of daemons in other zones.
	cutOutside = 3
)

// peerView is how one daemon sees another.
type peerView int

const (
	inTouch peerView = iota
	silent
	gone
)

// cutSim simulates a zone whose daemons are cut off from one another, and three targets in it that turn
// cold.
type cutSim struct {
	*warmSim
	// group is the group of each daemon while the fleet is cut.
	group []int
	views [][]peerView
	// lastDelivered is when a message from one daemon to another was last sent that arrived.
	lastDelivered map[[2]int]time.Time
}

// newCutSim makes a zone of a number of daemons, of which the first ones are alone during the cut.
func newCutSim(seed uint64, zone, alone int, perTarget float64) *cutSim {
	zones := slices.Repeat([]ident.Zone{"a"}, zone)
	for i := range cutOutside {
		zones = append(zones, ident.Zone(fmt.Sprintf("other %d", i)))
	}
	s := newZonedSim(seed, zones, len(zones), 3, "w")
	c := &cutSim{
		warmSim: &warmSim{sim: s, cold: map[ident.Target]time.Time{}, coldAfter: map[ident.Target]time.Time{}, sent: map[ident.Target][]time.Time{}},
		group:   make([]int, len(zones)), views: make([][]peerView, len(zones)), lastDelivered: map[[2]int]time.Time{},
	}
	s.partitioned = func(from, to ident.Daemon) bool {
		c.lastDelivered[[2]int{c.indexOf(from), c.indexOf(to)}] = s.now
		return false
	}
	for i := range c.views {
		c.views[i] = make([]peerView, len(zones))
		if i < alone {
			c.group[i] = i + 1
		}
	}
	s.service.ColdLimit, s.service.ChecksWarmth = cutLimit, true
	s.onSent = func(target ident.Target) { c.sent[target] = append(c.sent[target], s.now) }
	s.onCheck = c.check
	s.sendDelay = func() time.Duration { return time.Duration(s.rng.Int64N(int64(5 * time.Millisecond))) }
	s.updatePeers()
	s.offer(workload{workspace: "w", perSecond: perTarget * 3, end: cutEnd, objective: 300 * time.Millisecond, newRequest: shortRequests})
	s.schedule(cutAt, c.cut)
	s.schedule(cutHealed, c.heal)
	return c
}

// eachPair calls f for each ordered pair of daemons of different groups.
func (c *cutSim) eachPair(f func(i, j int)) {
	for i := range c.group {
		for j := range c.group {
			if c.group[i] != c.group[j] {
				f(i, j)
			}
		}
	}
}

func (c *cutSim) indexOf(id ident.Daemon) int {
	return slices.IndexFunc(c.daemons, func(d *daemon) bool { return d.id == id })
}

func (c *cutSim) cut() {
	c.partitioned = func(from, to ident.Daemon) bool { return c.group[c.indexOf(from)] != c.group[c.indexOf(to)] }
	c.eachPair(func(i, j int) {
		heartbeat := time.Duration(c.rng.Int64N(int64(time.Second))) // since the last one
		if sentAt := c.lastDelivered[[2]int{j, i}]; !sentAt.IsZero() {
			heartbeat = min(heartbeat, c.now.Sub(sentAt)) // any message is as good
		}
		tick := func() time.Duration { return time.Duration(c.rng.Int64N(int64(200 * time.Millisecond))) }
		c.schedule(5*time.Second-heartbeat+tick(), func() { c.see(i, j, silent) })
		c.schedule(6*time.Second-heartbeat+200*time.Millisecond+tick(), func() { c.see(i, j, gone) })
	})
}

// heal restores the connections; links are up again at different times.
func (c *cutSim) heal() {
	linked := map[[2]int]bool{}
	c.partitioned = func(from, to ident.Daemon) bool {
		i, j := c.indexOf(from), c.indexOf(to)
		return c.group[i] != c.group[j] && !linked[[2]int{min(i, j), max(i, j)}]
	}
	c.eachPair(func(i, j int) {
		if i > j {
			return
		}
		c.schedule(time.Duration(c.rng.Int64N(int64(1500*time.Millisecond))), func() {
			linked[[2]int{i, j}] = true
			c.see(i, j, inTouch)
			c.see(j, i, inTouch)
			c.daemons[i].core.LinkUp(c.now, c.daemons[j].id)
			c.daemons[j].core.LinkUp(c.now, c.daemons[i].id)
		})
	})
}

// see changes how daemon i sees daemon j.
func (c *cutSim) see(i, j int, view peerView) {
	if c.views[i][j] == view {
		return
	}
	c.views[i][j] = view
	c.applyView(i)
}

func (c *cutSim) applyView(i int) {
	var unreachable []booking.Unreachable
	var peers []booking.Peer
	for j, d := range c.daemons {
		if j == i {
			continue
		}
		if c.views[i][j] != inTouch {
			unreachable = append(unreachable, booking.Unreachable{ID: d.id, Zone: d.zone, Until: c.now.Add(time.Hour)})
		}
		if c.views[i][j] != gone {
			peers = append(peers, booking.Peer{ID: d.id, Incarnation: 1, Zone: d.zone})
		}
	}
	c.daemons[i].core.SetUnreachable(c.now, unreachable)
	c.daemons[i].core.SetPeers(c.now, peers)
	c.applyEffects(c.daemons[i])
}

// restart replaces a daemon by one that knows the others from the store's list only.
func (c *cutSim) restart(i int) {
	d := c.daemons[i]
	d.core = booking.New(booking.Config{Self: d.id, Zone: d.zone, Incarnation: 2}, rand.New(rand.NewPCG(uint64(i), 9)))
	clear(d.jobs)
	for j := range c.daemons {
		if c.group[i] != c.group[j] {
			c.views[i][j] = gone
		}
	}
	c.applyView(i)
	d.core.Configure(c.now, []booking.Service{c.service})
	c.applyEffects(d)
}

// turnColdAt makes all targets cold. Daemons learn it from their checks, and from the registrations
// within a second if these say so.
func (c *cutSim) turnColdAt(at time.Duration, registered bool) {
	c.schedule(at, func() {
		until := c.now.Add(cutCold)
		for i := range c.service.Targets {
			c.cold[c.service.Targets[i].Name] = c.now
			if registered {
				c.service.Targets[i].ColdUntil = until
			}
		}
		for _, d := range c.daemons {
			service := c.service
			service.Targets = slices.Clone(c.service.Targets)
			c.schedule(time.Duration(c.rng.Int64N(int64(time.Second))), func() {
				d.core.Configure(c.now, []booking.Service{service})
				c.applyEffects(d)
			})
		}
	})
}

// shareRules are ways to divide the limit, of which "by daemons" is the one in use.
var shareRules = map[string]func(insideReached, inside, outsideReached, outside int) float64{
	"whole": func(int, int, int, int) float64 { return 1 },
	"by groups": func(insideReached, inside, _, _ int) float64 {
		return 1 / float64(1+inside-insideReached)
	},
	"majority": func(insideReached, inside, _, _ int) float64 {
		if 2*insideReached > inside {
			return 1
		}
		return 0
	},
	"by daemons": nil,
}

func (c *cutSim) useRule(name string) {
	if rule := shareRules[name]; rule != nil {
		for _, d := range c.daemons {
			d.core.SetShareRule(rule)
		}
	}
}

// peakInCut returns the most requests that a target was sent in a second while it was cold, but for those
// sent before that were on their way.
func (c *cutSim) peakInCut() int {
	for target, times := range c.sent {
		c.sent[target] = slices.DeleteFunc(times, func(at time.Time) bool {
			return at.After(c.cold[target]) && at.Before(c.cold[target].Add(5*time.Millisecond))
		})
	}
	return c.peakWhileCold()
}

// Guards against a cold target that ends since each group of a zone that is cut into groups owns it and
// admits a part of its limit that is for two owners.
func TestOwnersOfAZoneThatIsCutAdmitTheLimitTogether(t *testing.T) {
	for _, c := range []struct{ zone, alone int }{{3, 1}, {3, 2}, {5, 4}, {7, 3}, {15, 5}, {15, 14}, {3, 3}} {
		for _, coldAt := range []time.Duration{5900 * time.Millisecond, 7400 * time.Millisecond, 9 * time.Second, 12300 * time.Millisecond, 12800 * time.Millisecond} {
			for _, registered := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d of %d alone, cold at %s, registered %t", c.alone, c.zone, coldAt, registered), func(t *testing.T) {
					for seed := range uint64(3) {
						s := newCutSim(seed, c.zone, c.alone, 100)
						s.turnColdAt(coldAt, registered)
						s.run(cutEnd)
						if n := s.peakInCut(); n > cutLimit {
							t.Errorf("seed %d: %d requests in a second, %d are tolerated", seed, n, cutLimit)
						}
					}
				})
			}
		}
	}
}

// Guards against a daemon that restarts while it is cut off and takes itself for the only owner.
func TestDaemonThatRestartsInACutAdmitsItsShare(t *testing.T) {
	for seed := range uint64(5) {
		s := newCutSim(seed, 5, 4, 100)
		s.schedule(cutAt+time.Duration(s.rng.Int64N(int64(5*time.Second))), func() { s.restart(0) })
		s.schedule(cutAt+time.Duration(s.rng.Int64N(int64(5*time.Second))), func() { s.restart(1) })
		s.turnColdAt(9500*time.Millisecond, true)
		s.run(cutEnd)
		if n := s.peakInCut(); n > cutLimit {
			t.Errorf("seed %d: %d requests in a second, %d are tolerated", seed, n, cutLimit)
		}
	}
}

// Guards against callers of warm targets who are refused in a cut because the limit is for cold ones.
func TestWarmTargetsServeTheirCallersInACut(t *testing.T) {
	const least = 0.97 // of what is served with an undivided limit
	for _, c := range []struct{ zone, alone int }{{3, 2}, {5, 4}, {7, 2}, {15, 5}} {
		t.Run(fmt.Sprintf("alone=%d,zone=%d", c.alone, c.zone), func(t *testing.T) {
			served := map[string]float64{}
			for _, rule := range []string{"whole", "by daemons"} {
				s := newCutSim(1, c.zone, c.alone, 40)
				s.useRule(rule)
				s.run(cutAt)
				before := *s.tallies["w"]
				s.run(cutEnd)
				after := s.tallies["w"]
				served[rule] = 1 - float64(after.refused+after.failed-before.refused-before.failed)/float64(after.submitted-before.submitted)
			}
			t.Logf("%.3f served, %.3f with an undivided limit", served["by daemons"], served["whole"])
			if served["by daemons"] < least*served["whole"] {
				t.Errorf("%.3f served, %.3f with an undivided limit", served["by daemons"], served["whole"])
			}
		})
	}
}

// Guards against a daemon that has stood still, while others have become owners of its targets, and goes
// on with the whole limit when it runs again.
func TestDaemonThatStoodStillIsANewOwner(t *testing.T) {
	core, offer := coreOf(booking.Service{
		Name: "pool", ServesModel: true, ColdLimit: cutLimit, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 64, Memory: simMemory}},
	})
	now := time.Unix(1000, 0)
	core.SetPeers(now, []booking.Peer{{ID: "other", Incarnation: 1, Zone: "elsewhere"}})
	for range 40 {
		core.Tick(now)
		now = now.Add(100 * time.Millisecond)
	}
	r := booking.Request{Prompt: 100, Output: 1, Deadline: now.Add(time.Hour)}
	if admitted, _ := offer(now, 40, r); admitted != cutLimit-3 {
		t.Fatalf("%d requests admitted before", admitted)
	}
	now = now.Add(9 * time.Second)
	if admitted, _ := offer(now, 40, r); admitted > 3 {
		t.Errorf("%d requests admitted right after the daemon has stood still", admitted)
	}
}

// BenchmarkShareRules compares ways to divide the limit of cold targets in a zone that is cut: the most
// requests to a cold target in a second, how many of those offered are served while targets are cold in
// the cut, and how many while they are warm.
func BenchmarkShareRules(b *testing.B) {
	for _, c := range []struct{ zone, alone int }{{3, 0}, {3, 2}, {7, 3}, {15, 5}, {15, 14}} {
		for _, rule := range []string{"whole", "by groups", "majority", "by daemons"} {
			b.Run(fmt.Sprintf("alone=%d,zone=%d,rule=%s", c.alone, c.zone, rule), func(b *testing.B) {
				for b.Loop() {
					most, cold, warm := 0, 0, 0.0
					const seeds = 3
					for seed := range uint64(seeds) {
						s := newCutSim(seed, c.zone, c.alone, 100)
						s.useRule(rule)
						s.turnColdAt(9*time.Second, true)
						s.run(cutEnd)
						most = max(most, s.peakInCut())
						for target, times := range s.sent {
							for _, at := range times {
								if at.After(s.cold[target]) && at.Before(s.cold[target].Add(cutCold)) {
									cold++
								}
							}
						}
						s = newCutSim(seed, c.zone, c.alone, 40)
						s.useRule(rule)
						s.run(cutEnd)
						w := s.tallies["w"]
						warm += 1 - float64(w.refused+w.failed)/float64(w.submitted)
					}
					b.ReportMetric(float64(most), "most/s")
					b.ReportMetric(float64(cold)/seeds/3/cutCold.Seconds(), "cold/s")
					b.ReportMetric(100*warm/seeds, "%warm")
				}
			})
		}
	}
}
